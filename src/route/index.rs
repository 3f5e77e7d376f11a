//! Looks up the route of a request by host and path.

use std::collections::HashMap;

use crate::route::Table;

/// The prefixes of all routes with their positions in the table, by lower-case host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl Index {
    /// Builds the index of a table.
    pub fn new(table: &Table) -> Self {
        let mut hosts: HashMap<String, Vec<(String, usize)>> = HashMap::new();
        for (i, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push((route.prefix.clone(), i));
        }
        for prefixes in hosts.values_mut() {
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Self { hosts }
    }

    /// The position of the route with the longest prefix that matches the path. `host` is the host of the request, in
    /// any case and with or without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, i)| *i)
    }

    /// The positions of all routes of a host, which is given without a port.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = usize> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase());
        prefixes.into_iter().flatten().map(|(_, i)| *i)
    }
}

//! Finds the route of a request.

use std::collections::HashMap;

use crate::route::Table;

/// The routes of a table by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    hosts: HashMap<String, Vec<(String, usize)>>,
}

impl Index {
    /// Indexes a table.
    pub fn new(table: &Table) -> Self {
        let mut hosts: HashMap<String, Vec<(String, usize)>> = HashMap::new();
        for (at, route) in table.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push((route.prefix.clone(), at));
        }
        for prefixes in hosts.values_mut() {
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        Self { hosts }
    }

    /// The position of the route with the longest prefix of this path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.hosts.get(host).or_else(|| {
            let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
            self.hosts.get(&name.to_ascii_lowercase())
        })?;
        prefixes.iter().find(|(prefix, _)| path.starts_with(prefix.as_str())).map(|(_, at)| *at)
    }

    /// The positions of all routes of a host.
    pub fn of_host(&self, host: &str) -> impl Iterator<Item = usize> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase());
        prefixes.into_iter().flatten().map(|(_, at)| *at)
    }
}

//! What makes a table of routes invalid.

use std::collections::HashSet;

use crate::route::{Table, To};

/// Why a table is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// A route names a service that the table does not list.
    #[error("route {route:?} names the unknown service {service:?}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes share the host {host:?} and the prefix {prefix:?}")]
    SamePlace {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// The weights of a split add up to zero.
    #[error("the weights of route {route:?} add up to 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A route lists no shard.
    #[error("route {route:?} lists no shard, or one twice")]
    Shards {
        /// The route.
        route: String,
    },
    /// A route leaves no time for an answer.
    #[error("the timeout of route {route:?} is 0")]
    NoTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix {prefix:?} does not begin and end with a slash")]
    Prefix {
        /// The prefix.
        prefix: String,
    },
}

impl Table {
    /// Finds the first problem.
    pub fn check(&self) -> Result<(), Problem> {
        let mut places = HashSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if let Some(it) = route.services().find(|it| !self.services.contains_key(*it)) {
                return Err(Problem::UnknownService { route: name(), service: it.into() });
            }
            if !places.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(Problem::SamePlace { host, prefix });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(Problem::Prefix { prefix: route.prefix.clone() });
            }
            if route.timeout_ms == 0 {
                return Err(Problem::NoTimeout { route: name() });
            }
            match &route.to {
                To::Split(parts) if parts.iter().all(|it| it.weight == 0) => {
                    return Err(Problem::NoWeight { route: name() });
                }
                To::Shards(shards) => {
                    let distinct: HashSet<_> = shards.services.iter().collect();
                    if distinct.is_empty() || distinct.len() < shards.services.len() {
                        return Err(Problem::Shards { route: name() });
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}

//! Validation of routing tables.

use std::collections::HashSet;

use crate::route::{Table, To};

/// Why a routing table is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A route refers to a service that is not in the table.
    #[error("route {route:?} refers to unknown service {service:?}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have the same host {host:?} and prefix {prefix:?}")]
    DuplicateMatch {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// All weights of a split are 0.
    #[error("all weights of route {route:?} are 0")]
    ZeroWeight {
        /// The route.
        route: String,
    },
    /// A route over shards lists no service, or one twice.
    #[error("the shards of route {route:?} list no service, or one twice")]
    InvalidShards {
        /// The route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[error("the timeout of route {route:?} is 0")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix does not start and end with a slash.
    #[error("prefix {prefix:?} must start and end with a slash")]
    InvalidPrefix {
        /// The prefix.
        prefix: String,
    },
}

impl Table {
    /// Validates the table. Returns the first error found.
    pub fn check(&self) -> Result<(), TableError> {
        let mut seen = HashSet::new();
        for route in &self.routes {
            let name = || route.name.clone();
            if let Some(it) = route.services().find(|it| !self.services.contains_key(*it)) {
                return Err(TableError::UnknownService { route: name(), service: it.into() });
            }
            // Hosts are compared like the lookup compares them, without regard to case.
            if !seen.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(TableError::DuplicateMatch { host, prefix });
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                return Err(TableError::InvalidPrefix { prefix: route.prefix.clone() });
            }
            if route.timeout_ms == 0 {
                return Err(TableError::ZeroTimeout { route: name() });
            }
            match &route.to {
                To::Split(parts) if parts.iter().all(|it| it.weight == 0) => {
                    return Err(TableError::ZeroWeight { route: name() });
                }
                To::Shards(shards) => {
                    let distinct: HashSet<_> = shards.services.iter().collect();
                    if distinct.is_empty() || distinct.len() < shards.services.len() {
                        return Err(TableError::InvalidShards { route: name() });
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }
}

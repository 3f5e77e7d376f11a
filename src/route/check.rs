//! Validation of routing tables.

use std::collections::{HashMap, HashSet};

use crate::route::{KeyDigest, Table, Tenant, To, encoding::EXTENDED_VERSION};

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
    /// The version is reserved.
    #[error("version {EXTENDED_VERSION} is reserved")]
    ReservedVersion,
    /// Two tenants have the same name.
    #[error("two tenants have the name {name:?}")]
    DuplicateTenant {
        /// The name.
        name: String,
    },
    /// The name of a tenant is empty or contains control characters, so that it cannot be sent in a header.
    #[error("tenant name {name:?} is empty or contains control characters")]
    InvalidTenantName {
        /// The name.
        name: String,
    },
    /// Two tenants have a key in common.
    #[error("tenants {first:?} and {second:?} have a key in common")]
    SharedKey {
        /// The tenant that comes first.
        first: String,
        /// The other tenant.
        second: String,
    },
    /// A key of a tenant is empty.
    #[error("a key of tenant {tenant:?} is empty")]
    EmptyKey {
        /// The tenant.
        tenant: String,
    },
}

impl Table {
    /// Validates the table. Returns the first error found.
    pub fn check(&self) -> Result<(), TableError> {
        if self.version == EXTENDED_VERSION {
            return Err(TableError::ReservedVersion);
        }
        check_tenants(&self.tenants)?;
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

/// Validates the tenants. Messages name tenants, never keys.
fn check_tenants(tenants: &[Tenant]) -> Result<(), TableError> {
    let empty = KeyDigest::new(b"");
    let mut names = HashSet::new();
    let mut holders = HashMap::new();
    for tenant in tenants {
        let name = || tenant.name.clone();
        if tenant.name.is_empty() || tenant.name.chars().any(char::is_control) {
            return Err(TableError::InvalidTenantName { name: name() });
        }
        if !names.insert(&tenant.name) {
            return Err(TableError::DuplicateTenant { name: name() });
        }
        if tenant.keys.contains(&empty) {
            return Err(TableError::EmptyKey { tenant: name() });
        }
        for key in &tenant.keys {
            let first = *holders.entry(key).or_insert(&tenant.name);
            if *first != tenant.name {
                return Err(TableError::SharedKey { first: first.clone(), second: name() });
            }
        }
    }
    Ok(())
}

//! Patches from one routing table to the next, which entry hosts get instead of a whole table: a table may have
//! thousands of routes, of which a change usually concerns a few.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::route::{Limits, Route, Service, Table};

/// The difference between two tables, without the operator's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The version of the table that the patch applies to.
    from: u64,
    version: u64,
    routes: Vec<Piece>,
    /// The services, if they have changed.
    services: Option<BTreeMap<String, Service>>,
    limits: Limits,
}

/// A section of the new list of routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// `count` unchanged routes of the old list, from position `start`.
    Kept { start: usize, count: usize },
    /// A new or changed route.
    New(Box<Route>),
}

impl Patch {
    /// Computes the difference between two tables. Routes are matched by name.
    pub fn between(old: &Table, new: &Table) -> Self {
        let positions: HashMap<&str, usize> =
            old.routes.iter().enumerate().map(|(i, it)| (it.name.as_str(), i)).collect();
        let mut routes = Vec::new();
        for route in &new.routes {
            let i = positions.get(route.name.as_str()).copied();
            let kept = i.filter(|it| old.routes[*it] == *route);
            match (kept, routes.last_mut()) {
                (Some(i), Some(Piece::Kept { start, count })) if *start + *count == i => {
                    *count += 1;
                }
                (Some(start), _) => routes.push(Piece::Kept { start, count: 1 }),
                (None, _) => routes.push(Piece::New(Box::new(route.clone()))),
            }
        }
        Self {
            from: old.version,
            version: new.version,
            routes,
            services: (old.services != new.services).then(|| new.services.clone()),
            limits: new.limits.clone(),
        }
    }

    /// The version of the new table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Builds the new table. `None` if `old` is not the table that the patch applies to.
    pub fn apply(&self, old: &Table) -> Option<Table> {
        if old.version != self.from {
            return None;
        }
        let mut routes = Vec::new();
        for piece in &self.routes {
            match piece {
                Piece::Kept { start, count } => {
                    let end = start.checked_add(*count)?;
                    routes.extend_from_slice(old.routes.get(*start..end)?);
                }
                Piece::New(route) => routes.push((**route).clone()),
            }
        }
        Some(Table {
            version: self.version,
            document: String::new(),
            routes,
            services: self.services.clone().unwrap_or_else(|| old.services.clone()),
            limits: self.limits.clone(),
        })
    }
}

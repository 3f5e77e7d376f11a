//! What leads from one table of routes to the next. A table with thousands of routes is long, and most changes concern a
//! few of them.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::route::{Limits, Route, Service, Table};

/// The difference between two tables, without the operator's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The number of the table that the patch builds on.
    from: u64,
    version: u64,
    routes: Vec<Piece>,
    /// The services, if they have changed.
    services: Option<BTreeMap<String, Service>>,
    limits: Limits,
}

/// A part of the new list of routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece {
    /// Routes that stay as they are: the first one's position in the old list, and how many.
    Kept { start: usize, count: usize },
    /// A route that is new or has changed.
    New(Box<Route>),
}

impl Patch {
    /// The difference between two tables.
    pub fn between(old: &Table, new: &Table) -> Self {
        let positions: HashMap<&str, usize> =
            old.routes.iter().enumerate().map(|(at, it)| (it.name.as_str(), at)).collect();
        let mut routes = Vec::new();
        for route in &new.routes {
            let at = positions.get(route.name.as_str()).copied();
            let kept = at.filter(|it| old.routes[*it] == *route);
            match (kept, routes.last_mut()) {
                (Some(at), Some(Piece::Kept { start, count })) if *start + *count == at => {
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

    /// The number of the new table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Makes the new table; none if the patch builds on another one.
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

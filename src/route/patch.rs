//! Patches from one routing table to the next, which entry hosts get instead of a whole table: a table may have
//! thousands of routes, of which a change usually concerns a few.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::route::{Limits, Route, Service, Table, Tenant};

/// The difference between two tables, without the operator's document and without what [`TenantPatch`] has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The version of the table that the patch applies to.
    from: u64,
    version: u64,
    routes: Vec<Piece<Route>>,
    /// The services, if they have changed.
    services: Option<BTreeMap<String, Service>>,
    limits: Limits,
}

/// A section of a new list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Piece<T> {
    /// `count` unchanged elements of the old list, from position `start`.
    Kept { start: usize, count: usize },
    /// A new or changed element.
    New(Box<T>),
}

/// The sections that make up the new list. Elements are matched by name.
fn pieces<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> Vec<Piece<T>> {
    let positions: HashMap<&str, usize> =
        old.iter().enumerate().map(|(i, it)| (name(it), i)).collect();
    let mut pieces = Vec::new();
    for element in new {
        let i = positions.get(name(element)).copied();
        let kept = i.filter(|it| old[*it] == *element);
        match (kept, pieces.last_mut()) {
            (Some(i), Some(Piece::Kept { start, count })) if *start + *count == i => *count += 1,
            (Some(start), _) => pieces.push(Piece::Kept { start, count: 1 }),
            (None, _) => pieces.push(Piece::New(Box::new(element.clone()))),
        }
    }
    pieces
}

/// Builds the new list. `None` if `old` does not have the elements to keep.
fn assemble<T: Clone>(pieces: &[Piece<T>], old: &[T]) -> Option<Vec<T>> {
    let mut list = Vec::new();
    for piece in pieces {
        match piece {
            Piece::Kept { start, count } => {
                let end = start.checked_add(*count)?;
                list.extend_from_slice(old.get(*start..end)?);
            }
            Piece::New(element) => list.push((**element).clone()),
        }
    }
    Some(list)
}

impl Patch {
    /// Computes the difference between two tables.
    pub fn between(old: &Table, new: &Table) -> Self {
        Self {
            from: old.version,
            version: new.version,
            routes: pieces(&old.routes, &new.routes, |it| &it.name),
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
        Some(Table {
            version: self.version,
            document: String::new(),
            routes: assemble(&self.routes, &old.routes)?,
            services: self.services.clone().unwrap_or_else(|| old.services.clone()),
            limits: self.limits.clone(),
            tenants: old.tenants.clone(),
        })
    }
}

/// What a [`Patch`] does not have: the difference between the tenants of two tables, and which new routes are public.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantPatch {
    /// The positions of the routes that are public and that the patch has as new or changed.
    public: Vec<usize>,
    tenants: Vec<Piece<Tenant>>,
}

impl TenantPatch {
    /// Computes the difference between two tables. `None` if the patch alone leads from one to the other.
    pub fn between(old: &Table, new: &Table) -> Option<Self> {
        let kept: HashMap<&str, &Route> =
            old.routes.iter().map(|it| (it.name.as_str(), it)).collect();
        let is_new = |it: &Route| kept.get(it.name.as_str()) != Some(&it);
        let public = new.routes.iter().enumerate().filter(|(_, it)| it.public && is_new(it));
        let public: Vec<_> = public.map(|(i, _)| i).collect();
        let is_needed = !public.is_empty() || old.tenants != new.tenants;
        let tenants = || pieces(&old.tenants, &new.tenants, |it| &it.name);
        is_needed.then(|| Self { public, tenants: tenants() })
    }

    /// Completes the table to which the patch has led from `old`. `None` if this patch does not apply to it.
    pub fn apply(&self, old: &Table, mut table: Table) -> Option<Table> {
        table.tenants = assemble(&self.tenants, &old.tenants)?;
        for i in &self.public {
            table.routes.get_mut(*i)?.public = true;
        }
        Some(table)
    }
}

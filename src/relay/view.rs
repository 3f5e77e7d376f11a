//! The routing view of one revision.

use std::{cmp::Reverse, collections::HashSet, sync::Arc};

use parking_lot::Mutex;

use crate::{
    policy::{budget::Budget, ownership},
    relay::{split::SplitPicker, target::Target, typical::LatencyEstimate},
    route,
    state::Node,
};

/// The label of a target that names its service.
pub const SERVICE_LABEL: &str = "service";

/// The label of a target in a cold start, with the value `true`.
pub const COLD_LABEL: &str = "cold";

/// The fewest hosts of a region that serve a name: two may be lost.
pub(super) const MIN_HOSTS_PER_REGION: usize = 3;

/// A service of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServiceKey(pub(super) usize);

/// A service and the targets that may get new work.
pub(super) struct Service {
    pub(super) name: String,
    pub(super) targets: Vec<Arc<Target>>,
    /// How many sub-requests this host may have running at one target.
    pub(super) max_in_flight: usize,
    /// The zone of the nearest targets, if that is another one in the own region.
    pub(super) delegate_zone: Option<String>,
    /// How many hosts of each region should serve it.
    pub(super) hosts_per_region: usize,
    pub(super) retry_budget: Arc<Mutex<Budget>>,
}

impl Service {
    /// Whether it has a target in this zone.
    pub(super) fn has_targets_in(&self, zone: &str) -> bool {
        self.targets.iter().any(|it| it.zone == zone)
    }
}

/// A route, resolved.
pub(super) struct ResolvedRoute {
    pub(super) config: route::Route,
    pub(super) services: Vec<ServiceKey>,
    pub(super) latency: Arc<Mutex<LatencyEstimate>>,
    pub(super) split_picker: Arc<SplitPicker>,
}

/// A table of routes, resolved. Most revisions change targets and not the table.
#[derive(Default)]
pub(super) struct RouteTable {
    pub(super) version: u64,
    pub(super) limits: route::Limits,
    pub(super) routes: Vec<ResolvedRoute>,
    pub(super) index: route::Index,
}

/// Everything that routing needs at one revision.
#[derive(Default)]
pub(super) struct View {
    pub(super) revision: u64,
    pub(super) table: Arc<RouteTable>,
    pub(super) nodes: Vec<Node>,
    /// Requests that have crashed targets and are refused, by fingerprint.
    pub(super) quarantine: HashSet<u64>,
    pub(super) services: Vec<Service>,
}

impl View {
    /// The hosts of a zone that serve requests for a name, at most `count`: the same ones wherever they are looked up.
    pub(super) fn hosts_for(&self, name: &str, zone: &str, count: usize) -> Vec<&Node> {
        let mut nodes: Vec<_> =
            self.nodes.iter().filter(|it| it.zone == zone && !it.leaving).collect();
        nodes.sort_by_cached_key(|it| Reverse(ownership::weight(name, &it.name)));
        nodes.truncate(count);
        nodes
    }

    /// How many hosts of a region should serve all these services.
    pub(super) fn hosts_wanted<'a>(&self, keys: impl Iterator<Item = &'a ServiceKey>) -> usize {
        let wanted = keys.map(|it| self.service(*it).hosts_per_region).min();
        wanted.unwrap_or(usize::MAX).max(MIN_HOSTS_PER_REGION)
    }

    pub(super) fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0]
    }
}

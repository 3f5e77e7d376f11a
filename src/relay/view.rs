//! The routing data of one revision of the configuration. Views share targets, budgets and latency estimates, whose
//! state changes while a view is in use.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Instant,
};

use parking_lot::Mutex;

use crate::{
    policy::{budget::Budget, ownership},
    relay::{split::SplitPicker, target::Target, typical::LatencyEstimate, wait::WaitQueue},
    route,
    state::Node,
};

/// Label of a target that names its service.
pub const SERVICE_LABEL: &str = "service";

/// Label of a target that is in a cold start; its value is `true`.
pub const COLD_LABEL: &str = "cold";

/// Minimum number of hosts per region that serve a name, so that two may fail.
pub(super) const MIN_HOSTS_PER_REGION: usize = 3;

/// Index of a service in [`View::services`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServiceKey(pub(super) usize);

/// A service and its usable targets.
pub(super) struct Service {
    pub(super) name: String,
    pub(super) targets: Vec<Arc<Target>>,
    /// Maximum number of sub-requests that this host may have in flight at one target.
    pub(super) max_in_flight: usize,
    /// The zone that shards of this service are delegated to: one in the own region that has targets, if the own zone
    /// has none.
    pub(super) delegate_zone: Option<String>,
    /// How many hosts per region serve requests for the service.
    pub(super) hosts_per_region: usize,
    pub(super) retry_budget: Arc<Mutex<Budget>>,
    /// Sub-requests that wait until a target has room.
    pub(super) queue: WaitQueue,
}

impl Service {
    /// Whether none of the service's targets has responded lately.
    pub(super) fn is_down(&self, now: Instant) -> bool {
        self.targets.iter().all(|it| it.stats.lock().is_down(now))
    }

    /// When the first pause ends, if all usable targets are paused.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        let usable = self.targets.iter().filter(|it| it.is_usable());
        let ends: Option<Vec<_>> = usable.map(|it| it.paused_until(now)).collect();
        ends?.into_iter().min()
    }

    /// Whether the service has a target in this zone.
    pub(super) fn has_targets_in(&self, zone: &str) -> bool {
        self.targets.iter().any(|it| it.zone == zone)
    }
}

/// A route with its services and its shared state.
pub(super) struct ResolvedRoute {
    pub(super) config: route::Route,
    pub(super) services: Vec<ServiceKey>,
    pub(super) latency: Arc<Mutex<LatencyEstimate>>,
    pub(super) split_picker: Arc<SplitPicker>,
}

/// A routing table with resolved routes. Most revisions change targets only, so views share it until it changes.
#[derive(Default)]
pub(super) struct RouteTable {
    pub(super) version: u64,
    pub(super) limits: route::Limits,
    pub(super) routes: Vec<ResolvedRoute>,
    pub(super) index: route::Index,
    pub(super) tenants: route::Tenants,
}

/// Everything that routing needs at one revision. A request uses the same view from its arrival to its response.
#[derive(Default)]
pub(super) struct View {
    pub(super) revision: u64,
    /// Digest of the configuration.
    pub(super) digest: u64,
    pub(super) table: Arc<RouteTable>,
    pub(super) nodes: Vec<Node>,
    /// Fingerprints of requests that crash targets and are refused.
    pub(super) quarantine: HashSet<u64>,
    /// When the record of each request that may crash targets expires, by fingerprint. Includes the quarantined ones.
    pub(super) suspects: HashMap<u64, u64>,
    pub(super) services: Vec<Service>,
}

impl View {
    /// The hosts of a zone that serve requests for a name, at most `count`. Rendezvous hashing gives the same hosts
    /// wherever it is computed, and the loss of a host replaces only that host.
    pub(super) fn hosts_for(&self, name: &str, zone: &str, count: usize) -> Vec<&Node> {
        let mut nodes: Vec<_> =
            self.nodes.iter().filter(|it| it.zone == zone && !it.leaving).collect();
        nodes.sort_by_cached_key(|it| Reverse(ownership::weight(name, &it.name)));
        nodes.truncate(count);
        nodes
    }

    /// How many hosts per region serve requests that need all these services.
    pub(super) fn hosts_wanted<'a>(&self, keys: impl Iterator<Item = &'a ServiceKey>) -> usize {
        let wanted = keys.map(|it| self.service(*it).hosts_per_region).min();
        wanted.unwrap_or(usize::MAX).max(MIN_HOSTS_PER_REGION)
    }

    pub(super) fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0]
    }
}

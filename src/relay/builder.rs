//! Builds a [`View`] from each configuration and keeps the state that is carried over from one view to the next.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    policy::{budget::Budget, ownership},
    relay::{
        cold_start::Access,
        retired::Retired,
        settings::Settings,
        split::SplitPicker,
        target::Target,
        typical::LatencyEstimate,
        view::{
            COLD_LABEL, MIN_HOSTS_PER_REGION, ResolvedRoute, RouteTable, SERVICE_LABEL, Service,
            ServiceKey, View,
        },
        wait::WaitQueue,
    },
    route,
    state::{self, Config, Node, NodeView, ObjectKind, Phase},
};

/// Share of a target's `max_connections` that all hosts together use. The rest is needed after a power failure, because
/// the target still counts the connections of the processes that were lost.
const USABLE_CONNECTION_SHARE: f64 = 0.5;

/// Connections that a host needs to each target, so that sub-requests need not queue behind one that hangs while the
/// target pauses. The usable connections of a target divided by this are the number of hosts that serve a name.
const MIN_CONNECTIONS_PER_HOST: usize = 4;

/// Converts `cold_millis_per_s`, which is in thousandths of a request per second.
const THOUSANDTHS: u64 = 1_000;

/// State that outlives a view: targets with their connections and statistics, retry budgets, queues, latency estimates, split
/// pickers, and the routing table while it stays the same.
pub(super) struct Builder {
    cfg: Arc<Settings>,
    targets: HashMap<(String, u64), Arc<Target>>,
    retired: Arc<Retired>,
    retry_budgets: HashMap<String, Arc<Mutex<Budget>>>,
    queues: HashMap<String, WaitQueue>,
    latencies: HashMap<String, Arc<Mutex<LatencyEstimate>>>,
    split_pickers: HashMap<String, Arc<SplitPicker>>,
    table: Arc<RouteTable>,
    /// What `table` was resolved from.
    table_source: route::Table,
    /// Whether a view has been built. Before the first one, nothing is known of who owned a target.
    has_view: bool,
}

impl Builder {
    pub(super) fn new(cfg: Arc<Settings>, retired: Arc<Retired>) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            retired,
            retry_budgets: HashMap::new(),
            queues: HashMap::new(),
            latencies: HashMap::new(),
            split_pickers: HashMap::new(),
            table: Arc::default(),
            table_source: route::Table::default(),
            has_view: false,
        }
    }

    /// Builds the view of a configuration. A target that is not in the configuration, not serving or drained gets no
    /// new sub-requests from now on, also from requests that still use an older view.
    pub(super) fn build(&mut self, config: &Config) -> View {
        let by_service = self.update_targets(config);
        let table = &config.routes;
        let nodes: Vec<_> = config.nodes.values().cloned().collect();
        let mut services = Vec::new();
        let mut keys = HashMap::new();
        let regions = self.region_count();
        for (name, settings) in &table.services {
            let connections = f64::from(settings.max_connections) * USABLE_CONNECTION_SHARE;
            let hosts = (connections as usize / MIN_CONNECTIONS_PER_HOST).div_ceil(regions);
            let hosts_per_region = hosts.max(MIN_HOSTS_PER_REGION);
            let planned_hosts = hosts_per_region * regions;
            let hosts = planned_hosts.min(nodes.len().max(1));
            keys.insert(name.as_str(), ServiceKey(services.len()));
            let targets = by_service.get(name.as_str()).cloned().unwrap_or_default();
            services.push(Service {
                name: name.clone(),
                delegate_zone: self.delegate_zone(&targets),
                targets,
                max_in_flight: ((connections / hosts as f64).round() as usize).max(1),
                hosts_per_region,
                retry_budget: self.retry_budget(name, hosts, planned_hosts),
                queue: self.queues.entry(name.clone()).or_default().clone(),
            });
        }
        // After control hosts have lost state, a version may come with another content.
        if self.table_source != *table {
            self.table = Arc::new(self.resolve_table(table, &keys));
            self.table_source.clone_from(table);
        }
        View {
            revision: config.revision,
            digest: config.digest(),
            table: self.table.clone(),
            nodes,
            quarantine: config.quarantined_fingerprints().collect(),
            suspects: config.suspects.iter().map(|(key, it)| (*key, it.until_ms)).collect(),
            services,
        }
    }

    /// The zone to delegate to: a zone of the own region that has targets of the service, if the own zone has none.
    fn delegate_zone(&self, targets: &[Arc<Target>]) -> Option<String> {
        let own_zone = &self.cfg.zone;
        if targets.iter().any(|it| it.zone == *own_zone) {
            return None;
        }
        let in_region = targets.iter().filter(|it| it.region == self.cfg.own_region());
        in_region.map(|it| &it.zone).min().cloned()
    }

    fn region_count(&self) -> usize {
        let regions: HashSet<_> = self.cfg.regions.values().collect();
        regions.len().max(1)
    }

    fn resolve_table(
        &mut self,
        table: &route::Table,
        keys: &HashMap<&str, ServiceKey>,
    ) -> RouteTable {
        let routes = table.routes.iter().map(|route| ResolvedRoute {
            services: route.services().filter_map(|it| keys.get(it).copied()).collect(),
            latency: self.latency(route),
            split_picker: self.split_pickers.entry(route.name.clone()).or_default().clone(),
            config: route.clone(),
        });
        RouteTable {
            version: table.version,
            limits: table.limits.clone(),
            routes: routes.collect(),
            index: route::Index::new(table),
            tenants: route::Tenants::new(table),
        }
    }

    fn update_targets(&mut self, config: &Config) -> BTreeMap<String, Vec<Arc<Target>>> {
        let mut known = HashSet::new();
        let mut by_service: BTreeMap<String, Vec<Arc<Target>>> = BTreeMap::new();
        let own_region = self.cfg.region(&self.cfg.zone).to_owned();
        let now = Instant::now();
        let nodes: Vec<_> = config.nodes.values().map(node_view).collect();
        for target in config.targets.values() {
            let key = (target.name.clone(), target.incarnation);
            let region = self.cfg.region(&target.zone);
            let new = || Arc::new(Target::new(target, region, &own_region));
            let shared = self.targets.entry(key.clone()).or_insert_with(new).clone();
            self.retired.apply(&shared);
            known.insert(key);
            let drained = config.is_drained(ObjectKind::Zone, &target.zone);
            let usable = target.phase == Phase::Serving && !drained;
            shared.set_usable(usable);
            let access = self.access(config, target, &nodes);
            shared.cold_start.lock().set_access(access, !self.has_view, now);
            if let Some(service) = target.labels.get(SERVICE_LABEL)
                && usable
            {
                by_service.entry(service.clone()).or_default().push(shared);
            }
        }
        self.targets.retain(|key, target| {
            let is_known = known.contains(key);
            if !is_known {
                target.set_usable(false);
            }
            is_known
        });
        self.has_view = true;
        by_service
    }

    /// Which requests may be sent to a target. During a cold start only the target's owner sends, at the service's
    /// limit. If no limit is known, the target is treated like a warm one.
    fn access(&self, config: &Config, target: &state::Target, nodes: &[NodeView]) -> Access {
        let is_cold = target.labels.get(COLD_LABEL).is_some_and(|it| it == "true");
        let service = target.labels.get(SERVICE_LABEL);
        let service = service.and_then(|it| config.routes.services.get(it));
        let limit = service.map_or(0, |it| it.cold_millis_per_s);
        if !is_cold || limit == 0 {
            return Access::Open;
        }
        let owner = ownership::owner(&target.name, &target.zone, nodes);
        let owns = owner.is_some_and(|it| nodes[it.0 as usize].name == self.cfg.name);
        if !owns {
            return Access::Closed;
        }
        Access::Limited(usize::try_from((limit / THOUSANDTHS).max(1)).unwrap_or(1))
    }

    /// The service's budget for retries and hedges. `hosts` is how many hosts share its burst, `planned_hosts` how many
    /// there should be. Each host gets an equal part of the burst, but starts without it, because another process on
    /// this host may have spent it just before. It starts with its part of `retry_initial` instead, divided by
    /// `planned_hosts`: a host that has just started may not know all others yet.
    fn retry_budget(
        &mut self,
        service: &str,
        hosts: usize,
        planned_hosts: usize,
    ) -> Arc<Mutex<Budget>> {
        let initial = self.cfg.retry_initial / u32::try_from(planned_hosts).unwrap_or(u32::MAX);
        let new = || Arc::new(Mutex::new(Budget::new(self.cfg.retry_percent, initial)));
        let budget = self.retry_budgets.entry(service.to_owned()).or_insert_with(new);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        budget.lock().set_burst(self.cfg.retry_burst / hosts);
        budget.clone()
    }

    fn latency(&mut self, route: &route::Route) -> Arc<Mutex<LatencyEstimate>> {
        let objective = Duration::from_millis(route.objective_ms.min(route.timeout_ms));
        let new = || Arc::new(Mutex::new(LatencyEstimate::new(objective)));
        self.latencies.entry(route.name.clone()).or_insert_with(new).clone()
    }
}

fn node_view(node: &Node) -> NodeView {
    NodeView {
        name: node.name.clone(),
        incarnation: node.incarnation,
        http: node.http,
        rpc: node.rpc,
        zone: node.zone.clone(),
        usable: !node.leaving,
    }
}

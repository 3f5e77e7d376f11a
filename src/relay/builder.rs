//! Makes views from configurations, and keeps what outlives them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;

use crate::{
    policy::{budget::Budget, ownership},
    relay::{
        cold_start::Access,
        latency::LatencyEstimate,
        settings::Settings,
        split::SplitPicker,
        target::Target,
        view::{
            COLD_LABEL, MIN_HOSTS_PER_REGION, ResolvedRoute, RouteTable, SERVICE_LABEL, Service,
            ServiceKey, View,
        },
    },
    route,
    state::{self, Config, Node, NodeView, ObjectKind, Phase},
};

/// The part of a target's connections that all hosts together use. After a loss of power a target still counts the
/// connections of the processes that were lost.
const USABLE_CONNECTION_SHARE: f64 = 0.5;

/// How many connections a host that serves a name needs to each target: while a target pauses, the next sub-requests
/// must not wait for the first.
const MIN_CONNECTIONS_PER_HOST: usize = 4;

/// Limits are given in thousandths.
const THOUSANDTHS: u64 = 1_000;

/// What outlives a view: targets with their connections, budgets, usual times and positions in splits.
pub(super) struct Builder {
    cfg: Arc<Settings>,
    targets: HashMap<(String, u64), Arc<Target>>,
    retry_budgets: HashMap<String, Arc<Mutex<Budget>>>,
    latencies: HashMap<String, Arc<Mutex<LatencyEstimate>>>,
    split_pickers: HashMap<String, Arc<SplitPicker>>,
    table: Arc<RouteTable>,
}

impl Builder {
    pub(super) fn new(cfg: Arc<Settings>) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            retry_budgets: HashMap::new(),
            latencies: HashMap::new(),
            split_pickers: HashMap::new(),
            table: Arc::default(),
        }
    }

    /// Makes the view of a configuration. Targets that are not in it get no new work from now on.
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
            });
        }
        if self.table.version != table.version {
            self.table = Arc::new(self.resolve_table(table, &keys));
        }
        View {
            revision: config.revision,
            table: self.table.clone(),
            nodes,
            quarantine: config.quarantine().collect(),
            services,
        }
    }

    /// The zone of a service's nearest targets, if that is another one in the own region.
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
        }
    }

    fn update_targets(&mut self, config: &Config) -> BTreeMap<String, Vec<Arc<Target>>> {
        let mut known = HashSet::new();
        let mut by_service: BTreeMap<String, Vec<Arc<Target>>> = BTreeMap::new();
        let own_region = self.cfg.region(&self.cfg.zone).to_owned();
        let nodes: Vec<_> = config.nodes.values().map(node_view).collect();
        for target in config.targets.values() {
            let key = (target.name.clone(), target.incarnation);
            let region = self.cfg.region(&target.zone);
            let new = || Arc::new(Target::new(target, region, &own_region));
            let shared = self.targets.entry(key.clone()).or_insert_with(new).clone();
            known.insert(key);
            let drained = config.is_drained(ObjectKind::Zone, &target.zone);
            let usable = target.phase == Phase::Serving && !drained;
            shared.set_usable(usable);
            shared.cold_start.lock().set_access(self.access(config, target, &nodes));
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
        by_service
    }

    /// Who may send to a target. Only the owner sends to one in a cold start, if its limit is known.
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

    /// Each host gets an equal part of the burst. It starts with none of it, because another process of this host may
    /// have used it just before, but with a part of what is kept for such starts. A host that has just started knows
    /// only some of the `planned_hosts` hosts.
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

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
        cold::Access,
        rotation::Rotation,
        settings::Settings,
        target::Target,
        typical::Typical,
        view::{COLD_LABEL, MIN_HOSTS, Path, Routes, SERVICE_LABEL, Service, ServiceKey, View},
    },
    route,
    state::{self, Config, Node, NodeView, ObjectKind, Phase},
};

/// The part of a target's connections that all hosts together use. After a loss of power a target still counts the
/// connections of the processes that were lost.
const CONNECTION_SHARE: f64 = 0.5;

/// How many connections a host that serves a name needs to each target: while a target pauses, the next sub-requests
/// must not wait for the first.
const CONNECTIONS_WANTED: usize = 4;

/// Limits are given in thousandths.
const MILLIS: u64 = 1_000;

/// What outlives a view: targets with their connections, budgets, usual times and positions in splits.
pub(super) struct Builder {
    cfg: Arc<Settings>,
    targets: HashMap<(String, u64), Arc<Target>>,
    repeats: HashMap<String, Arc<Mutex<Budget>>>,
    typical: HashMap<String, Arc<Mutex<Typical>>>,
    rotations: HashMap<String, Arc<Rotation>>,
    routes: Arc<Routes>,
}

impl Builder {
    pub(super) fn new(cfg: Arc<Settings>) -> Self {
        Self {
            cfg,
            targets: HashMap::new(),
            repeats: HashMap::new(),
            typical: HashMap::new(),
            rotations: HashMap::new(),
            routes: Arc::default(),
        }
    }

    /// Makes the view of a configuration. Targets that are not in it get no new work from now on.
    pub(super) fn build(&mut self, config: &Config) -> View {
        let by_service = self.take_targets(config);
        let table = &config.routes;
        let nodes: Vec<_> = config.nodes.values().cloned().collect();
        let mut services = Vec::new();
        let mut keys = HashMap::new();
        let regions = self.regions();
        for (name, settings) in &table.services {
            let usable = f64::from(settings.max_connections) * CONNECTION_SHARE;
            let hosts = (usable as usize / CONNECTIONS_WANTED).div_ceil(regions);
            let hosts_in_region = hosts.max(MIN_HOSTS);
            let planned = hosts_in_region * regions;
            let hosts = planned.min(nodes.len().max(1));
            keys.insert(name.as_str(), ServiceKey(services.len()));
            let targets = by_service.get(name.as_str()).cloned().unwrap_or_default();
            services.push(Service {
                name: name.clone(),
                delegated_to: self.delegated_to(&targets),
                targets,
                connections: ((usable / hosts as f64).round() as usize).max(1),
                hosts_in_region,
                repeats: self.budget(name, hosts, planned),
            });
        }
        if self.routes.version != table.version {
            self.routes = Arc::new(self.resolve(table, &keys));
        }
        View {
            revision: config.revision,
            routes: self.routes.clone(),
            nodes,
            quarantine: config.quarantined_fingerprints().collect(),
            services,
        }
    }

    /// The zone of a service's nearest targets, if that is another one in the own region.
    fn delegated_to(&self, targets: &[Arc<Target>]) -> Option<String> {
        let own = &self.cfg.zone;
        if targets.iter().any(|it| it.zone == *own) {
            return None;
        }
        let near = targets.iter().filter(|it| it.region == self.cfg.own_region());
        near.map(|it| &it.zone).min().cloned()
    }

    fn regions(&self) -> usize {
        let regions: HashSet<_> = self.cfg.regions.values().collect();
        regions.len().max(1)
    }

    fn resolve(&mut self, table: &route::Table, keys: &HashMap<&str, ServiceKey>) -> Routes {
        let paths = table.routes.iter().map(|route| Path {
            to: route.services().filter_map(|it| keys.get(it).copied()).collect(),
            typical: self.typical(route),
            rotation: self.rotations.entry(route.name.clone()).or_default().clone(),
            route: route.clone(),
        });
        Routes {
            version: table.version,
            limits: table.limits.clone(),
            paths: paths.collect(),
            index: route::Index::new(table),
        }
    }

    fn take_targets(&mut self, config: &Config) -> BTreeMap<String, Vec<Arc<Target>>> {
        let mut known = HashSet::new();
        let mut by_service: BTreeMap<String, Vec<Arc<Target>>> = BTreeMap::new();
        let own_region = self.cfg.region(&self.cfg.zone).to_owned();
        let nodes: Vec<_> = config.nodes.values().map(candidate).collect();
        for target in config.targets.values() {
            let key = (target.name.clone(), target.incarnation);
            let region = self.cfg.region(&target.zone);
            let made = || Arc::new(Target::new(target, region, &own_region));
            let shared = self.targets.entry(key.clone()).or_insert_with(made).clone();
            known.insert(key);
            let drained = config.is_drained(ObjectKind::Zone, &target.zone);
            let usable = target.phase == Phase::Serving && !drained;
            shared.set_usable(usable);
            shared.cold.lock().set(self.access(config, target, &nodes));
            if let Some(service) = target.labels.get(SERVICE_LABEL)
                && usable
            {
                by_service.entry(service.clone()).or_default().push(shared);
            }
        }
        self.targets.retain(|key, target| {
            let kept = known.contains(key);
            if !kept {
                target.set_usable(false);
            }
            kept
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
        Access::Limited(usize::try_from((limit / MILLIS).max(1)).unwrap_or(1))
    }

    /// Each host gets an equal part of the burst. It starts with none of it, because another process of this host may
    /// have used it just before, but with a part of what is kept for such starts. A host that has just started knows
    /// only some of the `planned` hosts.
    fn budget(&mut self, service: &str, hosts: usize, planned: usize) -> Arc<Mutex<Budget>> {
        let first = self.cfg.repeat_first / u32::try_from(planned).unwrap_or(u32::MAX);
        let made = || Arc::new(Mutex::new(Budget::new(self.cfg.repeat_percent, first)));
        let budget = self.repeats.entry(service.to_owned()).or_insert_with(made);
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        budget.lock().set_burst(self.cfg.repeat_burst / hosts);
        budget.clone()
    }

    fn typical(&mut self, route: &route::Route) -> Arc<Mutex<Typical>> {
        let objective = Duration::from_millis(route.objective_ms.min(route.timeout_ms));
        let made = || Arc::new(Mutex::new(Typical::new(objective)));
        self.typical.entry(route.name.clone()).or_insert_with(made).clone()
    }
}

fn candidate(node: &Node) -> NodeView {
    NodeView {
        name: node.name.clone(),
        incarnation: node.incarnation,
        http: node.http,
        rpc: node.rpc,
        zone: node.zone.clone(),
        usable: !node.leaving,
    }
}

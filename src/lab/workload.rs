//! The main services of the two users, scaled to the size of one machine.

use crate::{
    lab::fleet::{Binaries, HostPlan, Plan, Service, target_template},
    settings::TargetSpec,
    state::Holding,
};

/// One user's service: its targets and the queries that it gets.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The name in the output and on the command line.
    pub name: &'static str,
    /// The availability zones.
    pub zones: [&'static str; 3],
    /// The service, which is also the name of its group.
    pub service: &'static str,
    /// The index of the service.
    pub index: &'static str,
    /// The request kind of short queries that a person waits for.
    pub quick_kind: &'static str,
    /// The request kind of searches that may take longer.
    pub broad_kind: &'static str,
    /// The share of quick queries in the normal load.
    pub quick_share: f64,
    /// The number of shards of the index; each has a replica in each zone.
    pub shards: u32,
    /// How many requests each target runs at once when warm.
    pub slots: u32,
    /// How many requests each target runs at once when cold.
    pub warm_up: u32,
    /// How many connections each target accepts.
    pub connections: u32,
    /// The setup time of a new connection, in milliseconds.
    pub connect_ms: u64,
    /// The median service time, in microseconds. It is long enough for this machine to generate twice the capacity.
    pub service_us: u64,
}

/// The label designer of Cubbyhole Marks Ltd.
pub const CUBBYHOLE: Workload = Workload {
    name: "cubbyhole",
    zones: ["tayside-a", "lothian-a", "highland-a"],
    service: "label-designer",
    index: "labels",
    quick_kind: "label-search",
    broad_kind: "customer-search",
    quick_share: 0.8,
    shards: 10,
    slots: 3,
    warm_up: 1,
    connections: 30,
    connect_ms: 6,
    service_us: 20_000,
};

/// The album portal of Suomen Hääkuva-albumien Liitto ry.
pub const ASSOCIATION: Workload = Workload {
    name: "association",
    zones: ["hki-kallio", "tre-hervanta", "oulu-linnanmaa"],
    service: "albumiportaali",
    index: "proofs",
    quick_kind: "couple-lookup",
    broad_kind: "proof-search",
    quick_share: 0.4,
    shards: 10,
    slots: 6,
    warm_up: 2,
    connections: 50,
    connect_ms: 6,
    service_us: 30_000,
};

impl Workload {
    /// How many queries per second all targets together can serve. Each query takes a slot of one replica of each
    /// shard.
    pub fn capacity_qps(&self) -> f64 {
        let slots = self.zones.len() as f64 * f64::from(self.slots);
        slots / (self.service_us as f64 / 1e6)
    }

    /// A fleet for this workload, with all targets in one process.
    pub fn plan(
        &self,
        binaries: Binaries,
        seed: u64,
        rows: u64,
        size: FleetSize,
        warm_after_ms: u64,
    ) -> Plan {
        let mut plan = Plan::new(binaries, seed, rows);
        plan.controls = hosts("control", size.controls, &self.zones);
        plan.entries = hosts("entry", size.entries, &self.zones);
        let targets = self.targets(&mut plan, warm_after_ms);
        plan.targets.push(targets);
        plan
    }

    /// The targets of the service, at addresses of the plan.
    pub fn targets(&self, plan: &mut Plan, warm_after_ms: u64) -> Vec<TargetSpec> {
        let limits =
            target_template(self.slots, self.connections, self.connect_ms, self.service_us);
        let service = Service {
            name: self.service.into(),
            index: self.index.into(),
            shards: self.shards,
            template: TargetSpec { warm_up: self.warm_up, warm_after_ms, ..limits },
        };
        service.targets(plan, &self.zones)
    }

    /// The number of shards of a version. Even versions have half as many more, so that a version change also changes
    /// the number of shards.
    pub fn shards_of(&self, version: u64) -> u32 {
        if version.is_multiple_of(2) { self.shards + self.shards / 2 } else { self.shards }
    }

    /// The holdings of a target for a version, if it was started with this shard. Its additional shards in even
    /// versions are `shard` plus a multiple of the normal number.
    pub fn holdings(&self, version: u64, shard: u32) -> Vec<Holding> {
        let shards = self.shards_of(version);
        (shard..shards)
            .step_by(self.shards as usize)
            .map(|shard| Holding { index: self.index.into(), version, shard, shards })
            .collect()
    }
}

/// The number of hosts of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Control hosts.
    pub controls: usize,
    /// Entry hosts.
    pub entries: usize,
}

/// Plans hosts named `PREFIX-NUMBER`, spread over the zones in turn.
pub fn hosts(prefix: &str, count: usize, zones: &[&str]) -> Vec<HostPlan> {
    (0..count).map(|i| HostPlan::new(format!("{prefix}-{i}"), zones[i % zones.len()])).collect()
}

//! The test bed of one workload: a fleet of processes, and the naive and the current system, which use the same
//! targets.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    lab::{
        caller::Caller,
        dataset::Dataset,
        fleet::{Binaries, Fleet},
        load::{ExpectedRows, Load, QueryStream, RoundRobinCallers, SystemUnderTest},
        naive_system::{Layout, NaiveSystem},
        target::fault::{Fault, FaultRequest, FaultStep},
        workload::{FleetSize, Workload},
    },
    wire::{caller::Query, owner::Class},
};

/// Rows of each version. With more rows, encoding JSON in the targets would take more CPU time than the system.
pub const ROWS: u64 = 1_000;

/// The seed of the data set and the loads.
pub const SEED: u64 = 11;

/// The load under normal conditions, as a share of the capacity.
const NORMAL_LOAD: f64 = 0.3;

/// Callers that send the queries in turn.
const CALLERS: usize = 12;

/// Different texts of quick queries.
const QUICK_TEXTS: u64 = 100;

/// Different texts of broad queries.
const BROAD_TEXTS: u64 = 8;

const QUICK_DEADLINE_MS: u64 = 400;
const BROAD_DEADLINE_MS: u64 = 700;

/// How long the system may take to cover all shards again after a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Consecutive answers that must cover all shards before the system counts as recovered.
const FULL_ANSWERS_REQUIRED: u32 = 5;

/// A system under test; the names appear in the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum System {
    /// The naive baseline.
    Naive,
    /// The system of this repository.
    Current,
}

/// The fleet and clients to measure one workload.
pub struct Bench {
    /// The workload.
    pub workload: Workload,
    /// The processes.
    pub fleet: Fleet,
    /// The naive baseline.
    pub naive: Arc<NaiveSystem>,
    /// Clients of the system of this repository.
    pub current: Arc<RoundRobinCallers>,
    /// The expected rows of answers.
    pub expected: ExpectedRows,
    version: AtomicU64,
    /// Whether the naive system is under test, so that crashing queries go to it.
    measuring_naive: AtomicBool,
}

impl Bench {
    /// Starts the fleet, configures it, and waits until the system covers all shards.
    pub async fn start(
        workload: Workload,
        binaries: Binaries,
        size: FleetSize,
        warm_after_ms: u64,
    ) -> eyre::Result<Self> {
        let plan = workload.plan(binaries, SEED, ROWS, size, warm_after_ms);
        let fleet = Fleet::start(plan).await?;
        let operator = &fleet.operator;
        operator
            .admit_all(
                workload.service,
                workload.index,
                &[workload.quick_kind, workload.broad_kind],
            )
            .await?;
        operator.set_label(&format!("kind/{}", workload.quick_kind), "class", "quick").await?;
        let callers = (0..CALLERS).map(|it| fleet.caller(&format!("caller-{it}"))).collect();
        let bench = Self {
            workload,
            naive: Arc::new(NaiveSystem::new(workload.index, Layout::default())),
            current: Arc::new(RoundRobinCallers::new(callers)),
            expected: ExpectedRows::new(Dataset { seed: SEED, rows: ROWS }, workload.index),
            version: AtomicU64::new(1),
            measuring_naive: AtomicBool::new(false),
            fleet,
        };
        bench.naive.set_layout(bench.layout(1));
        bench.wait_until_recovered().await?;
        Ok(bench)
    }

    /// The load of a scenario. `factor` multiplies the normal total rate; only the rate of broad queries is raised
    /// for it. With `unique_texts_run`, quick queries use texts that are specific to that run.
    pub fn load(&self, duration: Duration, factor: f64, unique_texts_run: Option<u64>) -> Load {
        let dataset = Dataset { seed: SEED, rows: ROWS };
        let (workload, index) = (&self.workload, self.workload.index);
        let normal = workload.capacity_qps() * NORMAL_LOAD;
        let quick_qps = normal * workload.quick_share;
        let quick_texts = match unique_texts_run {
            None => (0..QUICK_TEXTS).map(|it| dataset.narrow_text(index, it)).collect(),
            Some(run) => unique_texts(dataset, index, run, quick_qps * duration.as_secs_f64()),
        };
        let quick = QueryStream {
            class: Class::Quick,
            kind: workload.quick_kind.into(),
            qps: quick_qps,
            texts: quick_texts,
            deadline_ms: QUICK_DEADLINE_MS,
        };
        let broad = QueryStream {
            class: Class::Broad,
            kind: workload.broad_kind.into(),
            qps: factor * normal - quick_qps,
            texts: (0..BROAD_TEXTS).map(|it| dataset.broad_text(index, it)).collect(),
            deadline_ms: BROAD_DEADLINE_MS,
        };
        let seed = SEED + duration.as_millis() as u64;
        Load { group: workload.service.into(), streams: vec![quick, broad], duration, seed }
    }

    /// The factor from the normal load to twice the capacity.
    pub fn overload_factor() -> f64 {
        2.0 / NORMAL_LOAD
    }

    /// Sets the system under test, to which crashing queries go.
    pub fn set_system(&self, system: System) {
        self.measuring_naive.store(system == System::Naive, Ordering::Relaxed);
    }

    /// Sends the crashing query to the system under test and ignores the answer.
    pub async fn send_crashing_query(&self, caller: &Caller, query: &Query) {
        if self.measuring_naive.load(Ordering::Relaxed) {
            let _ = self.naive.query(query).await;
        } else {
            let _ = caller.query(query).await;
        }
    }

    /// Allocates the next version number.
    pub fn next_version(&self) -> u64 {
        self.version.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Replaces the holdings of the targets in a zone with their shards of a version.
    pub async fn set_zone_version(&self, zone: &str, version: u64) -> eyre::Result<()> {
        let process = &self.fleet.targets[0];
        let steps = self.fleet.plan.targets[0].iter().filter(|it| it.zone == zone).map(|it| {
            let holdings = self.workload.holdings(version, it.holdings[0].shard);
            FaultStep { targets: vec![it.name.clone()], fault: Fault::Hold { holdings } }
        });
        self.fleet.send_faults(process, FaultRequest { steps: steps.collect() }).await
    }

    /// The addresses of the replicas of each shard of a version.
    pub fn layout(&self, version: u64) -> Layout {
        let mut replicas = vec![Vec::new(); self.workload.shards_of(version) as usize];
        for target in &self.fleet.plan.targets[0] {
            for holding in self.workload.holdings(version, target.holdings[0].shard) {
                replicas[holding.shard as usize].push(target.listen);
            }
        }
        Layout { version, replicas }
    }

    /// Ends the faults that can be healed and waits until the system covers all shards again.
    pub async fn wait_until_recovered(&self) -> eyre::Result<()> {
        self.fleet.fault(&[], Fault::Heal).await?;
        let query = Query {
            group: self.workload.service.into(),
            kind: self.workload.quick_kind.into(),
            text: "Sinclair".into(),
            deadline_ms: BROAD_DEADLINE_MS,
        };
        let end = Instant::now() + RECOVERY_TIMEOUT;
        let mut consecutive_full = 0;
        while consecutive_full < FULL_ANSWERS_REQUIRED {
            let answer = self.current.query(&query).await;
            let full = answer.as_ref().is_ok_and(|it| it.total > 0 && it.covered == it.total);
            consecutive_full = if full { consecutive_full + 1 } else { 0 };
            if Instant::now() > end {
                eyre::bail!("no recovery within {RECOVERY_TIMEOUT:?}; last answer: {answer:?}");
            }
            if !full {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

/// Texts with the number of the run in them, so that no earlier run has sent them.
fn unique_texts(dataset: Dataset, index: &str, run: u64, expected_queries: f64) -> Vec<String> {
    let texts = |it| format!("{} r{run} n{it}", dataset.narrow_text(index, it));
    // Queries draw texts at random. With ten times as many texts as queries, few texts are drawn twice.
    (0..(expected_queries * 10.0) as u64).map(texts).collect()
}

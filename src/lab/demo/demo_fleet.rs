//! The processes of the demo, and the requests that its callers send.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    event::unix_ms,
    lab::{
        caller::Error,
        dataset::Dataset,
        fleet::{Binaries, Fleet, target_template},
        load::{ExpectedRows, Load, QueryStream, RoundRobinCallers, Sample, SystemUnderTest},
        target::fault::TargetStats,
        workload::{ASSOCIATION, CUBBYHOLE, FleetSize, Workload},
    },
    settings::TargetSpec,
    state::Holding,
    wire::{
        caller::{Answer, Dispatch, Query},
        owner::Class,
    },
};

pub const ZONES: [&str; 3] = CUBBYHOLE.zones;

/// The service whose targets run print dispatches.
pub const PRINT_QUEUE: &str = "print-queue";

/// The request kind of a print dispatch.
pub const PRINT_KIND: &str = "print-dispatch";

const PRINT_TARGETS: usize = 9;
const SEED: u64 = 42;
const ROWS: u64 = 10_000;
const DATASET: Dataset = Dataset { seed: SEED, rows: ROWS };
const SERVICE_US: u64 = 5_000;
const WARM_AFTER_MS: u64 = 500;
const ENTRIES_TTL_MS: i64 = 1_000;
const DEADLINE_MS: u64 = 1_500;
const CALLERS: usize = 6;

/// Label searches per second while the fleet changes.
const BACKGROUND_QPS: f64 = 60.0;

/// A search in one of the two indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    /// A search for a name in the label index; the number selects the name.
    Label(u64),
    /// A search for all proofs of a venue in a year; the number selects the venue.
    Proof(u64),
}

impl Search {
    fn workload(self) -> &'static Workload {
        match self {
            Self::Label(_) => &CUBBYHOLE,
            Self::Proof(_) => &ASSOCIATION,
        }
    }

    fn query(self) -> Query {
        let workload = self.workload();
        let (kind, text) = match self {
            Self::Label(n) => (workload.quick_kind, DATASET.narrow_text(workload.index, n)),
            Self::Proof(n) => (workload.broad_kind, DATASET.broad_text(workload.index, n)),
        };
        Query { group: workload.service.into(), kind: kind.into(), text, deadline_ms: DEADLINE_MS }
    }
}

/// The result of a search, and what the demo checks about it.
pub struct SearchResult {
    pub latency: Duration,
    pub result: Result<Answer, Error>,
    pub correct: bool,
    /// The longest time that a target needed for a sub-request of this search.
    pub slowest_shard: Duration,
}

/// The running processes, with callers and the expected rows of both indexes.
pub struct DemoFleet {
    pub fleet: Fleet,
    pub callers: Arc<RoundRobinCallers>,
    labels: ExpectedRows,
    proofs: ExpectedRows,
}

impl DemoFleet {
    /// Starts all processes and waits until they are healthy.
    pub async fn start(binaries: Binaries, controls: usize) -> eyre::Result<Self> {
        let cubbyhole = Workload { service_us: SERVICE_US, ..CUBBYHOLE };
        let association = Workload { service_us: SERVICE_US, zones: ZONES, ..ASSOCIATION };
        let size = FleetSize { controls, entries: ZONES.len() };
        let mut plan = cubbyhole.plan(binaries, SEED, ROWS, size, WARM_AFTER_MS);
        for entry in &mut plan.entries {
            entry.settings.insert("entries_ttl_ms".into(), ENTRIES_TTL_MS.into());
        }
        let proofs = association.targets(&mut plan, WARM_AFTER_MS);
        plan.targets.push(proofs);
        let print_targets =
            (0..PRINT_TARGETS).map(|it| print_target(it, plan.target_addr())).collect();
        plan.targets.push(print_targets);
        let fleet = Fleet::start(plan).await?;
        let callers = (0..CALLERS).map(|it| fleet.caller(&format!("designer-{it}"))).collect();
        Ok(Self {
            callers: Arc::new(RoundRobinCallers::new(callers)),
            labels: ExpectedRows::new(DATASET, CUBBYHOLE.index),
            proofs: ExpectedRows::new(DATASET, ASSOCIATION.index),
            fleet,
        })
    }

    /// Runs one search and compares its rows with a full scan of the data set.
    pub async fn search(&self, search: Search) -> eyre::Result<SearchResult> {
        let query = search.query();
        let before = self.fleet.stats().await?;
        let sent = Instant::now();
        let result = self.callers.query(&query).await;
        let latency = sent.elapsed();
        let after = self.fleet.stats().await?;
        let expected = match search {
            Search::Label(_) => &self.labels,
            Search::Proof(_) => &self.proofs,
        };
        let correct = result.as_ref().is_ok_and(|it| expected.is_correct(&query.text, it));
        Ok(SearchResult { latency, result, correct, slowest_shard: slowest(&before, &after) })
    }

    /// Runs label searches at a constant rate for a while and returns a sample of each.
    pub async fn background(&self, duration: Duration) -> Vec<Sample> {
        let texts = (0..20).map(|it| DATASET.narrow_text(CUBBYHOLE.index, it)).collect();
        let stream = QueryStream {
            class: Class::Quick,
            kind: CUBBYHOLE.quick_kind.into(),
            qps: BACKGROUND_QPS,
            texts,
            deadline_ms: DEADLINE_MS,
        };
        let load = Load {
            group: CUBBYHOLE.service.into(),
            streams: vec![stream],
            duration,
            seed: unix_ms(),
        };
        crate::lab::load::run(self.callers.clone(), &load).await
    }

    /// Whether each answer covers all shards and has the expected rows; false if there are no samples.
    pub fn all_correct(&self, samples: &[Sample]) -> bool {
        let correct = |it: &Sample| {
            it.result.as_ref().is_ok_and(|answer| self.labels.is_correct(&it.text, answer))
        };
        !samples.is_empty() && samples.iter().all(|it| it.covers_all_shards() && correct(it))
    }

    /// The counters of the targets in a zone.
    pub async fn zone_stats(&self, zone: &str) -> eyre::Result<Vec<TargetStats>> {
        let stats = self.fleet.stats().await?;
        Ok(stats.into_iter().filter(|it| it.zone == zone).collect())
    }
}

/// A print job with a new idempotency key.
pub fn print_job() -> Dispatch {
    let now = unix_ms();
    Dispatch {
        group: PRINT_QUEUE.into(),
        kind: PRINT_KIND.into(),
        key: format!("job-{now}"),
        issued_at_ms: now,
        body: "layout of rack R12".into(),
        deadline_ms: DEADLINE_MS,
        resend: false,
    }
}

fn print_target(number: usize, listen: std::net::SocketAddr) -> TargetSpec {
    TargetSpec {
        name: format!("{PRINT_QUEUE}-{number}"),
        zone: ZONES[number % ZONES.len()].into(),
        listen,
        labels: BTreeMap::from([("service".into(), PRINT_QUEUE.into())]),
        holdings: vec![Holding { index: PRINT_QUEUE.into(), version: 1, shard: 0, shards: 1 }],
        ..target_template(6, 130, 1, SERVICE_US)
    }
}

fn slowest(before: &[TargetStats], after: &[TargetStats]) -> Duration {
    let ran = before.iter().zip(after).filter(|(before, after)| after.finished > before.finished);
    let slowest = ran.map(|(_, after)| after.last_service_us).max();
    Duration::from_micros(slowest.unwrap_or(0))
}

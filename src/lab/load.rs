//! An open-loop load generator: queries arrive in a Poisson process, independent of how fast earlier ones are
//! answered.

use std::{
    collections::HashMap,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinSet;

use crate::{
    error::Outcome,
    lab::{
        caller::{Caller, Error},
        dataset::Dataset,
        reference,
    },
    wire::{
        caller::{Answer, Query, Row},
        owner::Class,
    },
};

/// A system that the load generator can query.
pub trait SystemUnderTest: Send + Sync + 'static {
    /// Answers one query.
    fn query(&self, query: &Query) -> impl Future<Output = Result<Answer, Error>> + Send;
}

/// Several callers that send the queries in turn.
pub struct RoundRobinCallers {
    callers: Vec<Caller>,
    next: AtomicUsize,
}

impl RoundRobinCallers {
    /// Makes a group of callers.
    pub fn new(callers: Vec<Caller>) -> Self {
        Self { callers, next: AtomicUsize::new(0) }
    }
}

impl SystemUnderTest for RoundRobinCallers {
    async fn query(&self, query: &Query) -> Result<Answer, Error> {
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.callers[turn % self.callers.len()].query(query).await
    }
}

/// A sequence of queries of one kind at a constant average rate.
#[derive(Clone, Debug)]
pub struct QueryStream {
    /// The admission class.
    pub class: Class,
    /// The request kind.
    pub kind: String,
    /// Queries per second.
    pub qps: f64,
    /// The texts; each query takes one at random.
    pub texts: Vec<String>,
    /// The deadline of each query, in milliseconds.
    pub deadline_ms: u64,
}

/// The queries that a run sends.
#[derive(Clone, Debug)]
pub struct Load {
    /// The group that is queried.
    pub group: String,
    /// The streams, which arrive independently of each other.
    pub streams: Vec<QueryStream>,
    /// For how long queries arrive.
    pub duration: Duration,
    /// The seed of arrival times and texts.
    pub seed: u64,
}

/// The outcome of one query.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The admission class.
    pub class: Class,
    /// The text.
    pub text: String,
    /// The planned arrival time, from the start of the load.
    pub arrival: Duration,
    /// The time from sending the query to its answer.
    pub latency: Duration,
    /// The answer.
    pub result: Result<Answer, Error>,
}

impl Sample {
    /// Whether the answer covers all shards.
    pub fn covers_all_shards(&self) -> bool {
        self.result.as_ref().is_ok_and(|it| it.total > 0 && it.covered == it.total)
    }

    /// Whether the query did not run: it was rejected, or no entry host could be reached.
    pub fn did_not_run(&self) -> bool {
        self.result.as_ref().is_err_and(|it| it.outcome() == Outcome::NotRun)
    }
}

/// Sends the queries of a load and waits for all answers.
pub async fn run<S: SystemUnderTest>(system: Arc<S>, load: &Load) -> Vec<Sample> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (arrival, stream, text) in arrivals(load) {
        tokio::time::sleep_until((start + arrival).into()).await;
        let query = Query {
            group: load.group.clone(),
            kind: stream.kind.clone(),
            text: text.clone(),
            deadline_ms: stream.deadline_ms,
        };
        let (system, class) = (system.clone(), stream.class);
        running.spawn(async move {
            let sent = Instant::now();
            let result = system.query(&query).await;
            Sample { class, text: query.text, arrival, latency: sent.elapsed(), result }
        });
    }
    running.join_all().await
}

fn arrivals(load: &Load) -> Vec<(Duration, &QueryStream, &String)> {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut all = Vec::new();
    for stream in load.streams.iter().filter(|it| it.qps > 0.0) {
        let Ok(interval) = Exp::new(stream.qps) else { continue };
        let mut arrival = interval.sample(&mut rng);
        while arrival < load.duration.as_secs_f64() {
            all.push((Duration::from_secs_f64(arrival), stream, pick(&mut rng, &stream.texts)));
            arrival += interval.sample(&mut rng);
        }
    }
    all.sort_by_key(|it| it.0);
    all
}

fn pick<'a>(rng: &mut impl Rng, texts: &'a [String]) -> &'a String {
    &texts[rng.random_range(0..texts.len())]
}

/// The rows of one version that match one text.
type Scan = Arc<Vec<Row>>;

/// The expected rows of answers, from a full scan of the data set. Scans are cached by version and text, since loads
/// repeat their texts.
pub struct ExpectedRows {
    dataset: Dataset,
    index: String,
    scans: Mutex<HashMap<(u64, String), Scan>>,
}

impl ExpectedRows {
    /// Makes an empty cache of expected rows.
    pub fn new(dataset: Dataset, index: &str) -> Self {
        Self { dataset, index: index.into(), scans: Mutex::default() }
    }

    /// Whether the answer has exactly the matching rows of its version in the shards that it covers.
    pub fn is_correct(&self, text: &str, answer: &Answer) -> bool {
        let key = (answer.version, text.to_owned());
        let mut scans = self.scans.lock();
        let all_rows = scans.entry(key).or_insert_with(|| {
            Arc::new(reference::full_scan(self.dataset, &self.index, answer.version, text))
        });
        reference::is_correct(answer, all_rows)
    }
}

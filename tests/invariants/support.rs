//! Starts a cluster of real processes with two services, generates query traffic, and polls for conditions.

use std::{
    collections::BTreeMap,
    fmt::Debug,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use gentianpass::{
    error::{Kind, Outcome},
    event::unix_ms,
    lab::{
        caller::{Caller, Error},
        dataset::Dataset,
        fleet::{Binaries, Fleet, HostPlan, Plan, Service, target_template},
        load::ExpectedRows,
        proxy::TcpProxy,
        target::fault::{Fault, TargetStats},
    },
    settings::TargetSpec,
    state::Holding,
    wire::caller::{Answer, Dispatch, Dispatched, Query},
};
use tokio::{
    sync::{Semaphore, SemaphorePermit},
    task::JoinHandle,
    time::sleep,
};
use toml::Value;

/// Seed of the data set and of the random choices of the tests.
pub const SEED: u64 = 20_261;

/// Availability zones. Entry host, control host and target process `i` are in zone `i`.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The searched service: its group, its selector and the prefix of its target names.
pub const SEARCH_GROUP: &str = "label-designer";

/// The index that [`SEARCH_GROUP`] searches.
pub const INDEX: &str = "labels";

/// The request kind of searches, which are idempotent.
pub const SEARCH_KIND: &str = "label-search";

/// The service that runs print jobs: its group, selector and index, and the prefix of its target names.
pub const PRINT_GROUP: &str = "print-queue";

/// The request kind of print jobs, which are not idempotent.
pub const PRINT_KIND: &str = "print-dispatch";

/// Number of shards of an odd index version, and of search targets per zone.
pub const SHARDS: u32 = 4;

/// Upper bound, stated in the design, until an accepted change is in force or the cluster has reacted to a failure.
pub const MAX_CONVERGENCE: Duration = Duration::from_secs(3);

/// The longest time that a new owner waits before it sends to a target: `lease_ms + max_sub_request_ms` with the
/// default settings. By then the lease of the previous owner and its last sub-request have ended.
pub const OWNERSHIP_WAIT: Duration = Duration::from_secs(4);

/// Upper bound for recovery from any failure in these tests. It covers the expiry of a host, the ownership wait and an
/// election.
pub const MAX_RECOVERY: Duration = Duration::from_secs(20);

const DATASET: Dataset = Dataset { seed: SEED, rows: 2_000 };

/// Offset from the RPC port of a control host to the port of the TCP proxy in front of it.
const PROXY_PORT_OFFSET: u16 = 500;

/// Pause between two polls of a condition, and between two queries of a caller.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Deadline of a search or a print job.
const DEADLINE_MS: u64 = 1_500;

/// Limits how many fleets run at once. With more than four on ten cores, the fleets slow each other down.
static FLEET_SLOTS: Semaphore = Semaphore::const_new(4);

/// A running fleet and the answers expected from it. Dropping it stops the processes.
pub struct Cluster {
    pub fleet: Fleet,
    pub expected: Arc<ExpectedRows>,
    _slot: SemaphorePermit<'static>,
}

/// Starts a control host, an entry host and a target process in each of the three zones, and waits until every entry
/// host returns answers that cover all shards.
pub async fn start_cluster() -> Cluster {
    start_cluster_with(|_| ()).await
}

/// Like [`start_cluster`], after `change` has modified the plan.
pub async fn start_cluster_with(change: impl FnOnce(&mut Plan)) -> Cluster {
    let mut plan = plan();
    change(&mut plan);
    start_cluster_from(plan).await
}

/// Like [`start_cluster`], but entry host 0 connects to the control hosts through the returned TCP proxies, which can
/// hold back its traffic.
pub async fn start_cluster_with_proxies() -> (Cluster, Vec<TcpProxy>) {
    let mut plan = plan();
    let mut proxies = Vec::new();
    for i in 0..plan.controls.len() {
        let to = plan.control(i).1;
        let listen = SocketAddr::new(to.ip(), to.port() + PROXY_PORT_OFFSET);
        proxies.push(TcpProxy::start(listen, to).await.expect("proxy started"));
    }
    let addresses: Vec<Value> = proxies.iter().map(|it| it.addr().to_string().into()).collect();
    plan.entries[0].settings.insert("control".into(), addresses.into());
    (start_cluster_from(plan).await, proxies)
}

/// Starts the fleet of a plan, and admits all callers to both services.
async fn start_cluster_from(plan: Plan) -> Cluster {
    let slot = FLEET_SLOTS.acquire().await.expect("semaphore is never closed");
    let fleet = Fleet::start(plan).await.expect("fleet started");
    let expected = Arc::new(ExpectedRows::new(DATASET, INDEX));
    let cluster = Cluster { fleet, expected, _slot: slot };
    let operator = &cluster.fleet.operator;
    operator
        .admit_all(PRINT_GROUP, PRINT_GROUP, &[PRINT_KIND])
        .await
        .expect("print group admitted");
    let kind = format!("kind/{PRINT_KIND}");
    operator.set_label(&kind, "idempotent", "false").await.expect("print kind labelled");
    operator
        .set_label(&format!("kind/{SEARCH_KIND}"), "class", "quick")
        .await
        .expect("search kind labelled");
    // Last, so that an entry host that covers all shards has the changes before it.
    operator.admit_all(SEARCH_GROUP, INDEX, &[SEARCH_KIND]).await.expect("search group admitted");
    cluster.wait_for_full_coverage().await;
    cluster
}

/// Plans a control host, an entry host and a target process per zone. Each target process runs a replica of every
/// search shard and a print target.
fn plan() -> Plan {
    let binaries = Binaries::beside(env!("CARGO_BIN_EXE_gentianpass-entry"));
    let mut plan = Plan::new(binaries, SEED, DATASET.rows);
    let search_template = TargetSpec { warm_after_ms: 300, ..target_template(3, 30, 1, 4_000) };
    let search = Service {
        name: SEARCH_GROUP.into(),
        index: INDEX.into(),
        shards: SHARDS,
        template: search_template,
    };
    let print = Service {
        name: PRINT_GROUP.into(),
        index: PRINT_GROUP.into(),
        shards: 1,
        template: TargetSpec { warm_up: 2, ..target_template(6, 30, 1, 4_000) },
    };
    for (i, zone) in ZONES.into_iter().enumerate() {
        plan.controls.push(HostPlan::new(format!("control-{i}"), zone));
        plan.entries.push(HostPlan::new(format!("entry-{i}"), zone).with("entries_ttl_ms", 1_000));
        let mut targets = search.targets(&mut plan, &[zone]);
        targets.extend(print.targets(&mut plan, &[zone]));
        plan.targets.push(targets);
    }
    plan
}

/// The name of the search target of a shard in a zone.
pub fn target_name(shard: u32, zone: &str) -> String {
    format!("{SEARCH_GROUP}-{shard:03}-{zone}")
}

/// The number of shards of a version. Even versions have more, so that each new version repartitions the index.
pub fn shard_count(version: u64) -> u32 {
    if version.is_multiple_of(2) { SHARDS + 2 } else { SHARDS }
}

/// The shards of these versions that belong to the target which was started with `shard`. In versions with more than
/// [`SHARDS`] shards, some targets hold two.
pub fn holdings(shard: u32, versions: &[u64]) -> Vec<Holding> {
    let held = |&version: &u64| {
        let shards = shard_count(version);
        (shard..shards).step_by(SHARDS as usize).map(move |shard| Holding {
            index: INDEX.into(),
            version,
            shard,
            shards,
        })
    };
    versions.iter().flat_map(held).collect()
}

/// A search text that matches a small number of rows.
pub fn search_text(number: u64) -> String {
    DATASET.narrow_text(INDEX, number)
}

/// A search request for this text.
pub fn query(text: &str) -> Query {
    Query {
        group: SEARCH_GROUP.into(),
        kind: SEARCH_KIND.into(),
        text: text.into(),
        deadline_ms: DEADLINE_MS,
    }
}

/// A print job with this idempotency key.
pub fn job(key: &str) -> Dispatch {
    Dispatch {
        group: PRINT_GROUP.into(),
        kind: PRINT_KIND.into(),
        key: key.into(),
        issued_at_ms: unix_ms(),
        body: format!("layout of {key}"),
        deadline_ms: DEADLINE_MS,
        resend: false,
    }
}

/// Polls until `poll` returns a value, and panics with `what` after `limit`.
pub async fn wait_until<T>(
    what: &str,
    limit: Duration,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> T {
    let start = Instant::now();
    loop {
        if let Some(it) = poll().await {
            return it;
        }
        assert!(
            start.elapsed() < limit,
            "timed out waiting for {what} after {limit:?}; seed {SEED}"
        );
        sleep(POLL_PAUSE).await;
    }
}

/// Sleeps until `after` has passed since `since`, so that a stated bound has expired.
pub async fn sleep_past(since: Instant, after: Duration) {
    tokio::time::sleep_until((since + after).into()).await;
}

impl Cluster {
    /// Makes a caller with this name, which knows all entry hosts.
    pub fn caller(&self, name: &str) -> Caller {
        self.fleet.caller(name)
    }

    /// Sends a search to one entry host.
    pub async fn query_at(&self, entry: usize, text: &str) -> Result<Answer, Error> {
        let addr = self.fleet.entries[entry].http;
        let timeout = Duration::from_millis(2 * DEADLINE_MS);
        self.caller("direct").call_at(addr, "/v1/query", &query(text), timeout).await
    }

    /// Sends a print job to one entry host.
    pub async fn dispatch_at(&self, entry: usize, job: &Dispatch) -> Result<Dispatched, Error> {
        let addr = self.fleet.entries[entry].http;
        let timeout = Duration::from_millis(2 * DEADLINE_MS);
        self.caller("printer").call_at(addr, "/v1/dispatch", job, timeout).await
    }

    /// Waits until each entry host has answered a search from all shards.
    pub async fn wait_for_full_coverage(&self) {
        for entry in 0..self.fleet.entries.len() {
            wait_until("an answer that covers all shards", MAX_RECOVERY, async || {
                let answer = self.query_at(entry, &search_text(1)).await.ok()?;
                (answer.covered == answer.total && answer.total > 0).then_some(())
            })
            .await;
        }
    }

    /// The counters of each target, by target name.
    pub async fn stats(&self) -> BTreeMap<String, TargetStats> {
        let stats = self.fleet.stats().await.expect("target statistics");
        stats.into_iter().map(|it| (it.name.clone(), it)).collect()
    }

    /// How many requests each target of a zone has received.
    pub async fn received_in(&self, zone: &str) -> BTreeMap<String, u64> {
        let stats = self.stats().await.into_values();
        stats.filter(|it| it.zone == zone).map(|it| (it.name, it.received)).collect()
    }

    /// Applies a fault to the targets with these names.
    pub async fn inject_fault(&self, names: &[String], fault: Fault) {
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.fleet.fault(&names, fault).await.expect("fault injected");
    }

    /// The index of the control leader in `fleet.controls`.
    pub async fn leader_index(&self) -> usize {
        wait_until("a control leader", MAX_RECOVERY, async || {
            let state = self.fleet.operator.state().await.ok()?;
            let leader = state.members.iter().find(|it| it.role == "leader")?.rpc;
            self.fleet.controls.iter().position(|it| it.rpc == leader)
        })
        .await
    }

    /// Asserts that an answer has exactly the rows that a scan of its version finds in the shards that it covers.
    pub fn assert_correct(&self, text: &str, answer: &Answer) {
        assert!(
            self.expected.is_correct(text, answer),
            "wrong rows for {text:?}; seed {SEED}: {answer:?}"
        );
    }

    /// Asserts that all successful answers are correct, and returns their number.
    pub fn assert_all_correct(&self, queries: &[SentQuery]) -> usize {
        let answers = queries.iter().filter_map(|it| Some((&it.text, it.result.as_ref().ok()?)));
        answers.map(|(text, answer)| self.assert_correct(text, answer)).count()
    }
}

/// A query that was sent, and its result.
#[derive(Clone, Debug)]
pub struct SentQuery {
    pub text: String,
    pub result: Result<Answer, Error>,
}

impl SentQuery {
    /// Whether the query was answered from all shards.
    pub fn is_complete(&self) -> bool {
        self.result.as_ref().is_ok_and(|it| it.total > 0 && it.covered == it.total)
    }
}

/// Background queries: each caller sends one query after another until the traffic is stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    finished: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<Vec<SentQuery>>>,
}

impl Traffic {
    /// Starts callers that fetch the list of entry hosts and retry a query at another entry host if it did not run
    /// there or its answer was lost.
    pub fn start(cluster: &Cluster, callers: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let finished = Arc::new(AtomicU64::new(0));
        let tasks = (0..callers)
            .map(|i| {
                let caller = cluster.caller(&format!("designer-{i}"));
                tokio::spawn(send_queries(caller, i, stop.clone(), finished.clone()))
            })
            .collect();
        Self { stop, finished, tasks }
    }

    /// Waits until this many more queries have finished, with an answer or an error.
    pub async fn wait_for_results(&self, more: u64) {
        let required = self.finished.load(Ordering::Relaxed) + more;
        wait_until("more query results", MAX_RECOVERY, async || {
            (self.finished.load(Ordering::Relaxed) >= required).then_some(())
        })
        .await;
    }

    /// Stops the callers and returns all queries that they sent.
    pub async fn stop(self) -> Vec<SentQuery> {
        self.stop.store(true, Ordering::Relaxed);
        let mut queries = Vec::new();
        for task in self.tasks {
            queries.extend(task.await.expect("caller task"));
        }
        queries
    }
}

/// Sends queries until `stop` is set. Each caller cycles through 40 texts, and starts at another one than the other
/// callers.
async fn send_queries(
    caller: Caller,
    number: u64,
    stop: Arc<AtomicBool>,
    finished: Arc<AtomicU64>,
) -> Vec<SentQuery> {
    let mut queries = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let text = search_text(number * 7 + queries.len() as u64 % 40);
        let result = caller.query(&query(&text)).await;
        queries.push(SentQuery { text, result });
        finished.fetch_add(1, Ordering::Relaxed);
        sleep(POLL_PAUSE).await;
    }
    queries
}

/// The outcome of a call: whether the request ran.
pub fn outcome<T>(result: &Result<T, Error>) -> Outcome {
    result.as_ref().err().map_or(Outcome::Done, Error::outcome)
}

/// The error kind that the system reported, if it reported a failure.
pub fn error_kind<T: Debug>(result: &Result<T, Error>) -> Option<Kind> {
    result.as_ref().err().and_then(Error::kind)
}

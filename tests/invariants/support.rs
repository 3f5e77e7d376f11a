//! A fleet of real processes with two services, the traffic that it gets, and conditions to wait for.

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

/// The seed of the data set and of all random choices.
pub const SEED: u64 = 20_261;

/// The availability zones; entry host, control host and target process `i` are in zone `i`.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// The service that is searched.
pub const LABELS: &str = "label-designer";

/// The index of [`LABELS`].
pub const INDEX: &str = "labels";

/// The kind of the searches.
pub const SEARCH: &str = "label-search";

/// The service that runs print jobs.
pub const PRINT: &str = "print-queue";

/// The kind of the print jobs.
pub const PRINT_KIND: &str = "print-dispatch";

/// The shards of odd versions.
pub const SHARDS: u32 = 4;

/// "A few seconds", as stated in the design.
pub const FEW_SECONDS: Duration = Duration::from_secs(3);

/// The longest wait of a new owner for the previous one: `lease + max_sub_request`.
pub const OWNER_WAIT: Duration = Duration::from_secs(4);

/// How long a fleet may take to recover from any failure here: expiry of a host, ownership wait, election.
pub const RECOVERY: Duration = Duration::from_secs(20);

const DATASET: Dataset = Dataset { seed: SEED, rows: 2_000 };
/// The distance between the port of a control host and that of the relay in front of it.
const RELAY_PORTS: u16 = 500;

const PAUSE: Duration = Duration::from_millis(20);
const DEADLINE_MS: u64 = 1_500;

/// Fleets that run at the same time. More of them slow each other down on a machine with ten cores.
static FLEETS: Semaphore = Semaphore::const_new(4);

/// A running fleet.
pub struct World {
    pub fleet: Fleet,
    pub expected: Arc<ExpectedRows>,
    _permit: SemaphorePermit<'static>,
}

/// Starts three control hosts, three entry hosts and three processes of targets, one of each in each zone.
pub async fn world() -> World {
    world_with(|_| ()).await
}

/// Like [`world`], with a changed plan.
pub async fn world_with(change: impl FnOnce(&mut Plan)) -> World {
    let mut plan = plan();
    change(&mut plan);
    world_from(plan).await
}

/// Like [`world`], with all links from entry host 0 to the control hosts through relays.
pub async fn world_with_links() -> (World, Vec<TcpProxy>) {
    let mut plan = plan();
    let mut relays = Vec::new();
    for i in 0..plan.controls.len() {
        let to = plan.control(i).1;
        let near = SocketAddr::new(to.ip(), to.port() + RELAY_PORTS);
        relays.push(TcpProxy::start(near, to).await.expect("relay"));
    }
    let addresses: Vec<Value> = relays.iter().map(|it| it.addr().to_string().into()).collect();
    plan.entries[0].settings.insert("control".into(), addresses.into());
    (world_from(plan).await, relays)
}

async fn world_from(plan: Plan) -> World {
    let permit = FLEETS.acquire().await.expect("open");
    let fleet = Fleet::start(plan).await.expect("fleet");
    let expected = Arc::new(ExpectedRows::new(DATASET, INDEX));
    let world = World { fleet, expected, _permit: permit };
    let operator = &world.fleet.operator;
    operator.admit_all(LABELS, INDEX, &[SEARCH]).await.expect("labels");
    operator.set_label(&format!("kind/{SEARCH}"), "class", "quick").await.expect("class");
    operator.admit_all(PRINT, PRINT, &[PRINT_KIND]).await.expect("print");
    let kind = format!("kind/{PRINT_KIND}");
    operator.set_label(&kind, "idempotent", "false").await.expect("kind");
    world.until_full().await;
    world
}

fn plan() -> Plan {
    let binaries = Binaries::beside(env!("CARGO_BIN_EXE_gentianpass-entry"));
    let mut plan = Plan::new(binaries, SEED, DATASET.rows);
    let labels = TargetSpec { warm_after_ms: 300, ..target_template(3, 30, 1, 4_000) };
    let labels =
        Service { name: LABELS.into(), index: INDEX.into(), shards: SHARDS, template: labels };
    let print = Service {
        name: PRINT.into(),
        index: PRINT.into(),
        shards: 1,
        template: TargetSpec { warm_up: 2, ..target_template(6, 30, 1, 4_000) },
    };
    for (i, zone) in ZONES.into_iter().enumerate() {
        plan.controls.push(HostPlan::new(format!("control-{i}"), zone));
        plan.entries.push(HostPlan::new(format!("entry-{i}"), zone).with("entries_ttl_ms", 1_000));
        let mut targets = labels.targets(&mut plan, &[zone]);
        targets.extend(print.targets(&mut plan, &[zone]));
        plan.targets.push(targets);
    }
    plan
}

/// The name of the target of a shard in a zone.
pub fn target(shard: u32, zone: &str) -> String {
    format!("{LABELS}-{shard:03}-{zone}")
}

/// The number of shards of a version: every second one is split differently.
pub fn shards_of(version: u64) -> u32 {
    if version.is_multiple_of(2) { SHARDS + 2 } else { SHARDS }
}

/// What the target that was started with this shard holds of these versions.
pub fn holdings(shard: u32, versions: &[u64]) -> Vec<Holding> {
    let of = |&version: &u64| {
        let shards = shards_of(version);
        (shard..shards).step_by(SHARDS as usize).map(move |shard| Holding {
            index: INDEX.into(),
            version,
            shard,
            shards,
        })
    };
    versions.iter().flat_map(of).collect()
}

/// A text that finds some rows.
pub fn text(number: u64) -> String {
    DATASET.narrow_text(INDEX, number)
}

/// A search.
pub fn query(text: &str) -> Query {
    Query { group: LABELS.into(), kind: SEARCH.into(), text: text.into(), deadline_ms: DEADLINE_MS }
}

/// A print job.
pub fn job(key: &str) -> Dispatch {
    Dispatch {
        group: PRINT.into(),
        kind: PRINT_KIND.into(),
        key: key.into(),
        issued_at_ms: unix_ms(),
        body: format!("layout of {key}"),
        deadline_ms: DEADLINE_MS,
        resend: false,
    }
}

/// Waits for a condition.
pub async fn until<T>(what: &str, limit: Duration, mut ask: impl AsyncFnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(it) = ask().await {
            return it;
        }
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}; seed {SEED}");
        sleep(PAUSE).await;
    }
}

/// Waits until `since` is `after` ago: a stated bound has passed.
pub async fn passed(since: Instant, after: Duration) {
    tokio::time::sleep_until((since + after).into()).await;
}

impl World {
    /// A caller with this name.
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

    /// Waits until each entry host answers a search in full.
    pub async fn until_full(&self) {
        for entry in 0..self.fleet.entries.len() {
            until("full answers", RECOVERY, async || {
                let answer = self.query_at(entry, &text(1)).await.ok()?;
                (answer.covered == answer.total && answer.total > 0).then_some(())
            })
            .await;
        }
    }

    /// What each target counted, by name.
    pub async fn stats(&self) -> BTreeMap<String, TargetStats> {
        let stats = self.fleet.stats().await.expect("stats");
        stats.into_iter().map(|it| (it.name.clone(), it)).collect()
    }

    /// How many requests each target of a zone has received.
    pub async fn received_in(&self, zone: &str) -> BTreeMap<String, u64> {
        let stats = self.stats().await.into_values();
        stats.filter(|it| it.zone == zone).map(|it| (it.name, it.received)).collect()
    }

    /// Applies a fault to the targets with these names.
    pub async fn fault(&self, names: &[String], fault: Fault) {
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        self.fleet.fault(&names, fault).await.expect("fault");
    }

    /// The position of the control leader.
    pub async fn leader(&self) -> usize {
        until("a leader", RECOVERY, async || {
            let state = self.fleet.operator.state().await.ok()?;
            let leader = state.members.iter().find(|it| it.role == "leader")?.rpc;
            self.fleet.controls.iter().position(|it| it.rpc == leader)
        })
        .await
    }

    /// Whether an answer has the rows of the direct scan of its version, restricted to the shards that it covers.
    pub fn check(&self, text: &str, answer: &Answer) {
        assert!(
            self.expected.is_correct(text, answer),
            "wrong rows for {text:?}; seed {SEED}: {answer:?}"
        );
    }

    /// Checks all answers, and returns how many there are.
    pub fn check_all(&self, shots: &[Shot]) -> usize {
        let answers = shots.iter().filter_map(|it| Some((&it.text, it.result.as_ref().ok()?)));
        answers.map(|(text, answer)| self.check(text, answer)).count()
    }
}

/// One query and its answer.
#[derive(Clone, Debug)]
pub struct Shot {
    pub text: String,
    pub result: Result<Answer, Error>,
}

impl Shot {
    /// Whether the answer covers all shards.
    pub fn full(&self) -> bool {
        self.result.as_ref().is_ok_and(|it| it.total > 0 && it.covered == it.total)
    }
}

/// Callers that send one query after another until they are stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<Vec<Shot>>>,
}

impl Traffic {
    /// Starts callers that use the list of entry hosts and repeat queries as callers may.
    pub fn start(world: &World, callers: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicU64::new(0));
        let tasks = (0..callers)
            .map(|i| {
                let caller = world.caller(&format!("designer-{i}"));
                tokio::spawn(send(caller, i, stop.clone(), sent.clone()))
            })
            .collect();
        Self { stop, sent, tasks }
    }

    /// Waits until this many more queries are answered.
    pub async fn answered(&self, more: u64) {
        let goal = self.sent.load(Ordering::Relaxed) + more;
        until("more answers", RECOVERY, async || {
            (self.sent.load(Ordering::Relaxed) >= goal).then_some(())
        })
        .await;
    }

    /// Stops the callers and returns what they sent.
    pub async fn stop(self) -> Vec<Shot> {
        self.stop.store(true, Ordering::Relaxed);
        let mut shots = Vec::new();
        for task in self.tasks {
            shots.extend(task.await.expect("caller"));
        }
        shots
    }
}

async fn send(
    caller: Caller,
    number: u64,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
) -> Vec<Shot> {
    let mut shots = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let text = text(number * 7 + shots.len() as u64 % 40);
        let result = caller.query(&query(&text)).await;
        shots.push(Shot { text, result });
        sent.fetch_add(1, Ordering::Relaxed);
        sleep(PAUSE).await;
    }
    shots
}

/// The outcome of a call.
pub fn outcome<T>(result: &Result<T, Error>) -> Outcome {
    result.as_ref().err().map_or(Outcome::Done, Error::outcome)
}

/// The error kind of a call that the system refused.
pub fn kind<T: Debug>(result: &Result<T, Error>) -> Option<Kind> {
    result.as_ref().err().and_then(Error::kind)
}

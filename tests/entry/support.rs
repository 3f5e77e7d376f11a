//! Runs an entry host in the test process, between a fake control host and fake owners.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use gentianpass::{
    entry::{self, HostContext},
    error::{Kind, Outcome, Result},
    event::{Event, unix_ms},
    settings,
    state::{Change, Group, Holding, Labels, Match, Phase, Selector, Target},
    wire::caller::{Answer, CALLER_HEADER, Failure},
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};

use crate::{control::FakeControl, owners::FakeOwners};

pub const TOKEN: &str = "operator-secret";

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Entry {
    pub addr: SocketAddr,
    pub owners: FakeOwners,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<Result<()>>,
}

pub struct Response {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Response {
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap_or_else(|err| panic!("{err}: {:?}", self.body))
    }

    /// The error kind and outcome. Checks that the HTTP status belongs to the kind.
    pub fn failure(&self) -> (Kind, Outcome) {
        let failure: Failure = self.json();
        assert_eq!(self.status.as_u16(), failure.error.status(), "{failure:?}");
        (failure.error, failure.outcome)
    }

    pub fn answer(&self) -> Answer {
        assert_eq!(self.status, StatusCode::OK, "{:?}", self.body);
        self.json()
    }
}

fn settings(control: SocketAddr, name: &str) -> settings::Entry {
    settings::Entry {
        name: name.into(),
        zone: "tayside-a".into(),
        listen_http: SocketAddr::from(([127, 0, 0, 1], 0)),
        listen_rpc: SocketAddr::from(([127, 0, 0, 1], 1)),
        control: vec![control],
        operator_token: TOKEN.into(),
        lease_ms: 1_000,
        poll_interval_ms: 100,
        max_sub_request_ms: 2_000,
        node_expiry_ms: 3_000,
        entries_ttl_ms: 200,
        silence_ms: 50,
        hedge_percent: 3,
        retry_percent: 5,
        max_queries: 64,
        workers: 2,
        trace_file: None,
        trace_one_in: 1,
    }
}

impl Entry {
    /// Starts an entry host without waiting for its lease.
    pub async fn launch(control: &FakeControl, name: &str) -> Self {
        let mut cfg = settings(control.addr, name);
        let listener = TcpListener::bind(cfg.listen_http).await.expect("listener");
        let addr = listener.local_addr().expect("address");
        cfg.listen_http = addr;
        let owners = FakeOwners::new();
        let (stop, stopped) = oneshot::channel();
        let task =
            tokio::spawn(entry::serve(HostContext::new(cfg), owners.clone(), listener, stopped));
        Self { addr, owners, stop: Some(stop), task }
    }

    /// Starts an entry host and waits until it serves callers.
    pub async fn start(control: &FakeControl, name: &str) -> Self {
        let entry = Self::launch(control, name).await;
        entry.serving().await;
        entry
    }

    /// Waits until the host holds its lease and serves callers.
    pub async fn serving(&self) {
        until("healthy", async || self.get("/healthz").await.status == StatusCode::OK).await;
    }

    /// Waits until the host has applied the newest configuration.
    pub async fn applied(&self, control: &FakeControl) {
        let revision = control.tables(|it| it.config.revision);
        until("applied", async || self.owners.revision() >= revision).await;
    }

    pub async fn get(&self, path: &str) -> Response {
        send(self.addr, Method::GET, path, "designer", String::new()).await
    }

    pub async fn post(&self, path: &str, caller: &str, body: impl Into<Bytes>) -> Response {
        send(self.addr, Method::POST, path, caller, body).await
    }

    pub async fn query(&self, text: &str, deadline_ms: u64) -> Response {
        self.post("/v1/query", "designer", query(text, deadline_ms).to_string()).await
    }

    pub async fn dispatch(&self, key: &str, issued_at_ms: u64) -> Response {
        self.post("/v1/dispatch", "designer", dispatch(key, issued_at_ms).to_string()).await
    }

    pub async fn events(&self) -> Vec<Event> {
        self.get("/v1/events").await.json()
    }

    /// Starts the planned stop.
    pub fn stop(&mut self) {
        self.stop.take().expect("stopped once").send(()).expect("running");
    }

    /// Waits until the host has ended and returns its result.
    pub async fn ended(self) -> Result<()> {
        let ended = tokio::time::timeout(WAIT_TIMEOUT, self.task).await;
        ended.expect("ended in time").expect("no panic")
    }
}

pub fn query(text: &str, deadline_ms: u64) -> Value {
    json!({ "group": "labels", "kind": "label-search", "text": text, "deadline_ms": deadline_ms })
}

pub fn dispatch(key: &str, issued_at_ms: u64) -> Value {
    json!({
        "group": "labels", "kind": "print", "key": key, "issued_at_ms": issued_at_ms,
        "body": "job", "deadline_ms": 1_500,
    })
}

/// The current time, as the issue time of a key.
pub fn now() -> u64 {
    unix_ms()
}

/// Sends a POST request as `caller` to any host.
pub async fn post(addr: SocketAddr, path: &str, caller: &str, body: impl Into<Bytes>) -> Response {
    send(addr, Method::POST, path, caller, body).await
}

/// Sends a message to a host that may have stopped; ignores errors.
pub async fn post_json(addr: SocketAddr, path: &str, message: &impl serde::Serialize) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let body = serde_json::to_vec(message).expect("json");
    let request = Request::post(format!("http://{addr}{path}")).body(Full::new(body.into()));
    let _ = client.request(request.expect("request")).await;
}

async fn send(
    addr: SocketAddr,
    method: Method,
    path: &str,
    caller: &str,
    body: impl Into<Bytes>,
) -> Response {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header(CALLER_HEADER, caller)
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"))
        .body(Full::new(body.into()))
        .expect("request");
    let response = client.request(request).await.expect("response");
    let status = response.status();
    let body = response.into_body().collect().await.expect("body").to_bytes();
    Response { status, body }
}

/// Waits until a condition holds. Fails after [`WAIT_TIMEOUT`].
pub async fn until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(key, value)| ((*key).into(), (*value).into())).collect()
}

pub fn set_label(object: &str, key: &str, value: &str) -> Change {
    let object = object.parse().expect("object");
    Change::SetLabel { object, key: key.into(), value: value.into() }
}

/// A target that holds one shard of each version. A version is given as its number and its number of shards.
pub fn target(name: &str, shard: u32, versions: &[(u64, u32)]) -> Target {
    let holding = |(version, shards)| Holding { index: "rack".into(), version, shard, shards };
    Target {
        name: name.into(),
        incarnation: 1,
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "tayside-a".into(),
        labels: labels(&[("service", "label-designer")]),
        slots: 3,
        warm_up: 1,
        connections: 30,
        phase: Phase::Serving,
        holdings: versions.iter().copied().map(holding).collect(),
    }
}

/// A fake control host with a group, a selector, the kinds `label-search` and `print`, and targets that hold `shards`
/// shards of version 1 in `replicas` replicas, named `tSHARD-REPLICA`.
pub async fn control(shards: u32, replicas: u32) -> FakeControl {
    let control = FakeControl::start().await;
    control.accept(Change::PutGroup(Group {
        name: "labels".into(),
        index: "rack".into(),
        targets: Match(labels(&[("service", "label-designer")])),
    }));
    control.accept(Change::PutSelector(Selector {
        name: "designers".into(),
        callers: Match(labels(&[("team", "design")])),
        kinds: BTreeSet::from(["label-search".to_owned(), "print".to_owned()]),
        group: "labels".into(),
    }));
    control.accept(set_label("caller/designer", "team", "design"));
    control.accept(set_label("kind/label-search", "class", "quick"));
    control.accept(set_label("kind/print", "idempotent", "false"));
    for shard in 0..shards {
        for replica in 0..replicas {
            let name = format!("t{shard}-{replica}");
            control.accept(Change::PutTarget(target(&name, shard, &[(1, shards)])));
        }
    }
    control
}

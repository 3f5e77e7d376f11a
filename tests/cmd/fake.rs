//! Fake control host and entry hosts: HTTP servers in the test process that share one state and apply changes with the
//! code of the real control state.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use axum::{
    Json, Router,
    body::Body,
    extract::{Query, Request, State as AxumState},
    http::{HeaderMap, HeaderValue, StatusCode},
    middleware::{Next, from_fn},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use futures::stream;
use gentianpass::{
    error::{Error, Kind, Outcome},
    event::{self, Event, Filter},
    state::{Change, Entry, Group, Holding, Match, Node, Phase, Reply, Selector, Tables, Target},
    wire::{
        caller::Failure,
        operator::{ChangeAnswer, ChangeRequest, EntryStatus, Member, OwnedTarget, State},
    },
};
use tokio::net::TcpListener;
use uuid::Uuid;

pub const TOKEN: &str = "secret-of-operators";

/// 2026-12-04T07:00:00Z, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_796_367_600_000;

/// State of all fake hosts: the control state, failures to inject, and the requests received.
#[derive(Default)]
pub struct FakeState {
    pub tables: Tables,
    /// How many of the next answers to changes break off, after the change has been applied.
    pub lost_answers: u32,
    /// Another operator's change, applied right before the next change that arrives.
    pub concurrent_change: Option<Change>,
    /// The ids of all changes received, repeated ones included.
    pub change_ids: Vec<String>,
    /// The filters of all requests for events.
    pub event_filters: Vec<Filter>,
}

impl FakeState {
    /// Applies a change that does not come through the API.
    pub fn apply(&mut self, change: Change) {
        let id = Uuid::new_v4().as_u128();
        let base = Some(self.tables.config.operator_revision);
        let reply = self.tables.apply(&Entry { id, base, at_ms: START_MS, change });
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }
}

#[derive(Clone)]
struct Host {
    name: &'static str,
    state: Arc<Mutex<FakeState>>,
}

/// A control host `c1` and the entry hosts `n-x` and `n-y` in the zones `x` and `y`. Group `label-designer` has two
/// shards; zone `x` has the only replica of shard 1.
pub struct FakeCluster {
    pub control: SocketAddr,
    state: Arc<Mutex<FakeState>>,
}

impl FakeCluster {
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(FakeState::default()));
        let control = serve("c1", &state).await;
        let fake = Self { control, state };
        for (name, zone) in [("n-x", "x"), ("n-y", "y")] {
            let http = serve(name, &fake.state).await;
            fake.add_node(name, zone, http);
        }
        let mut state = fake.lock_state();
        for (name, zone, shard) in [("ld-0-x", "x", 0), ("ld-0-y", "y", 0), ("ld-1-x", "x", 1)] {
            state.apply(Change::PutTarget(target(name, zone, shard)));
        }
        state.apply(Change::PutGroup(Group {
            name: "label-designer".into(),
            index: "labels".into(),
            targets: Match([("service".into(), "label-designer".into())].into()),
        }));
        drop(state);
        fake
    }

    pub fn lock_state(&self) -> MutexGuard<'_, FakeState> {
        self.state.lock().expect("not poisoned")
    }

    pub fn add_node(&self, name: &str, zone: &str, http: SocketAddr) {
        self.lock_state().apply(Change::PutNode(Node {
            name: name.into(),
            incarnation: 1,
            http,
            rpc: http,
            zone: zone.into(),
            leaving: false,
        }));
    }

    pub fn set_label(&self, object: &str, key: &str, value: &str) {
        let object = object.parse().expect("object");
        self.lock_state().apply(Change::SetLabel { object, key: key.into(), value: value.into() });
    }

    pub fn add_selector(&self) {
        self.lock_state().apply(Change::PutSelector(Selector {
            name: "designers".into(),
            callers: Match([("team".into(), "design".into())].into()),
            kinds: BTreeSet::from(["label-search".into()]),
            group: "label-designer".into(),
        }));
    }

    /// Replaces the ports of the fake hosts, which differ in each run, with 0 for the control host and 1, 2 and so on for
    /// the entry hosts. Leading zeros keep the number of digits, because it determines the width of the column.
    pub fn replace_ports(&self, mut text: String) -> String {
        let nodes: Vec<_> =
            self.lock_state().tables.config.nodes.values().map(|it| it.http).collect();
        for (i, addr) in [self.control].into_iter().chain(nodes).enumerate() {
            let width = addr.port().to_string().len();
            text = text.replace(&addr.to_string(), &format!("127.0.0.1:{i:0width$}"));
        }
        text
    }
}

fn target(name: &str, zone: &str, shard: u32) -> Target {
    Target {
        name: name.into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: zone.into(),
        labels: [("service".into(), "label-designer".into())].into(),
        slots: 3,
        warm_up: 1,
        connections: 30,
        phase: Phase::Serving,
        holdings: vec![Holding { index: "labels".into(), version: 7, shard, shards: 2 }],
    }
}

async fn serve(name: &'static str, state: &Arc<Mutex<FakeState>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("address");
    let router = Router::new()
        .route("/v1/state", get(get_state))
        .route("/v1/changes", post(post_change))
        .route("/v1/events", get(get_events))
        .route("/v1/status", get(get_status))
        .layer(from_fn(authorize))
        .with_state(Host { name, state: state.clone() });
    // The task ends with the runtime of the test.
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

async fn authorize(headers: HeaderMap, request: Request, next: Next) -> Response {
    let sent = headers.get("authorization").map(HeaderValue::as_bytes);
    if sent == Some(format!("Bearer {TOKEN}").as_bytes()) {
        return next.run(request).await;
    }
    let failure = Failure {
        request_id: None,
        error: Kind::Unauthorized,
        outcome: Outcome::NotRun,
        message: "wrong token".into(),
    };
    (StatusCode::UNAUTHORIZED, Json(failure)).into_response()
}

async fn get_state(AxumState(host): AxumState<Host>) -> Response {
    let state = host.state.lock().expect("not poisoned");
    let member = Member {
        id: Uuid::nil().to_string(),
        name: "c1".into(),
        zone: "x".into(),
        rpc: ([127, 0, 0, 1], 7_001).into(),
        role: "leader".into(),
    };
    Json(State::new(&state.tables.config, vec![member])).into_response()
}

async fn post_change(
    AxumState(host): AxumState<Host>,
    Json(request): Json<ChangeRequest>,
) -> Response {
    let mut state = host.state.lock().expect("not poisoned");
    if let Some(change) = state.concurrent_change.take() {
        state.apply(change);
    }
    let id = request.id.parse::<Uuid>().expect("UUID").as_u128();
    state.change_ids.push(request.id);
    let change = request.edit.into();
    let reply =
        state.tables.apply(&Entry { id, base: Some(request.base), at_ms: START_MS, change });
    if state.lost_answers > 0 {
        state.lost_answers -= 1;
        let lost = stream::once(async { Err::<&str, _>(std::io::Error::other("lost")) });
        return Body::from_stream(lost).into_response();
    }
    let mut answer = ChangeAnswer {
        revision: state.tables.config.revision,
        operator_revision: state.tables.config.operator_revision,
        error: None,
        message: String::new(),
    };
    let err = match reply {
        Reply::Applied { revision } => {
            answer.revision = revision;
            return Json(answer).into_response();
        }
        Reply::Conflict { .. } => Error::new(Kind::Conflict, "stale base"),
        Reply::Rejected(err) => err,
        other => panic!("{other:?}"),
    };
    let status = StatusCode::from_u16(err.kind.status()).expect("status");
    answer.error = Some(err.kind);
    answer.message = err.message;
    (status, Json(answer)).into_response()
}

async fn get_events(AxumState(host): AxumState<Host>, Query(filter): Query<Filter>) -> Response {
    let drained = Event::new(event::Kind::ConfigApplied, "zone/x: drain=true").zone("x");
    let rejected = Event::new(event::Kind::Rejected, "the target drains")
        .target("ld-0-x")
        .zone("x")
        .request("r1");
    let events = match host.name {
        "c1" => vec![Event { at_ms: START_MS + 500, ..drained }],
        "n-x" => vec![
            Event { at_ms: START_MS + 750, ..rejected },
            Event {
                at_ms: START_MS,
                ..Event::new(event::Kind::LeaseGained, "first poll").zone("x")
            },
        ],
        _ => Vec::new(),
    };
    let matches = |wanted: &Option<String>, it: &Option<String>| wanted.is_none() || wanted == it;
    let events = events.into_iter().map(|it| Event { host: host.name.into(), ..it });
    let events: Vec<_> = events
        .filter(|it| matches(&filter.request, &it.request) && matches(&filter.zone, &it.zone))
        .filter(|it| matches(&filter.target, &it.target))
        .collect();
    host.state.lock().expect("not poisoned").event_filters.push(filter);
    Json(events).into_response()
}

async fn get_status(AxumState(host): AxumState<Host>) -> Response {
    let state = host.state.lock().expect("not poisoned");
    let zone = &host.name[2..];
    let drained = state.tables.config.has_operator_label(
        gentianpass::state::ObjectKind::Zone,
        zone,
        "drain",
        "true",
    );
    let targets = state.tables.config.targets.values().filter(|it| it.zone == zone);
    let owned = |it: &Target| OwnedTarget {
        name: it.name.clone(),
        zone: it.zone.clone(),
        limit: 2,
        slots: it.slots,
        in_flight: 1,
        queued: 0,
        connections: 4,
        closed: drained.then(|| "zone drains".into()),
    };
    Json(EntryStatus {
        name: host.name.into(),
        zone: zone.into(),
        revision: state.tables.config.revision,
        lease_left_ms: 1_800,
        leaving: false,
        targets: targets.map(owned).collect(),
    })
    .into_response()
}

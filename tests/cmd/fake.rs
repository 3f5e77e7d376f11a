//! Stand-ins for a control host and entry hosts.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use axum::{
    Json, Router,
    body::Body,
    extract::{Query, Request, State as Shared},
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

/// What the stand-ins do.
#[derive(Default)]
pub struct Plan {
    pub tables: Tables,
    /// Answers to changes that break off after the change was applied.
    pub lost_answers: u32,
    /// A change of another operator that comes right before the next change.
    pub race: Option<Change>,
    /// The ids of the changes that arrived.
    pub ids: Vec<String>,
    /// The filters of the requests for events.
    pub filters: Vec<Filter>,
}

impl Plan {
    pub fn accept(&mut self, change: Change) {
        let id = Uuid::new_v4().as_u128();
        let base = Some(self.tables.config.operator_revision);
        let reply = self.tables.apply(&Entry { id, base, at_ms: START_MS, change });
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }
}

#[derive(Clone)]
struct Host {
    name: &'static str,
    plan: Arc<Mutex<Plan>>,
}

/// A control host `c1` and the entry hosts `n-x` and `n-y` in the zones `x` and `y`. Group `label-designer` has two
/// shards; zone `x` has the only replica of shard 1.
pub struct Fake {
    pub control: SocketAddr,
    plan: Arc<Mutex<Plan>>,
}

impl Fake {
    pub async fn start() -> Self {
        let plan = Arc::new(Mutex::new(Plan::default()));
        let control = serve("c1", &plan).await;
        let fake = Self { control, plan };
        for (name, zone) in [("n-x", "x"), ("n-y", "y")] {
            let http = serve(name, &fake.plan).await;
            fake.add_node(name, zone, http);
        }
        let mut plan = fake.plan();
        for (name, zone, shard) in [("ld-0-x", "x", 0), ("ld-0-y", "y", 0), ("ld-1-x", "x", 1)] {
            plan.accept(Change::PutTarget(target(name, zone, shard)));
        }
        plan.accept(Change::PutGroup(Group {
            name: "label-designer".into(),
            index: "labels".into(),
            targets: Match([("service".into(), "label-designer".into())].into()),
        }));
        drop(plan);
        fake
    }

    pub fn plan(&self) -> MutexGuard<'_, Plan> {
        self.plan.lock().expect("not poisoned")
    }

    pub fn add_node(&self, name: &str, zone: &str, http: SocketAddr) {
        self.plan().accept(Change::PutNode(Node {
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
        self.plan().accept(Change::SetLabel { object, key: key.into(), value: value.into() });
    }

    pub fn add_selector(&self) {
        self.plan().accept(Change::PutSelector(Selector {
            name: "designers".into(),
            callers: Match([("team".into(), "design".into())].into()),
            kinds: BTreeSet::from(["label-search".into()]),
            group: "label-designer".into(),
        }));
    }

    /// Replaces the ports of the stand-ins, which differ in each run. The length stays the same.
    pub fn fixed_ports(&self, mut text: String) -> String {
        let nodes: Vec<_> = self.plan().tables.config.nodes.values().map(|it| it.http).collect();
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

async fn serve(name: &'static str, plan: &Arc<Mutex<Plan>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("address");
    let router = Router::new()
        .route("/v1/state", get(state))
        .route("/v1/changes", post(change))
        .route("/v1/events", get(events))
        .route("/v1/status", get(status))
        .layer(from_fn(authorize))
        .with_state(Host { name, plan: plan.clone() });
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

async fn state(Shared(host): Shared<Host>) -> Response {
    let plan = host.plan.lock().expect("not poisoned");
    let member = Member {
        id: Uuid::nil().to_string(),
        name: "c1".into(),
        zone: "x".into(),
        rpc: ([127, 0, 0, 1], 7_001).into(),
        role: "leader".into(),
    };
    Json(State::new(&plan.tables.config, vec![member])).into_response()
}

async fn change(Shared(host): Shared<Host>, Json(request): Json<ChangeRequest>) -> Response {
    let mut plan = host.plan.lock().expect("not poisoned");
    if let Some(change) = plan.race.take() {
        plan.accept(change);
    }
    let id = request.id.parse::<Uuid>().expect("UUID").as_u128();
    plan.ids.push(request.id);
    let change = request.edit.into();
    let reply = plan.tables.apply(&Entry { id, base: Some(request.base), at_ms: START_MS, change });
    if plan.lost_answers > 0 {
        plan.lost_answers -= 1;
        let lost = stream::once(async { Err::<&str, _>(std::io::Error::other("lost")) });
        return Body::from_stream(lost).into_response();
    }
    let mut answer = ChangeAnswer {
        revision: plan.tables.config.revision,
        operator_revision: plan.tables.config.operator_revision,
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

async fn events(Shared(host): Shared<Host>, Query(filter): Query<Filter>) -> Response {
    let drained = Event::new(event::Kind::ConfigApplied, "zone/x: drain=true").zone("x");
    let rejected = Event::new(event::Kind::Rejected, "the target drains")
        .target("ld-0-x")
        .zone("x")
        .request("r1");
    let found = match host.name {
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
    let same = |wanted: &Option<String>, it: &Option<String>| wanted.is_none() || wanted == it;
    let found = found.into_iter().map(|it| Event { host: host.name.into(), ..it });
    let found: Vec<_> = found
        .filter(|it| same(&filter.request, &it.request) && same(&filter.zone, &it.zone))
        .filter(|it| same(&filter.target, &it.target))
        .collect();
    host.plan.lock().expect("not poisoned").filters.push(filter);
    Json(found).into_response()
}

async fn status(Shared(host): Shared<Host>) -> Response {
    let plan = host.plan.lock().expect("not poisoned");
    let zone = &host.name[2..];
    let drained = plan.tables.config.has_operator_label(
        gentianpass::state::ObjectKind::Zone,
        zone,
        "drain",
        "true",
    );
    let targets = plan.tables.config.targets.values().filter(|it| it.zone == zone);
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
        revision: plan.tables.config.revision,
        lease_left_ms: 1_800,
        leaving: false,
        targets: targets.map(owned).collect(),
    })
    .into_response()
}

//! A stand-in control host and entry hosts with an owner each.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use gentianpass::{
    control,
    error::Error,
    event,
    lab::control::{Calls, serve},
    lease::Lease,
    metric,
    owner::Owner,
    peer::Peers,
    settings,
    state::{Change, Entry, Node, Phase, Reply, Tables, Target, View},
    wire::{
        control::{Poll, Submit, Update},
        operator::OwnedTarget,
        target::Announcement,
    },
};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::fake::Fake;

/// Short times, so that waits end soon: the wait for a previous owner is their sum.
pub const LEASE_MS: u64 = 600;
pub const MAX_SUB_REQUEST_MS: u64 = 900;

/// The control state and what was committed.
pub struct Net {
    tables: Arc<Mutex<Tables>>,
    pub committed: Arc<Mutex<Vec<Change>>>,
    control: SocketAddr,
    next_id: AtomicU64,
}

#[derive(Clone)]
struct Control {
    tables: Arc<Mutex<Tables>>,
    committed: Arc<Mutex<Vec<Change>>>,
}

impl Calls for Control {
    async fn poll(&self, _: Poll) -> Result<Update, Error> {
        Ok(Update::Config(Box::new(self.tables.lock().config.clone())))
    }

    async fn submit(&self, submit: Submit) -> Result<Reply, Error> {
        let Submit { id, base, change } = submit;
        let reply = self.tables.lock().apply(&Entry { id, base, at_ms: 1, change: change.clone() });
        self.committed.lock().push(change);
        Ok(reply)
    }
}

impl Net {
    pub async fn start() -> Self {
        let tables = Arc::new(Mutex::new(Tables::default()));
        let committed = Arc::new(Mutex::new(Vec::new()));
        let server = Control { tables: tables.clone(), committed: committed.clone() };
        let control = serve(server).await.expect("listener");
        Self { tables, committed, control, next_id: AtomicU64::new(1) }
    }

    pub fn put(&self, change: Change) {
        let id = u128::from(self.next_id.fetch_add(1, Ordering::SeqCst));
        let mut tables = self.tables.lock();
        let base = Some(tables.config.operator_revision);
        let reply = tables.apply(&Entry { id, base, at_ms: 1, change });
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }

    pub fn put_target(&self, fake: &Fake, warm_up: u32, slots: u32) {
        self.put(Change::PutTarget(target(fake, warm_up, slots)));
    }

    pub fn drain(&self, object: &str, value: &str) {
        let object = object.parse().expect("object");
        self.put(Change::SetLabel { object, key: "drain".into(), value: value.into() });
    }

    pub fn view(&self) -> Arc<View> {
        Arc::new(View::build(&self.tables.lock().config))
    }
}

pub fn target(fake: &Fake, warm_up: u32, slots: u32) -> Target {
    Target {
        name: fake.name.clone(),
        incarnation: fake.facts.incarnation.load(Ordering::SeqCst),
        addr: fake.addr,
        zone: "tayside-a".into(),
        labels: Default::default(),
        slots,
        warm_up,
        connections: 8,
        phase: Phase::Serving,
        holdings: Vec::new(),
    }
}

/// An entry host with a lease that is renewed until [`Host::cut_off`].
pub struct Host {
    pub owner: Arc<Owner>,
    pub lease: Arc<Lease>,
    pub events: Arc<event::Ring>,
    pub rpc: SocketAddr,
    node: Node,
    connected: Arc<AtomicBool>,
    stopped: Arc<Notify>,
}

impl Host {
    /// Starts the host and makes it known; it applies the revision that shows it.
    pub async fn start(net: &Net, name: &str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let rpc = listener.local_addr().expect("address");
        let node = Node {
            name: name.into(),
            incarnation: 1,
            http: rpc,
            rpc,
            zone: "tayside-a".into(),
            leaving: false,
        };
        let lease = Arc::new(Lease::new(Duration::from_millis(LEASE_MS)));
        let events = Arc::new(event::Ring::new(name));
        let owner = Owner::new(
            &settings(name, net.control, rpc),
            node.incarnation,
            Arc::new(control::Client::new(vec![net.control])),
            lease.clone(),
            Arc::new(Peers::new()),
            events.clone(),
            &metric::Registry::default(),
        );
        let stopped = Arc::new(Notify::new());
        let stop = stopped.clone();
        tokio::spawn(owner.clone().serve(listener, async move { stop.notified().await }));
        let connected = Arc::new(AtomicBool::new(true));
        let host = Self { owner, lease, events, rpc, node, connected, stopped };
        host.owner.apply(&net.view());
        net.put(Change::PutNode(host.node.clone()));
        host.apply(net);
        tokio::spawn(renew(host.lease.clone(), host.connected.clone()));
        host
    }

    pub fn apply(&self, net: &Net) {
        let sent = Instant::now();
        self.owner.apply(&net.view());
        self.lease.renew(sent);
    }

    /// Announces a target now and then until the returned flag is cleared.
    pub fn announce(&self, announcement: Announcement) -> Arc<AtomicBool> {
        let alive = Arc::new(AtomicBool::new(true));
        let (owner, flag) = (self.owner.clone(), alive.clone());
        tokio::spawn(async move {
            while flag.load(Ordering::SeqCst) {
                let _ = owner.renew(announcement.clone());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
        alive
    }

    /// Ends the renewal of the lease.
    pub fn cut_off(&self) {
        self.connected.store(false, Ordering::SeqCst);
    }

    pub fn status(&self, target: &str) -> OwnedTarget {
        let found = self.owner.status().into_iter().find(|it| it.name == target);
        found.expect("owned target")
    }

    pub fn owns(&self, target: &str) -> bool {
        self.owner.status().iter().any(|it| it.name == target)
    }

    pub fn has_event(&self, kind: event::Kind, target: &str, cause: &str) -> bool {
        let filter = event::Filter { target: Some(target.into()), ..Default::default() };
        self.events.find(&filter).iter().any(|it| it.kind == kind && it.cause.contains(cause))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.cut_off();
        self.stopped.notify_one();
    }
}

async fn renew(lease: Arc<Lease>, connected: Arc<AtomicBool>) {
    while connected.load(Ordering::SeqCst) {
        lease.renew(Instant::now());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn settings(name: &str, control: SocketAddr, rpc: SocketAddr) -> settings::Entry {
    settings::Entry {
        name: name.into(),
        zone: "tayside-a".into(),
        listen_http: rpc,
        listen_rpc: rpc,
        control: vec![control],
        operator_token: "secret-token".into(),
        lease_ms: LEASE_MS,
        poll_interval_ms: 100,
        max_sub_request_ms: MAX_SUB_REQUEST_MS,
        node_expiry_ms: 700,
        entries_ttl_ms: 1_000,
        silence_ms: 100,
        hedge_percent: 3,
        retry_percent: 5,
        max_queries: 64,
        workers: 2,
        trace_file: None::<PathBuf>,
        trace_one_in: 1_000,
    }
}

/// A host that owns one target, whose announcements go on.
pub async fn owning(fake: &Fake, warm_up: u32, slots: u32) -> (Net, Host) {
    let net = Net::start().await;
    let host = Host::start(&net, "entry-1").await;
    net.put_target(fake, warm_up, slots);
    host.apply(&net);
    host.announce(Announcement { target: target(fake, warm_up, slots), cold: false });
    (net, host)
}

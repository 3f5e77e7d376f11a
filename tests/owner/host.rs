//! A stand-in control host, and entry hosts with an owner each.

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
    lab::control::{ControlHandler, serve},
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

use crate::fake::FakeTarget;

/// Short times keep the tests fast: a new owner waits for `LEASE_MS + MAX_SUB_REQUEST_MS`.
pub const LEASE_MS: u64 = 600;
pub const MAX_SUB_REQUEST_MS: u64 = 900;

/// A stand-in control host, with its state and the changes that were submitted to it.
pub struct FakeControl {
    tables: Arc<Mutex<Tables>>,
    pub committed: Arc<Mutex<Vec<Change>>>,
    addr: SocketAddr,
    next_id: AtomicU64,
}

#[derive(Clone)]
struct ControlServer {
    tables: Arc<Mutex<Tables>>,
    committed: Arc<Mutex<Vec<Change>>>,
}

impl ControlHandler for ControlServer {
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

impl FakeControl {
    pub async fn start() -> Self {
        let tables = Arc::new(Mutex::new(Tables::default()));
        let committed = Arc::new(Mutex::new(Vec::new()));
        let server = ControlServer { tables: tables.clone(), committed: committed.clone() };
        let addr = serve(server).await.expect("listener");
        Self { tables, committed, addr, next_id: AtomicU64::new(1) }
    }

    pub fn apply_change(&self, change: Change) {
        let id = u128::from(self.next_id.fetch_add(1, Ordering::SeqCst));
        let mut tables = self.tables.lock();
        let base = Some(tables.config.operator_revision);
        let reply = tables.apply(&Entry { id, base, at_ms: 1, change });
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }

    pub fn put_target(&self, fake: &FakeTarget, warm_up: u32, slots: u32) {
        self.apply_change(Change::PutTarget(target(fake, warm_up, slots)));
    }

    pub fn set_drain(&self, object: &str, value: &str) {
        let object = object.parse().expect("object");
        self.apply_change(Change::SetLabel { object, key: "drain".into(), value: value.into() });
    }

    pub fn view(&self) -> Arc<View> {
        Arc::new(View::build(&self.tables.lock().config))
    }
}

pub fn target(fake: &FakeTarget, warm_up: u32, slots: u32) -> Target {
    Target {
        name: fake.name.clone(),
        incarnation: fake.state.incarnation.load(Ordering::SeqCst),
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

/// An entry host whose lease is renewed until [`Host::stop_lease_renewal`].
pub struct Host {
    pub owner: Arc<Owner>,
    pub lease: Arc<Lease>,
    pub events: Arc<event::Ring>,
    pub rpc: SocketAddr,
    node: Node,
    renewing: Arc<AtomicBool>,
    stopped: Arc<Notify>,
}

impl Host {
    /// Starts the host, adds it to the configuration and applies that revision.
    pub async fn start(control: &FakeControl, name: &str) -> Self {
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
            &settings(name, control.addr, rpc),
            node.incarnation,
            Arc::new(control::Client::new(vec![control.addr])),
            lease.clone(),
            Arc::new(Peers::new()),
            events.clone(),
            &metric::Registry::default(),
        );
        let stopped = Arc::new(Notify::new());
        let stop = stopped.clone();
        tokio::spawn(owner.clone().serve(listener, async move { stop.notified().await }));
        let renewing = Arc::new(AtomicBool::new(true));
        let host = Self { owner, lease, events, rpc, node, renewing, stopped };
        host.owner.apply(&control.view());
        control.apply_change(Change::PutNode(host.node.clone()));
        host.apply(control);
        tokio::spawn(renew_lease(host.lease.clone(), host.renewing.clone()));
        host
    }

    pub fn apply(&self, control: &FakeControl) {
        let sent = Instant::now();
        self.owner.apply(&control.view());
        self.lease.renew(sent);
    }

    /// Renews the announcement of a target until the returned flag is cleared.
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

    /// Stops renewing the lease, as if the host were cut off from the control hosts.
    pub fn stop_lease_renewal(&self) {
        self.renewing.store(false, Ordering::SeqCst);
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
        self.stop_lease_renewal();
        self.stopped.notify_one();
    }
}

async fn renew_lease(lease: Arc<Lease>, renewing: Arc<AtomicBool>) {
    while renewing.load(Ordering::SeqCst) {
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

/// Starts a host that owns one target, and renews the target's announcement.
pub async fn host_owning(fake: &FakeTarget, warm_up: u32, slots: u32) -> (FakeControl, Host) {
    let control = FakeControl::start().await;
    let host = Host::start(&control, "entry-1").await;
    control.put_target(fake, warm_up, slots);
    host.apply(&control);
    host.announce(Announcement { target: target(fake, warm_up, slots), cold: false });
    (control, host)
}

//! What all parts of a relay's process share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::HeaderMap;
use parking_lot::{Mutex, RwLock};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{
    event::{Event, Kind, Ring, unix_ms},
    metric,
    relay::{
        builder::Builder, metrics::Metrics, peer::Peers, settings::Settings, suspect::Suspects,
        view::View,
    },
    state::{Config, Node},
};

/// The part of the time left for which a request waits for the first routes.
const ROUTES_WAIT_DIVISOR: u32 = 3;

/// Counts a request while it runs.
pub(super) struct RequestGuard<'a>(&'a Host);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A relay.
pub struct Host {
    pub(super) cfg: Arc<Settings>,
    pub(super) incarnation: u64,
    pub(super) events: Ring,
    pub(super) metrics: Metrics,
    pub(super) poll_now: Notify,
    /// Tells connections of callers that they should end.
    pub(super) close_connections: Notify,
    /// The other relays.
    pub(super) peers: Peers,
    /// Requests that crash targets.
    pub(super) suspects: Suspects,
    registry: metric::Registry,
    builder: Mutex<Builder>,
    view: RwLock<Arc<View>>,
    /// Whether there are routes.
    has_routes: watch::Sender<bool>,
    leaving: AtomicBool,
    /// How many requests run.
    pub(super) running: AtomicUsize,
}

impl Host {
    pub(super) fn new(cfg: Settings) -> Self {
        let cfg = Arc::new(cfg);
        let registry = metric::Registry::default();
        Self {
            incarnation: unix_ms(),
            events: Ring::new(cfg.name.clone()),
            metrics: Metrics::new(&registry),
            poll_now: Notify::new(),
            close_connections: Notify::new(),
            peers: Peers::default(),
            suspects: Suspects::default(),
            registry,
            builder: Mutex::new(Builder::new(cfg.clone())),
            view: RwLock::default(),
            has_routes: watch::Sender::new(false),
            leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            cfg,
        }
    }

    /// Whether requests can be has_routes and the process does not stop.
    pub fn is_ready(&self) -> bool {
        self.view().table.version > 0 && !self.is_leaving()
    }

    /// The metrics in the text format.
    pub fn metrics(&self) -> String {
        self.registry.render()
    }

    /// The view, once there is one. A process that has just started soon gets it; a request waits for it for a part of
    /// the time that its caller has left.
    pub(super) async fn ready_view(&self, headers: &HeaderMap) -> Option<Arc<View>> {
        let mut has_routes = self.has_routes.subscribe();
        if !*has_routes.borrow() {
            let left = headers.get(&self.cfg.headers.deadline);
            let left_ms = left.and_then(|it| it.to_str().ok()?.parse().ok()).unwrap_or(0);
            let wait = Duration::from_millis(left_ms) / ROUTES_WAIT_DIVISOR;
            timeout(wait, has_routes.wait_for(|it| *it)).await.ok()?.ok()?;
        }
        Some(self.view())
    }

    pub(super) fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Puts a configuration in force. One that is older than the one in force is ignored.
    pub(super) fn apply(&self, config: &Config, cause: &str) {
        if config.revision < self.view().revision {
            log::warn!(
                "event=config_ignored revision={} in_force={}",
                config.revision,
                self.view().revision
            );
            return;
        }
        let view = self.builder.lock().build(config);
        let has_routes = view.table.version > 0;
        self.peers.retain(|addr| view.nodes.iter().any(|it| it.rpc == *addr));
        *self.view.write() = Arc::new(view);
        self.has_routes.send_replace(has_routes);
        self.events.record(Event::new(Kind::ConfigApplied, cause));
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn track_request(&self) -> RequestGuard<'_> {
        self.running.fetch_add(1, Ordering::Relaxed);
        RequestGuard(self)
    }

    /// This host as the control state shows it.
    pub(super) fn node(&self) -> Node {
        Node {
            name: self.cfg.name.clone(),
            incarnation: self.incarnation,
            http: self.cfg.listen,
            rpc: self.cfg.listen_peers,
            zone: self.cfg.zone.clone(),
            leaving: self.is_leaving(),
        }
    }
}

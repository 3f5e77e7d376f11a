//! State that is shared by all tasks of a relay process.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::HeaderMap;
use parking_lot::{Mutex, RwLock};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{
    event::{Event, Kind, Ring, unix_ms},
    inbound::Connections,
    memory::{self, Account},
    metric,
    relay::{
        buffer::Buffers,
        builder::Builder,
        freshness::Freshness,
        metrics::Metrics,
        neighbour,
        peer::Peers,
        probe::Probes,
        quota::Quotas,
        report,
        retired::Retired,
        rollout::Rollouts,
        settings::Settings,
        suspect::{self, Suspects},
        view::View,
    },
    state::{Config, Node},
};

/// A request waits for the first routing table at most for its remaining time divided by this.
const ROUTES_WAIT_DIVISOR: u32 = 3;

/// Counts a request or a connection until it is dropped.
pub(super) struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(counter: &'a AtomicUsize) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A relay process.
pub struct Host {
    pub(super) cfg: Arc<Settings>,
    /// Distinguishes this process from earlier ones on the same host.
    pub(super) incarnation: u64,
    pub(super) events: Ring,
    pub(super) metrics: Metrics,
    /// Submits reports and the registration of this host at once.
    pub(super) submit_now: Notify,
    /// Tells the connections of callers to shut down gracefully.
    pub(super) close_connections: Notify,
    /// Tells the listener for callers to accept what waits in its backlog and to close.
    pub(super) stop_accepting: Notify,
    /// Connections of callers.
    pub(super) callers: Arc<Connections>,
    /// Connections to the other relays.
    pub(super) peers: Peers,
    /// Quotas of tenants: what this relay holds and what it grants.
    pub(super) quotas: Quotas,
    /// What requests hold: bodies, delegated messages, and responses that callers have not taken.
    pub(super) memory: Arc<Account>,
    /// Bodies of responses that are being received.
    pub(super) buffers: Buffers,
    /// Requests that crashed targets.
    pub(super) suspects: Suspects,
    /// Claims of probes of quarantined requests.
    pub(super) probes: Probes,
    /// Processes of targets that have said that they are leaving.
    pub(super) retired: Arc<Retired>,
    /// The rollouts that are running.
    pub(super) rollouts: Arc<Rollouts>,
    /// Reports for the control hosts.
    pub(super) reports: report::Queue,
    registry: metric::Registry,
    /// The configuration as the control hosts have sent it.
    pub(super) copy: Mutex<Config>,
    /// Other relays that were behind.
    pub(super) neighbours: neighbour::Reports,
    builder: Mutex<Builder>,
    view: RwLock<Arc<View>>,
    /// Whether a routing table has been received.
    has_routes: watch::Sender<bool>,
    /// How long ago control hosts confirmed the configuration.
    pub(super) freshness: Freshness,
    leaving: AtomicBool,
    /// When requests that are still running get their final answer; set once this host is leaving.
    answer_by: OnceLock<Instant>,
    /// Whether that time has come.
    out_of_time: watch::Sender<bool>,
    /// Number of requests that are being processed.
    pub(super) running: AtomicUsize,
    /// Number of open connections of callers on which at least one byte has arrived.
    pub(super) connections: AtomicUsize,
}

impl Host {
    pub(super) fn new(cfg: Settings) -> Self {
        let cfg = Arc::new(cfg);
        let registry = metric::Registry::default();
        let retired = Arc::<Retired>::default();
        let metrics = Metrics::new(&registry);
        let rollouts = Arc::new(Rollouts::new(metrics.rollout_requests.clone()));
        let max_held = memory::account_bytes(cfg.memory_mb);
        Self {
            incarnation: unix_ms(),
            events: Ring::new(cfg.name.clone()),
            metrics,
            submit_now: Notify::new(),
            close_connections: Notify::new(),
            stop_accepting: Notify::new(),
            callers: Arc::new(Connections::new("callers", cfg.max_callers())),
            peers: Peers::default(),
            quotas: Quotas::new(&cfg, &registry),
            memory: Arc::new(Account::new(max_held, &registry)),
            buffers: Buffers::new(max_held),
            suspects: Suspects::default(),
            probes: Probes::default(),
            reports: report::Queue::default(),
            registry,
            copy: Mutex::default(),
            neighbours: neighbour::Reports::default(),
            builder: Mutex::new(Builder::new(cfg.clone(), retired.clone(), rollouts.clone())),
            retired,
            rollouts,
            view: RwLock::default(),
            has_routes: watch::Sender::new(false),
            freshness: Freshness::new(),
            leaving: AtomicBool::new(false),
            answer_by: OnceLock::new(),
            out_of_time: watch::Sender::new(false),
            running: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            cfg,
        }
    }

    /// Whether this process can route requests and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.view().table.version > 0 && !self.is_leaving()
    }

    /// The metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.registry.render()
    }

    /// The current view, once there is a routing table. A process that has just started gets one soon, so a request
    /// waits for it for a part of the time that its caller has left. A process that stood still may hold an old table, so
    /// a request waits for its first polls. The error is the reason why there is no usable table by then.
    pub(super) async fn ready_view(&self, headers: &HeaderMap) -> Result<Arc<View>, &'static str> {
        let mut has_routes = self.has_routes.subscribe();
        if !*has_routes.borrow() {
            let left = headers.get(&self.cfg.headers.deadline);
            let left_ms = left.and_then(|it| it.to_str().ok()?.parse().ok()).unwrap_or(0);
            let wait = Duration::from_millis(left_ms) / ROUTES_WAIT_DIVISOR;
            let received = timeout(wait, has_routes.wait_for(|it| *it)).await;
            if !matches!(received, Ok(Ok(_))) {
                return Err("no_routes");
            }
        }
        if !self.freshness.polls_after_pause(self.max_pause()).await {
            return Err("config_unconfirmed");
        }
        Ok(self.view())
    }

    /// How long this process may have stood still before requests wait for polls.
    fn max_pause(&self) -> Duration {
        if self.view().table.tenants.is_empty() {
            self.cfg.max_config_age
        } else {
            self.max_key_age()
        }
    }

    /// Like [`Self::max_pause`], for requests with a key.
    pub(super) fn max_key_age(&self) -> Duration {
        self.cfg.max_config_age.min(self.cfg.revoke_age)
    }

    pub(super) fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Builds the view of a configuration and makes it current. A configuration that is older than the current one is
    /// ignored unless control hosts have confirmed that there is nothing newer: then their state went back, because they
    /// lost it or got back an older one, and what this relay holds can be read back nowhere.
    pub(super) fn apply(&self, config: &Config, cause: &str, is_newest: bool) {
        let replaced = self.view();
        if config.revision < replaced.revision && is_newest {
            self.metrics.record_config_fault("went_back");
            log::error!(
                "event=config_went_back revision={} replaced={} version={} replaced_version={} \
                 control_host={}",
                config.revision,
                replaced.revision,
                config.routes.version,
                replaced.table.version,
                self.freshness.control_host(),
            );
        } else if config.revision < replaced.revision {
            self.metrics.record_config_fault("ignored");
            log::warn!(
                "event=config_ignored revision={} in_force={} control_host={}",
                config.revision,
                replaced.revision,
                self.freshness.control_host(),
            );
            return;
        }
        let view = self.builder.lock().build(config);
        if !Arc::ptr_eq(&view.table, &replaced.table) {
            log::info!(
                "event=routes_applied version={} revision={} digest={:016x} replaced={} \
                 control_host={}",
                view.table.version,
                view.revision,
                view.digest,
                replaced.table.version,
                self.freshness.control_host(),
            );
        }
        let has_routes = view.table.version > 0;
        self.peers.retain(|addr| view.nodes.iter().any(|it| it.rpc == *addr));
        suspect::withdraw_answered(self, &view);
        *self.view.write() = Arc::new(view);
        self.has_routes.send_replace(has_routes);
        self.events.record(Event::new(Kind::ConfigApplied, cause));
    }

    /// The time since the configuration was last confirmed, in milliseconds, for the log; -1 if it never was.
    pub(super) fn config_age_ms(&self) -> i64 {
        self.freshness.confirmed_at().map_or(-1, |it| it.elapsed().as_millis() as i64)
    }

    /// Whether control hosts have confirmed the configuration in time, so that requests may be refused for good.
    pub(super) fn is_config_confirmed(&self) -> bool {
        self.freshness.age() <= self.cfg.max_config_age
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this host as leaving. All requests are answered by `answer_by`, when the process is about to exit.
    pub(super) fn start_leaving(&self, answer_by: Instant) {
        let _ = self.answer_by.set(answer_by);
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// When requests get their final answer because the process is about to exit; none while it is not leaving.
    pub(super) fn answer_by(&self) -> Option<Instant> {
        self.answer_by.get().copied()
    }

    /// Lets all requests that are still running give their final answer.
    pub(super) fn end_requests(&self) {
        self.out_of_time.send_replace(true);
    }

    /// Completes when running requests must give their final answer.
    pub(super) async fn out_of_time(&self) {
        // The sender lives as long as the host, so the wait ends only when the time has come.
        let _ = self.out_of_time.subscribe().wait_for(|it| *it).await;
    }

    /// Counts a request as running until the guard is dropped.
    pub(super) fn track_request(&self) -> CountGuard<'_> {
        CountGuard::new(&self.running)
    }

    /// Counts a connection of a caller as open until the guard is dropped.
    pub(super) fn track_connection(&self) -> CountGuard<'_> {
        CountGuard::new(&self.connections)
    }

    /// The record of this host in the control state.
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

//! State that all modules of the entry host share, and the active configuration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Instant,
};

use parking_lot::{Mutex, RwLock};
use rand::random;
use tokio::sync::{Notify, watch};

use crate::{
    control,
    entry::{
        metrics::Metrics,
        owners::{Owners, Peer},
        request_tracker::{RequestTracker, ShutdownPhase},
    },
    error::{Error, Kind, Result},
    event::{self, Event},
    lease::Lease,
    metric,
    policy::pick::LoadTable,
    settings,
    state::{Config, Node, TargetKey, View},
    wire::{
        operator::EntryStatus,
        owner::{BatchId, Hint},
    },
};

/// Settings and services of the process that the entry host shares with the owner of its targets.
#[derive(Clone)]
pub struct HostContext {
    /// The settings, with the addresses that the listeners are bound to.
    pub cfg: settings::Entry,
    /// Distinguishes processes with this host's name. A later process has a larger number.
    pub incarnation: u64,
    /// The client of the control hosts.
    pub control: Arc<control::Client>,
    /// The freshness lease: each confirmed poll renews it, and without it the host starts no work.
    pub lease: Arc<Lease>,
    /// The events of the process.
    pub events: Arc<event::Ring>,
    /// The metrics of the process.
    pub metrics: metric::Registry,
}

impl HostContext {
    /// Creates the context. The incarnation is the wall-clock time, so that a later process has a larger one.
    pub fn new(cfg: settings::Entry) -> Self {
        Self {
            incarnation: event::unix_ms(),
            control: Arc::new(control::Client::new(cfg.control.clone())),
            lease: Arc::new(Lease::new(std::time::Duration::from_millis(cfg.lease_ms))),
            events: Arc::new(event::Ring::new(cfg.name.clone())),
            metrics: metric::Registry::default(),
            cfg,
        }
    }
}

/// A configuration, the routing view built from it, and what is known of the load of its targets.
pub(super) struct ActiveConfig {
    pub(super) config: Config,
    pub(super) view: Arc<View>,
    pub(super) loads: Mutex<LoadTable>,
}

impl ActiveConfig {
    fn empty(zone: &str) -> Self {
        let view = Arc::new(View::default());
        let loads = Mutex::new(LoadTable::new(&view, zone));
        Self { config: Config::default(), view, loads }
    }

    /// Records the load that owners report for their targets.
    pub(super) fn record_hints(&self, hints: &[Hint], now: Instant) {
        let mut loads = self.loads.lock();
        for hint in hints {
            if let Some(key) = self.view.target_key(&hint.target) {
                loads.record_hint(key, hint, now);
            }
        }
    }

    /// Avoids a target for a while after a failure that the next sub-request would probably meet too. Overload is not
    /// such a failure, because load hints report it. Neither is a wrong index version: the target still serves its own
    /// version, and a query that restarts on that version needs the target.
    pub(super) fn record_failure(&self, target: Option<&str>, kind: Kind) {
        let avoided = matches!(
            kind,
            Kind::Timeout
                | Kind::Disconnected
                | Kind::BadAnswer
                | Kind::NoTarget
                | Kind::NotOwner
                | Kind::Draining
        );
        if avoided && let Some(key) = target.and_then(|it| self.view.target_key(it)) {
            self.loads.lock().record_failure(key, Instant::now());
        }
    }

    /// Chooses one of these targets by load.
    pub(super) fn pick(&self, candidates: &[TargetKey]) -> Option<TargetKey> {
        self.loads.lock().pick(candidates, &[], Instant::now(), &mut rand::rng())
    }
}

/// State that all modules of the entry host share.
pub struct Host<O> {
    pub(super) context: HostContext,
    pub(super) owners: O,
    pub(super) requests: RequestTracker,
    pub(super) metrics: Metrics,
    pub(super) policy: super::policy_state::PolicyState,
    /// Wakes the poll loop to poll at once.
    pub(super) poll_now: Notify,
    /// Whether the configuration has ever had this process.
    pub(super) has_joined: AtomicBool,
    /// When the latest confirmed poll was sent.
    pub(super) last_confirmed_poll: watch::Sender<Option<Instant>>,
    current: RwLock<Arc<ActiveConfig>>,
    batch_counter: AtomicU32,
    batch_prefix: u32,
}

impl<O: Owners> Host<O> {
    pub(super) fn new(context: HostContext, owners: O) -> Self {
        Self {
            metrics: Metrics::new(&context.metrics),
            policy: super::policy_state::PolicyState::new(&context.cfg),
            current: RwLock::new(Arc::new(ActiveConfig::empty(&context.cfg.zone))),
            context,
            owners,
            requests: RequestTracker::default(),
            poll_now: Notify::new(),
            has_joined: AtomicBool::new(false),
            last_confirmed_poll: watch::Sender::new(None),
            batch_counter: AtomicU32::new(0),
            batch_prefix: random(),
        }
    }

    /// The active configuration.
    pub(super) fn current(&self) -> Arc<ActiveConfig> {
        self.current.read().clone()
    }

    /// The active routing view.
    pub(super) fn view(&self) -> Arc<View> {
        self.current.read().view.clone()
    }

    /// Activates a configuration, here and in the owner of this host's targets. Keeps what is known of the load.
    pub(super) fn apply(&self, config: &Config) {
        let view = Arc::new(View::build(config));
        let old = self.current();
        let loads = Mutex::new(old.loads.lock().rebuild(&old.view, &view));
        let current = ActiveConfig { config: config.clone(), view: view.clone(), loads };
        *self.current.write() = Arc::new(current);
        self.owners.apply(&view);
    }

    /// Fails with [`Kind::NoLease`] unless the lease is held at this moment.
    pub(super) fn check_lease(&self) -> Result<()> {
        self.context.lease.check().map_err(|kind| {
            Error::new(kind, "no confirmed configuration at present; use another entry host")
        })
    }

    /// Fails if this host must not be given new callers. One that has not joined yet owns no targets, and so it could reach
    /// none if no other host does; one that was removed later goes on with the configuration that it has.
    pub(super) fn check_health(&self) -> Result<()> {
        if !self.has_joined.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::NoLease, "this host has not joined yet"));
        }
        self.check_lease()
    }

    /// A new batch id. The random upper half keeps apart the batches of different processes at an owner.
    pub(super) fn next_batch_id(&self) -> BatchId {
        let counter = self.batch_counter.fetch_add(1, Ordering::Relaxed);
        u64::from(self.batch_prefix) << 32 | u64::from(counter)
    }

    /// The entry of this host for the control state.
    pub(super) fn as_node(&self) -> Node {
        let cfg = &self.context.cfg;
        Node {
            name: cfg.name.clone(),
            incarnation: self.context.incarnation,
            http: cfg.listen_http,
            rpc: cfg.listen_rpc,
            zone: cfg.zone.clone(),
            leaving: self.requests.phase() != ShutdownPhase::Serving,
        }
    }

    /// The owner of a target. Fails with [`Kind::NoTarget`] if it has none.
    pub(super) fn owner_of(view: &View, target: &str) -> Result<Peer> {
        let owner = view.target_key(target).and_then(|it| view.target(it).owner);
        let Some(owner) = owner else {
            return Err(Error::new(Kind::NoTarget, format!("target {target:?} has no owner")));
        };
        Ok(Peer::from(view.node(owner)))
    }

    pub(super) fn record(&self, event: Event) {
        self.context.events.record(event);
    }

    pub(super) fn status(&self) -> EntryStatus {
        let left = self.context.lease.remaining(Instant::now());
        EntryStatus {
            name: self.context.cfg.name.clone(),
            zone: self.context.cfg.zone.clone(),
            revision: self.view().revision,
            lease_left_ms: left.as_millis() as u64,
            leaving: self.requests.phase() != ShutdownPhase::Serving,
            targets: self.owners.status(),
        }
    }
}

//! What all parts of an entry host's process share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Instant,
};

use parking_lot::{Mutex, RwLock};
use rand::random;
use tokio::sync::{Notify, watch};

use crate::{
    control,
    entry::{
        gate::{Gate, Phase},
        metrics::Metrics,
        owners::{Owners, Peer},
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

/// What exists before the owners of targets are made.
#[derive(Clone)]
pub struct Parts {
    /// The settings, with the addresses that the listeners are bound to.
    pub cfg: settings::Entry,
    /// Distinguishes the processes that ran under this host's name.
    pub incarnation: u64,
    /// The client of the control hosts.
    pub control: Arc<control::Client>,
    /// The freshness lease.
    pub lease: Arc<Lease>,
    /// The events of the process.
    pub events: Arc<event::Ring>,
    /// The metrics of the process.
    pub metrics: metric::Registry,
}

impl Parts {
    /// Makes the parts of a process. The incarnation is the wall clock, so a later process has a larger one.
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

/// The configuration in force, its routing view and the load of its targets.
pub(super) struct Current {
    pub(super) config: Config,
    pub(super) view: Arc<View>,
    pub(super) loads: Mutex<LoadTable>,
}

impl Current {
    fn empty(zone: &str) -> Self {
        let view = Arc::new(View::default());
        let loads = Mutex::new(LoadTable::new(&view, zone));
        Self { config: Config::default(), view, loads }
    }

    /// Takes load hints of owners.
    pub(super) fn learn(&self, hints: &[Hint], now: Instant) {
        let mut loads = self.loads.lock();
        for hint in hints {
            if let Some(key) = self.view.target_key(&hint.target) {
                loads.record_hint(key, hint, now);
            }
        }
    }

    /// Avoids a target for a while after a failure that the next sub-request would probably meet too. Refusals for
    /// lack of room are not among them: load hints tell about those. Neither is another index version: the target
    /// serves that one, and a restart of the query needs it.
    pub(super) fn failed(&self, target: Option<&str>, kind: Kind) {
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

    /// Chooses one of these targets.
    pub(super) fn pick(&self, candidates: &[TargetKey]) -> Option<TargetKey> {
        self.loads.lock().pick(candidates, &[], Instant::now(), &mut rand::rng())
    }
}

/// What all parts of the process share.
pub struct Host<O> {
    pub(super) parts: Parts,
    pub(super) owners: O,
    pub(super) gate: Gate,
    pub(super) metrics: Metrics,
    pub(super) policy: super::decide::Policy,
    /// Asks for a poll at once.
    pub(super) poll_now: Notify,
    /// When the last confirmed poll was sent.
    pub(super) confirmed: watch::Sender<Option<Instant>>,
    current: RwLock<Arc<Current>>,
    next_batch: AtomicU32,
    batch_prefix: u32,
}

impl<O: Owners> Host<O> {
    pub(super) fn new(parts: Parts, owners: O) -> Self {
        Self {
            metrics: Metrics::new(&parts.metrics),
            policy: super::decide::Policy::new(&parts.cfg),
            current: RwLock::new(Arc::new(Current::empty(&parts.cfg.zone))),
            parts,
            owners,
            gate: Gate::default(),
            poll_now: Notify::new(),
            confirmed: watch::Sender::new(None),
            next_batch: AtomicU32::new(0),
            batch_prefix: random(),
        }
    }

    /// The configuration in force.
    pub(super) fn current(&self) -> Arc<Current> {
        self.current.read().clone()
    }

    /// The routing view in force.
    pub(super) fn view(&self) -> Arc<View> {
        self.current.read().view.clone()
    }

    /// Puts a configuration into force, here and at the targets that this host owns.
    pub(super) fn apply(&self, config: &Config) {
        let view = Arc::new(View::build(config));
        let old = self.current();
        let loads = Mutex::new(old.loads.lock().rebuild(&old.view, &view));
        let current = Current { config: config.clone(), view: view.clone(), loads };
        *self.current.write() = Arc::new(current);
        self.owners.apply(&view);
    }

    /// Fails unless the freshness lease is held at this moment.
    pub(super) fn check_lease(&self) -> Result<()> {
        self.parts.lease.check().map_err(|kind| {
            Error::new(kind, "the configuration is not confirmed; use another entry host")
        })
    }

    /// A batch id that no other batch of this process has.
    pub(super) fn batch_id(&self) -> BatchId {
        let counter = self.next_batch.fetch_add(1, Ordering::Relaxed);
        u64::from(self.batch_prefix) << 32 | u64::from(counter)
    }

    /// This host as the control state shows it.
    pub(super) fn node(&self) -> Node {
        let cfg = &self.parts.cfg;
        Node {
            name: cfg.name.clone(),
            incarnation: self.parts.incarnation,
            http: cfg.listen_http,
            rpc: cfg.listen_rpc,
            zone: cfg.zone.clone(),
            leaving: self.gate.phase() != Phase::Serving,
        }
    }

    /// The owner of a target, if it has one.
    pub(super) fn owner_of(view: &View, target: &str) -> Result<Peer> {
        let owner = view.target_key(target).and_then(|it| view.target(it).owner);
        let Some(owner) = owner else {
            return Err(Error::new(Kind::NoTarget, format!("nobody owns {target:?}")));
        };
        Ok(Peer::from(view.node(owner)))
    }

    pub(super) fn record(&self, event: Event) {
        self.parts.events.record(event);
    }

    pub(super) fn status(&self) -> EntryStatus {
        let left = self.parts.lease.remaining(Instant::now());
        EntryStatus {
            name: self.parts.cfg.name.clone(),
            zone: self.parts.cfg.zone.clone(),
            revision: self.view().revision,
            lease_left_ms: left.as_millis() as u64,
            leaving: self.gate.phase() != Phase::Serving,
            targets: self.owners.status(),
        }
    }
}

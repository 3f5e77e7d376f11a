//! The owner side of an entry host. Each target has one owner, the only entry host that sends requests to it.
//!
//! The root of a query, which is the entry host that received it, sends each owner a batch with the sub-requests for
//! that owner's targets. The owner queues them per target, runs as many at once as the concurrency limit of the target
//! allows, and returns the results as they arrive. A dispatch is a single request that must not be repeated.

mod batch;
mod canary;
mod conn;
mod exchange;
mod guard;
mod handover;
mod http;
mod maintenance;
mod server;
mod shared;
mod state;
mod target;

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};
use rand::random;

use self::{
    batch::{Batch, DispatchCall, Job, Payload},
    canary::{CanaryPermit, CanaryTracker},
    shared::{Metrics, Shared},
    target::Target,
};
use crate::{
    control,
    error::{Error, Kind, Outcome, Result},
    event,
    lease::Lease,
    metric,
    peer::Peers,
    settings,
    state::View,
    wire::{
        operator::OwnedTarget,
        owner::{self as message, BatchId, Class, Dispatch, Dispatched, Progress},
    },
};

/// How many batches run here at once. This bounds memory; the concurrency limits bound the load of the targets.
const MAX_BATCHES: usize = 16_384;

/// The owner side of an entry host.
pub struct Owner {
    name: String,
    incarnation: u64,
    lease_duration: Duration,
    node_expiry: Duration,
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    stopping: AtomicBool,
    targets: RwLock<HashMap<String, Arc<Target>>>,
    /// Targets that this host no longer owns and whose handover to the new owner is in progress.
    handing_over: Mutex<HashMap<String, Arc<Target>>>,
    batches: Mutex<HashMap<BatchId, Arc<Batch>>>,
}

impl Owner {
    /// Creates an owner without targets and starts its periodic work.
    pub fn new(
        cfg: &settings::Entry,
        incarnation: u64,
        control: Arc<control::Client>,
        lease: Arc<Lease>,
        peers: Arc<Peers>,
        events: Arc<event::Ring>,
        metrics: &metric::Registry,
    ) -> Arc<Self> {
        let shared = Shared {
            lease,
            control,
            events,
            metrics: Metrics::new(metrics),
            canaries: CanaryTracker::default(),
            view: RwLock::new(None),
            stall_timeout: Duration::from_millis(cfg.silence_ms),
            max_sub_request: Duration::from_millis(cfg.max_sub_request_ms),
            id_counter: AtomicU64::new(random()),
        };
        let owner = Arc::new(Self {
            name: cfg.name.clone(),
            incarnation,
            lease_duration: Duration::from_millis(cfg.lease_ms),
            node_expiry: Duration::from_millis(cfg.node_expiry_ms),
            shared: Arc::new(shared),
            peers,
            stopping: AtomicBool::new(false),
            targets: RwLock::default(),
            handing_over: Mutex::default(),
            batches: Mutex::default(),
        });
        tokio::spawn(maintenance::run(Arc::downgrade(&owner)));
        owner
    }

    /// Runs a batch. Returns when all sub-requests have ended, or with partial results after `partial_after_ms`. If the
    /// future is dropped earlier, the batch is cancelled, also at its targets.
    pub async fn exec(self: &Arc<Self>, batch: message::Batch) -> Result<Progress> {
        self.check_accepting(batch.fingerprint)?;
        let now = Instant::now();
        let id = batch.id;
        let partial_end = now + Duration::from_millis(batch.partial_after_ms);
        let batch = Arc::new(Batch::new(batch, now));
        self.register(id, &batch)?;
        let mut guard = CancelOnDrop { owner: self, batch: Some(&batch) };
        if batch.batch.canary {
            tokio::spawn(self.clone().run_canaries(batch.clone()));
        } else {
            self.enqueue_items(&batch);
        }
        batch.wait_all(partial_end).await;
        guard.batch = None;
        Ok(self.take_progress(&batch))
    }

    /// Returns further results of a batch; waits for the first one, at most `wait`. A batch is removed once all its
    /// results were returned, or some time after its deadline.
    pub async fn collect(&self, id: BatchId, wait: Duration) -> Result<Progress> {
        let batch = self.batches.lock().get(&id).cloned();
        let Some(batch) = batch else {
            return Err(Error::new(Kind::NotFound, format!("batch {id} not found")));
        };
        batch.wait_any(Instant::now() + wait).await;
        Ok(self.take_progress(&batch))
    }

    /// Cancels these shards of a batch, also at their targets.
    pub async fn cancel(&self, id: BatchId, shards: Vec<u32>) {
        let batch = self.batches.lock().get(&id).cloned();
        if let Some(batch) = batch {
            cancel_batch(&batch, Some(&shards));
        }
    }

    /// Runs a request that must not be repeated. The outcome is `NotRun` only if the request was not sent, or the
    /// target refused it before it ran.
    pub async fn dispatch(self: &Arc<Self>, dispatch: Dispatch) -> Result<Dispatched> {
        let not_run =
            |kind| Dispatched { outcome: Outcome::NotRun, result: None, error: Some(kind) };
        if let Err(err) = self.check_accepting(dispatch.fingerprint) {
            return Ok(not_run(err.kind));
        }
        let deadline = Instant::now() + Duration::from_millis(dispatch.deadline_ms);
        let target = match self.target(&dispatch.target) {
            Ok(target) => target,
            Err(kind) => return Ok(not_run(kind)),
        };
        if let Err(kind) = self.check_target(dispatch.fingerprint, &target.name) {
            return Ok(not_run(kind));
        }
        let (call, mut rx) = DispatchCall::new(dispatch);
        let payload = Payload::Dispatch(call.clone());
        target.enqueue(Job {
            payload,
            class: Class::Quick,
            deadline,
            canary: None,
            requeued: false,
            may_have_run: false,
        });
        let timeout = tokio::time::timeout_at(deadline.into(), &mut rx);
        let result = match timeout.await {
            Ok(result) => result,
            Err(_) if call.abandon() => return Ok(not_run(Kind::Overloaded)),
            Err(_) => rx.await,
        };
        let unknown =
            Dispatched { outcome: Outcome::Unknown, result: None, error: Some(Kind::Unknown) };
        Ok(result.unwrap_or(unknown))
    }

    /// The owned targets, by name.
    pub fn status(&self) -> Vec<OwnedTarget> {
        let mut targets: Vec<_> = self.targets.read().values().map(|it| it.status()).collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets
    }

    /// Fails if this host may not start work: it is stopping, has no valid lease or no view, or the fingerprint is
    /// quarantined.
    fn check_accepting(&self, fingerprint: u64) -> Result<()> {
        if self.stopping.load(Ordering::Acquire) {
            return Err(Kind::Leaving.into());
        }
        self.shared.lease.check()?;
        let Some(view) = self.shared.view() else { return Err(Kind::NoLease.into()) };
        self.shared.canaries.check_quarantine(&view, fingerprint)?;
        Ok(())
    }

    fn target(&self, name: &str) -> Result<Arc<Target>, Kind> {
        self.targets.read().get(name).cloned().ok_or(Kind::NotOwner)
    }

    fn check_target(&self, fingerprint: u64, target: &str) -> Result<(), Kind> {
        let view = self.shared.view().ok_or(Kind::NoLease)?;
        self.shared.canaries.check_target(&view, fingerprint, target)
    }

    fn register(&self, id: BatchId, batch: &Arc<Batch>) -> Result<()> {
        let mut batches = self.batches.lock();
        if batches.len() >= MAX_BATCHES {
            return Err(Error::new(Kind::Overloaded, "too many concurrent batches"));
        }
        if batches.contains_key(&id) {
            return Err(Error::new(Kind::BadRequest, format!("batch {id} is already running")));
        }
        batches.insert(id, batch.clone());
        Ok(())
    }

    fn take_progress(&self, batch: &Batch) -> Progress {
        let progress = batch.take_progress();
        if progress.pending.is_empty() {
            self.remove_batch(batch.batch.id);
        }
        progress
    }

    fn remove_batch(&self, id: BatchId) {
        self.batches.lock().remove(&id);
    }

    fn enqueue_items(&self, batch: &Arc<Batch>) {
        for (i, item) in batch.batch.items.iter().enumerate() {
            match self.target(&item.target) {
                Ok(target) => target.enqueue(sub_request_job(batch, i, None)),
                Err(kind) => batch.finish(i, None, Err(kind)),
            }
        }
    }

    /// Queues the sub-requests of a canary batch one after another, each once no other canary request with the same
    /// fingerprint runs here.
    async fn run_canaries(self: Arc<Self>, batch: Arc<Batch>) {
        let fingerprint = batch.batch.fingerprint;
        for (i, item) in batch.batch.items.iter().enumerate() {
            let canary = self.shared.canaries.acquire(fingerprint);
            let Ok(canary) = tokio::time::timeout_at(batch.deadline.into(), canary).await else {
                return;
            };
            let checked = self.check_target(fingerprint, &item.target);
            match checked.and_then(|()| self.target(&item.target)) {
                Ok(target) => target.enqueue(sub_request_job(&batch, i, Some(canary))),
                Err(kind) => batch.finish(i, None, Err(kind)),
            }
        }
    }

    /// Puts a view in force and returns the previous one.
    fn replace_view(&self, view: &Arc<View>) -> Option<Arc<View>> {
        self.shared.view.write().replace(view.clone())
    }
}

/// Cancels a batch when the `exec` call is dropped, for example because the root has disconnected.
struct CancelOnDrop<'a> {
    owner: &'a Owner,
    batch: Option<&'a Arc<Batch>>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(batch) = self.batch {
            cancel_batch(batch, None);
            self.owner.remove_batch(batch.batch.id);
        }
    }
}

fn cancel_batch(batch: &Batch, shards: Option<&[u32]>) {
    for (target, id) in batch.cancel(shards) {
        target.cancel(id);
    }
}

fn sub_request_job(batch: &Arc<Batch>, item: usize, canary: Option<CanaryPermit>) -> Job {
    Job {
        payload: Payload::Sub { batch: batch.clone(), item },
        class: batch.batch.class,
        deadline: batch.deadline,
        canary,
        requeued: false,
        may_have_run: false,
    }
}

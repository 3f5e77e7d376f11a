//! An owned target: its queue, its slots and its connections.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, oneshot};

use crate::{
    error::Kind,
    event::{self, Event},
    owner::{
        batch::{Job, Work},
        conn,
        guard::{Open, Slot},
        shared::Shared,
        state::State,
    },
    policy::limit::{self, LimitChange},
    state::TargetView,
    wire::{
        operator::OwnedTarget,
        owner::{Class, Hint},
    },
};

/// All connections of a target are replaced at most once in this time, so that a slow target is not taken for silent
/// connections again and again.
const EPOCH_INTERVAL: Duration = Duration::from_secs(2);

/// An owned target.
pub(super) struct Target {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub incarnation: u64,
    pub shared: Arc<Shared>,
    pub drained: Notify,
    pub(super) state: Mutex<State>,
}

/// A request that is to be cancelled.
pub(super) struct Cancelling {
    pub id: u64,
    confirmed: Option<oneshot::Sender<bool>>,
}

impl Cancelling {
    fn new(id: u64) -> Self {
        Self { id, confirmed: None }
    }

    /// Tells who waits for it whether the target has confirmed the cancel request.
    pub fn confirm(self, confirmed: bool) {
        if let Some(tx) = self.confirmed {
            let _ = tx.send(confirmed);
        }
    }
}

/// A job that has passed the check before the send.
pub(super) struct Start {
    pub job: Job,
    pub slot: Slot,
    pub id: u64,
    /// How long the exchange may carry no bytes.
    pub silence: Duration,
}

/// What a connection does next.
pub(super) enum Next {
    Work(Start),
    Cancel(Cancelling),
    Park,
    Close,
}

impl Target {
    pub fn new(view: &TargetView, shared: Arc<Shared>, now: Instant) -> Self {
        Self {
            name: view.name.clone(),
            zone: view.zone.clone(),
            addr: view.addr,
            incarnation: view.incarnation,
            shared,
            drained: Notify::new(),
            state: Mutex::new(State::new(view, now)),
        }
    }

    /// Puts a job into the queue, or rejects it at once if it cannot start in time.
    pub fn enqueue(self: &Arc<Self>, job: Job) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let rejected = state.check(now, &self.shared).and_then(|()| state.check_wait(now, &job));
        if let Err(kind) = rejected {
            drop(state);
            return self.reject(job, kind);
        }
        state.queues[job.class as usize].push_back(job);
        self.pump(state);
    }

    /// Asks the target to drop a request that runs there.
    pub fn cancel(self: &Arc<Self>, id: u64) {
        let mut state = self.state.lock();
        if state.in_flight > 0 {
            state.cancels.push_back(Cancelling::new(id));
            self.pump(state);
        }
    }

    /// Asks the target to drop a sub-request whose connection broke.
    pub fn cancel_sub(self: &Arc<Self>, job: &Job, id: u64) {
        if matches!(job.work, Work::Sub { .. }) {
            self.cancel(id);
        }
    }

    /// The next thing to do on a connection.
    pub fn next(self: &Arc<Self>, worker: &Arc<Notify>, epoch: u64, woken: bool) -> Next {
        let now = Instant::now();
        let mut rejected = Vec::new();
        let mut state = self.state.lock();
        if woken {
            state.woken -= 1;
        }
        let next = if epoch < state.epoch {
            Next::Close
        } else {
            self.choose(&mut state, now, worker, &mut rejected)
        };
        drop(state);
        for (job, kind) in rejected {
            self.reject(job, kind);
        }
        next
    }

    fn choose(
        self: &Arc<Self>,
        state: &mut State,
        now: Instant,
        worker: &Arc<Notify>,
        rejected: &mut Vec<(Job, Kind)>,
    ) -> Next {
        if let Some(cancel) = state.cancels.pop_front() {
            return Next::Cancel(cancel);
        }
        while state.in_flight < state.limit.value() {
            let Some(job) = state.queues.iter_mut().find_map(VecDeque::pop_front) else { break };
            if let Err(kind) = state.check(now, &self.shared) {
                rejected.push((job, kind));
                continue;
            }
            if job.deadline <= now {
                rejected.push((job, Kind::Overloaded));
                continue;
            }
            let id = self.shared.next_id();
            if !job.start(self, id) {
                continue;
            }
            state.in_flight += 1;
            let silence = self.silence(state, job.class);
            let slot = Slot { target: self.clone(), pump: true };
            return Next::Work(Start { job, slot, id, silence });
        }
        let spare = state.limit.value() as usize + 1;
        if state.idle.len() >= spare || (state.closed.is_some() && state.in_flight == 0) {
            return Next::Close;
        }
        state.idle.push(worker.clone());
        Next::Park
    }

    /// Takes a parked connection off the list; false if it was woken in the meantime.
    pub fn unpark(&self, worker: &Arc<Notify>) -> bool {
        let mut state = self.state.lock();
        let Some(i) = state.idle.iter().position(|it| Arc::ptr_eq(it, worker)) else {
            return false;
        };
        state.idle.remove(i);
        true
    }

    /// A connection that was woken ends instead, so that another one has to do its work.
    pub fn pass_on(self: &Arc<Self>) {
        let mut state = self.state.lock();
        state.woken -= 1;
        self.pump(state);
    }

    /// Takes a job back whose connection was closed before the send, or whose request the target no longer runs.
    pub fn take_back(self: &Arc<Self>, mut job: Job) {
        if job.resent {
            return self.reject(job, Kind::NoTarget);
        }
        job.restart();
        let mut state = self.state.lock();
        state.queues[job.class as usize].push_front(job);
        self.pump(state);
    }

    /// A connection of this epoch carries no bytes although an answer is due. Whatever lost track of it has probably
    /// lost the others too, so all connections of the epoch are closed when they are idle, and new ones replace them.
    /// False if that happened a short time ago: then the target is slow, because new connections are silent as well.
    pub fn distrust(self: &Arc<Self>, epoch: u64) -> bool {
        let now = Instant::now();
        self.shared.meter.silent.inc();
        let mut state = self.state.lock();
        if epoch < state.epoch {
            return true;
        }
        if now < state.epoch_until {
            return false;
        }
        state.epoch += 1;
        state.epoch_until = now + EPOCH_INTERVAL;
        while let Some(worker) = state.idle.pop() {
            state.woken += 1;
            worker.notify_one();
        }
        let wanted = state.connecting == 0 && state.closed.is_none();
        let opened = if wanted { self.open(&mut state) } else { None };
        drop(state);
        opened.into_iter().for_each(conn::spawn);
        let cause = format!("no bytes for {} ms", self.shared.silence.as_millis());
        self.record(event::Kind::ConnectionSilent, cause);
        true
    }

    /// How long an exchange may carry no bytes: the setting, or a multiple of the usual latency if that is longer.
    fn silence(&self, state: &State, class: Class) -> Duration {
        let usual = state.limit.baseline(class).unwrap_or_default();
        self.shared.silence.max(usual.mul_f64(limit::COLD_FACTOR))
    }

    /// Asks the target on another connection to cancel a sub-request that has no answer. True if the target has
    /// confirmed that it does not run it any more.
    ///
    /// A sub-request that was sent again is not cancelled, and neither is one without a history of its class: it may
    /// only be slow.
    pub async fn probe(
        self: &Arc<Self>,
        job: &Job,
        id: u64,
        epoch: u64,
        probing: &AtomicBool,
    ) -> bool {
        let known = self.state.lock().limit.baseline(job.class).is_some();
        let distrusted = self.distrust(epoch);
        if !distrusted || !known || job.resent || !matches!(job.work, Work::Sub { .. }) {
            return false;
        }
        probing.store(true, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state.lock();
            state.cancels.push_back(Cancelling { id, confirmed: Some(tx) });
            self.pump(state);
        }
        rx.await.unwrap_or(false)
    }

    /// Wakes or opens as many connections as there is work that may start.
    pub fn pump(self: &Arc<Self>, mut state: MutexGuard<'_, State>) {
        let queued = state.queued();
        let free = state.limit.value().saturating_sub(state.in_flight);
        let needed = queued.min(free) + state.cancels.len() as u32;
        let mut opened = Vec::new();
        while needed > state.woken + state.connecting {
            if let Some(worker) = state.idle.pop() {
                state.woken += 1;
                worker.notify_one();
            } else if let Some(open) = self.open(&mut state) {
                opened.push(open);
            } else {
                break;
            }
        }
        drop(state);
        opened.into_iter().for_each(conn::spawn);
    }

    /// Counts a new connection. The caller starts it once the lock is released: a runtime that shuts down drops it at
    /// once, and its guard takes the lock.
    fn open(self: &Arc<Self>, state: &mut State) -> Option<Open> {
        // One connection is left for cancel requests.
        let reserved = u32::from(state.cancels.is_empty() && state.connections > 1);
        if state.open + reserved >= state.connections || Instant::now() < state.retry_at {
            return None;
        }
        state.open += 1;
        state.connecting += 1;
        Some(Open { target: self.clone(), connecting: true })
    }

    /// Ends jobs that nobody waits for or that are late, and starts what may start.
    pub fn sweep(self: &Arc<Self>, now: Instant) {
        let mut late = Vec::new();
        let mut state = self.state.lock();
        let unsendable = state.check(now, &self.shared).err();
        for queue in &mut state.queues {
            if queue.is_empty() {
                continue;
            }
            for job in std::mem::take(queue) {
                match unsendable {
                    _ if !job.waits() => {}
                    Some(kind) => late.push((job, kind)),
                    None if job.deadline <= now => late.push((job, Kind::Overloaded)),
                    None => queue.push_back(job),
                }
            }
        }
        if state.closed.is_some() && state.in_flight == 0 {
            state.cancels.clear();
            while let Some(worker) = state.idle.pop() {
                state.woken += 1;
                worker.notify_one();
            }
        }
        self.pump(state);
        for (job, kind) in late {
            self.reject(job, kind);
        }
    }

    /// Ends a job without sending it.
    pub fn reject(self: &Arc<Self>, job: Job, kind: Kind) {
        self.shared.meter.count(kind);
        job.reject(self, kind);
    }

    /// Changes the limit, and remembers the change for the next event.
    pub fn adjust(&self, change: impl FnOnce(&mut State) -> Option<LimitChange>) {
        let mut state = self.state.lock();
        let Some(step) = change(&mut state) else { return };
        let from = state.unlogged.map_or(step.from, |it| it.from);
        state.unlogged = Some(LimitChange { from, ..step });
    }

    /// The target ended or refused a connection. A process that restarts does the same and listens on the same address
    /// before its new incarnation is known here.
    pub fn doubt(&self) {
        self.adjust(|state| state.limit.suspect_restart(Instant::now()));
    }

    /// Sends nothing more: what waits is rejected, what runs may end.
    pub fn close(self: &Arc<Self>, kind: Kind) {
        self.state.lock().closed = Some(kind);
        self.sweep(Instant::now());
    }

    pub fn record(&self, kind: event::Kind, cause: impl Into<String>) {
        let event = Event::new(kind, cause).target(&self.name).zone(&self.zone);
        self.shared.events.record(event);
    }

    pub fn hint(&self) -> Hint {
        let state = self.state.lock();
        Hint {
            target: self.name.clone(),
            limit: state.limit.value(),
            in_flight: state.in_flight,
            queued: state.queued(),
        }
    }

    pub fn status(&self) -> OwnedTarget {
        let now = Instant::now();
        let state = self.state.lock();
        OwnedTarget {
            name: self.name.clone(),
            zone: self.zone.clone(),
            limit: state.limit.value(),
            slots: state.slots,
            in_flight: state.in_flight,
            queued: state.queued(),
            connections: state.open,
            closed: state.check(now, &self.shared).err().map(|it| state.explain(now, it)),
        }
    }
}

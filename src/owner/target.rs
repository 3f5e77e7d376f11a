//! An owned target: its queues, slots and connections.
//!
//! Each connection is a task (see `conn`) that asks `next_action` what to do. `schedule` wakes idle connections, or
//! opens new ones, when queued jobs can start.

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
        batch::{Job, Payload},
        conn,
        guard::{ConnectionPermit, Slot},
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

/// The connections of a target are replaced at most once in this time. Otherwise a slow target would have its
/// connections replaced again and again.
const MIN_EPOCH_INTERVAL: Duration = Duration::from_secs(2);

/// A target that this host owns.
pub(super) struct Target {
    pub name: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub incarnation: u64,
    pub shared: Arc<Shared>,
    /// Notified when the last request in flight has ended or the previous owner has released the target.
    pub drained: Notify,
    pub(super) state: Mutex<State>,
}

/// A cancel request that waits for a connection.
pub(super) struct PendingCancel {
    pub id: u64,
    confirmed: Option<oneshot::Sender<bool>>,
}

impl PendingCancel {
    fn new(id: u64) -> Self {
        Self { id, confirmed: None }
    }

    /// Tells the waiting task, if any, whether the target has confirmed the cancel request.
    pub fn confirm(self, confirmed: bool) {
        if let Some(tx) = self.confirmed {
            let _ = tx.send(confirmed);
        }
    }
}

/// A job that has passed the checks and is sent next.
pub(super) struct ReadyJob {
    pub job: Job,
    pub slot: Slot,
    pub id: u64,
    /// How long the response may take before the connection counts as stalled.
    pub stall_timeout: Duration,
}

/// What a connection does next.
pub(super) enum NextAction {
    Run(ReadyJob),
    Cancel(PendingCancel),
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

    /// Queues a job, or rejects it at once if it may not be sent or cannot start before its deadline.
    pub fn enqueue(self: &Arc<Self>, job: Job) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let rejected =
            state.check_send(now, &self.shared).and_then(|()| state.check_queue(now, &job));
        if let Err(kind) = rejected {
            drop(state);
            return self.reject(job, kind);
        }
        state.queues[job.class as usize].push_back(job);
        self.schedule(state);
    }

    /// Queues a cancel request for an exchange.
    pub fn cancel(self: &Arc<Self>, id: u64) {
        let mut state = self.state.lock();
        if state.in_flight > 0 {
            state.pending_cancels.push_back(PendingCancel::new(id));
            self.schedule(state);
        }
    }

    /// Queues a cancel request for a sub-request whose connection broke. Dispatches are never cancelled.
    pub fn cancel_sub_request(self: &Arc<Self>, job: &Job, id: u64) {
        if matches!(job.payload, Payload::Sub { .. }) {
            self.cancel(id);
        }
    }

    /// Decides what a connection does next. `woken` says whether `schedule` woke it for this.
    pub fn next_action(
        self: &Arc<Self>,
        wake: &Arc<Notify>,
        epoch: u64,
        woken: bool,
    ) -> NextAction {
        let now = Instant::now();
        let mut rejected = Vec::new();
        let mut state = self.state.lock();
        if woken {
            state.woken -= 1;
        }
        let next = if epoch < state.epoch {
            NextAction::Close
        } else {
            self.choose_action(&mut state, now, wake, &mut rejected)
        };
        drop(state);
        for (job, kind) in rejected {
            self.reject(job, kind);
        }
        next
    }

    fn choose_action(
        self: &Arc<Self>,
        state: &mut State,
        now: Instant,
        wake: &Arc<Notify>,
        rejected: &mut Vec<(Job, Kind)>,
    ) -> NextAction {
        if let Some(cancel) = state.pending_cancels.pop_front() {
            return NextAction::Cancel(cancel);
        }
        while state.in_flight < state.limit.value() {
            let Some(job) = state.queues.iter_mut().find_map(VecDeque::pop_front) else { break };
            if let Err(kind) = state.check_send(now, &self.shared) {
                rejected.push((job, kind));
                continue;
            }
            if job.deadline <= now {
                rejected.push((job, Kind::Overloaded));
                continue;
            }
            let id = self.shared.next_id();
            if !job.mark_running(self, id) {
                continue;
            }
            state.in_flight += 1;
            let stall_timeout = self.stall_timeout(state, job.class);
            let slot = Slot { target: self.clone(), schedule_on_drop: true };
            return NextAction::Run(ReadyJob { job, slot, id, stall_timeout });
        }
        let max_idle = state.limit.value() as usize + 1;
        if state.idle.len() >= max_idle || (state.closed.is_some() && state.in_flight == 0) {
            return NextAction::Close;
        }
        state.idle.push(wake.clone());
        NextAction::Park
    }

    /// Removes a connection from the idle list. Returns false if it was woken in the meantime.
    pub fn unpark(&self, wake: &Arc<Notify>) -> bool {
        let mut state = self.state.lock();
        let Some(i) = state.idle.iter().position(|it| Arc::ptr_eq(it, wake)) else {
            return false;
        };
        state.idle.remove(i);
        true
    }

    /// Wakes or opens another connection in place of one that was woken but is closed.
    pub fn reassign_wakeup(self: &Arc<Self>) {
        let mut state = self.state.lock();
        state.woken -= 1;
        self.schedule(state);
    }

    /// Puts a job back at the front of its queue, because its connection was closed before the send or the target no
    /// longer runs the request. This happens once per job; the second time the job is rejected.
    pub fn requeue(self: &Arc<Self>, mut job: Job) {
        if job.requeued {
            return self.reject(job, Kind::NoTarget);
        }
        job.mark_waiting();
        let mut state = self.state.lock();
        state.queues[job.class as usize].push_front(job);
        self.schedule(state);
    }

    /// Handles a stalled connection of this epoch: a response is overdue. A network fault that drops the state of one
    /// connection has probably dropped that of the others too, so all connections of the epoch are closed once they are
    /// idle, and new ones replace them.
    ///
    /// Returns false if the connections were replaced a short time ago. Then the target is slow, because new
    /// connections stall as well.
    pub fn retire_connections(self: &Arc<Self>, epoch: u64) -> bool {
        let now = Instant::now();
        self.shared.metrics.stalled_connections.inc();
        let mut state = self.state.lock();
        if epoch < state.epoch {
            return true;
        }
        if now < state.next_epoch_at {
            return false;
        }
        state.epoch += 1;
        state.next_epoch_at = now + MIN_EPOCH_INTERVAL;
        while let Some(wake) = state.idle.pop() {
            state.woken += 1;
            wake.notify_one();
        }
        let wanted = state.connecting == 0 && state.closed.is_none();
        let permits = if wanted { self.reserve_connection(&mut state) } else { None };
        drop(state);
        permits.into_iter().for_each(conn::spawn);
        let cause = format!("no response for {} ms", self.shared.stall_timeout.as_millis());
        self.record_event(event::Kind::ConnectionSilent, cause);
        true
    }

    /// How long a response may take before the connection counts as stalled: the setting `silence_ms`, or a multiple of
    /// the baseline latency if that is longer.
    fn stall_timeout(&self, state: &State, class: Class) -> Duration {
        let baseline = state.limit.baseline(class).unwrap_or_default();
        self.shared.stall_timeout.max(baseline.mul_f64(limit::COLD_FACTOR))
    }

    /// Handles an exchange whose response is overdue: replaces the connections, and cancels the request on another one.
    /// Returns true if the target has confirmed the cancel request, so that the job can be sent again.
    ///
    /// Only the first send of a sub-request is cancelled, and only if the baseline latency of its class is known;
    /// otherwise the request may just be slow. Dispatches are never cancelled.
    pub async fn cancel_stalled(
        self: &Arc<Self>,
        job: &Job,
        id: u64,
        epoch: u64,
        cancel_sent: &AtomicBool,
    ) -> bool {
        let known = self.state.lock().limit.baseline(job.class).is_some();
        let retired = self.retire_connections(epoch);
        if !retired || !known || job.requeued || !matches!(job.payload, Payload::Sub { .. }) {
            return false;
        }
        cancel_sent.store(true, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state.lock();
            state.pending_cancels.push_back(PendingCancel { id, confirmed: Some(tx) });
            self.schedule(state);
        }
        rx.await.unwrap_or(false)
    }

    /// Wakes or opens as many connections as there are cancel requests and jobs that may start.
    pub fn schedule(self: &Arc<Self>, mut state: MutexGuard<'_, State>) {
        let queued = state.queued();
        let free = state.limit.value().saturating_sub(state.in_flight);
        let needed = queued.min(free) + state.pending_cancels.len() as u32;
        let mut permits = Vec::new();
        while needed > state.woken + state.connecting {
            if let Some(wake) = state.idle.pop() {
                state.woken += 1;
                wake.notify_one();
            } else if let Some(permit) = self.reserve_connection(&mut state) {
                permits.push(permit);
            } else {
                break;
            }
        }
        drop(state);
        permits.into_iter().for_each(conn::spawn);
    }

    /// Counts a new connection, if the connection limit allows one. The caller spawns its task after it has released
    /// the lock: a runtime that is shutting down drops the task at once, and the permit then takes the lock.
    fn reserve_connection(self: &Arc<Self>, state: &mut State) -> Option<ConnectionPermit> {
        // The last connection is reserved for cancel requests.
        let reserved = u32::from(state.pending_cancels.is_empty() && state.max_connections > 1);
        if state.open_connections + reserved >= state.max_connections
            || Instant::now() < state.next_connect_at
        {
            return None;
        }
        state.open_connections += 1;
        state.connecting += 1;
        Some(ConnectionPermit { target: self.clone(), connecting: true })
    }

    /// Ends queued jobs that may no longer be sent or are past their deadline, drops those that nobody waits for, and
    /// schedules the rest. Once no request runs at a closed target, wakes its idle connections, so that they end.
    pub fn sweep(self: &Arc<Self>, now: Instant) {
        let mut rejected = Vec::new();
        let mut state = self.state.lock();
        let send_error = state.check_send(now, &self.shared).err();
        for queue in &mut state.queues {
            if queue.is_empty() {
                continue;
            }
            for job in std::mem::take(queue) {
                match send_error {
                    _ if !job.is_waiting() => {}
                    Some(kind) => rejected.push((job, kind)),
                    None if job.deadline <= now => rejected.push((job, Kind::Overloaded)),
                    None => queue.push_back(job),
                }
            }
        }
        if state.closed.is_some() && state.in_flight == 0 {
            state.pending_cancels.clear();
            while let Some(wake) = state.idle.pop() {
                state.woken += 1;
                wake.notify_one();
            }
        }
        self.schedule(state);
        for (job, kind) in rejected {
            self.reject(job, kind);
        }
    }

    /// Ends a job with an error without sending it.
    pub fn reject(self: &Arc<Self>, job: Job, kind: Kind) {
        self.shared.metrics.record_failure(kind);
        job.reject(self, kind);
    }

    /// Changes the concurrency limit and keeps the change for the next event. Changes between two events are merged
    /// into one.
    pub fn adjust_limit(&self, change: impl FnOnce(&mut State) -> Option<LimitChange>) {
        let mut state = self.state.lock();
        let Some(step) = change(&mut state) else { return };
        let from = state.unlogged_step.map_or(step.from, |it| it.from);
        state.unlogged_step = Some(LimitChange { from, ..step });
    }

    /// Resets the limit after the target closed or refused a connection. The target may have restarted cold on the same
    /// address, before its new incarnation is known here.
    pub fn on_connection_failure(&self) {
        self.adjust_limit(|state| state.limit.suspect_restart(Instant::now()));
    }

    /// Stops sending: rejects queued jobs with this kind and lets running requests end.
    pub fn close(self: &Arc<Self>, kind: Kind) {
        self.state.lock().closed = Some(kind);
        self.sweep(Instant::now());
    }

    pub fn record_event(&self, kind: event::Kind, cause: impl Into<String>) {
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
            connections: state.open_connections,
            closed: state
                .check_send(now, &self.shared)
                .err()
                .map(|it| state.closed_reason(now, it)),
        }
    }
}

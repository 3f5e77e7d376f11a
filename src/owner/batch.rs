//! Batches and dispatches at their owner: the state of each sub-request and the results that the root has not fetched
//! yet.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use crate::{
    error::{Kind, Outcome},
    owner::{canary::CanaryPermit, target::Target},
    wire::{
        MAX_FRAME_BYTES,
        caller::Row,
        owner::{self, Class, Dispatched, Finished, Progress},
    },
};

/// How long `collect` waits for further results after the first one, so that results that arrive together share a
/// reply.
const COALESCING_DELAY: Duration = Duration::from_millis(1);

/// How many bytes of results one `Progress` carries. Half of the longest frame leaves room for the other fields. A
/// single result always fits, because its JSON body was smaller than a frame.
const MAX_PROGRESS_BYTES: usize = MAX_FRAME_BYTES / 2;

/// The size of a row or a result in a frame without its text: numbers, enum tags and length prefixes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A batch that runs at this owner, with the state of each of its sub-requests.
pub(super) struct Batch {
    pub batch: owner::Batch,
    pub started: Instant,
    pub deadline: Instant,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    item_states: Vec<ItemState>,
    /// How many sub-requests have not ended.
    pending: usize,
    /// Results that the root has not fetched yet.
    finished: Vec<Finished>,
    /// Targets whose load the next `Progress` reports.
    targets: Vec<Arc<Target>>,
    wait_for: WaitFor,
}

/// Which event wakes the call of the root that waits for this batch.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WaitFor {
    Nothing,
    Any,
    All,
}

enum ItemState {
    /// Waits to be sent, for the second time if it was sent before.
    Waiting {
        sent: bool,
    },
    Running {
        target: Arc<Target>,
        id: u64,
    },
    Done,
}

impl Batch {
    pub fn new(batch: owner::Batch, started: Instant) -> Self {
        let count = batch.items.len();
        let state = State {
            item_states: std::iter::repeat_with(|| ItemState::Waiting { sent: false })
                .take(count)
                .collect(),
            pending: count,
            finished: Vec::with_capacity(count),
            targets: Vec::new(),
            wait_for: WaitFor::Nothing,
        };
        Self {
            deadline: started + Duration::from_millis(batch.deadline_ms),
            batch,
            started,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Marks a sub-request as running at the target under the exchange id `id`. Returns false if it has ended already,
    /// for example because it was cancelled.
    pub fn mark_running(&self, item: usize, target: &Arc<Target>, id: u64) -> bool {
        let item_state = &mut self.state.lock().item_states[item];
        if !matches!(item_state, ItemState::Waiting { .. }) {
            return false;
        }
        *item_state = ItemState::Running { target: target.clone(), id };
        true
    }

    /// Marks a running sub-request as waiting again because its job returns to the queue. One that has ended stays so.
    /// `sent` tells whether the target may have run it.
    pub fn mark_waiting(&self, item: usize, sent: bool) {
        let item_state = &mut self.state.lock().item_states[item];
        if matches!(item_state, ItemState::Running { .. }) {
            *item_state = ItemState::Waiting { sent };
        }
    }

    /// Whether a sub-request has neither been sent nor ended.
    pub fn is_waiting(&self, item: usize) -> bool {
        matches!(self.state.lock().item_states[item], ItemState::Waiting { .. })
    }

    /// Records the result of a sub-request, unless it has ended already, and wakes the call of the root if that waits
    /// for it. `target` is the target whose load the next `Progress` reports.
    pub fn finish(
        &self,
        item: usize,
        target: Option<&Arc<Target>>,
        result: Result<Vec<Row>, Kind>,
    ) {
        let mut state = self.state.lock();
        if state.finish(&self.batch.items[item], item, result, self.started)
            && let Some(target) = target
            && !state.targets.iter().any(|it| Arc::ptr_eq(it, target))
        {
            state.targets.push(target.clone());
        }
        let wake = match state.wait_for {
            WaitFor::Nothing => false,
            WaitFor::Any => true,
            WaitFor::All => state.pending == 0,
        };
        drop(state);
        if wake {
            self.changed.notify_one();
        }
    }

    /// Waits until all sub-requests have ended, at most until `end`.
    pub async fn wait_all(&self, end: Instant) {
        self.wait_until(WaitFor::All, end, |it| it.pending == 0).await;
        self.expire(Instant::now());
    }

    /// Waits until a result can be fetched, at most until `end`.
    pub async fn wait_any(&self, end: Instant) {
        self.wait_until(WaitFor::Any, end, |it| it.pending == 0 || !it.finished.is_empty()).await;
        let coalesced = Instant::now() + COALESCING_DELAY;
        if coalesced < end {
            self.wait_until(WaitFor::All, coalesced, |it| it.pending == 0).await;
        }
        self.expire(Instant::now());
    }

    async fn wait_until(&self, wait_for: WaitFor, end: Instant, met: impl Fn(&State) -> bool) {
        let end = tokio::time::Instant::from_std(end.min(self.deadline));
        loop {
            {
                let mut state = self.state.lock();
                if met(&state) {
                    state.wait_for = WaitFor::Nothing;
                    return;
                }
                state.wait_for = wait_for;
            }
            if tokio::time::timeout_at(end, self.changed.notified()).await.is_err() {
                self.state.lock().wait_for = WaitFor::Nothing;
                return;
            }
        }
    }

    /// Takes the results since the last call, with load hints for the targets that they came from. Results that exceed
    /// [`MAX_PROGRESS_BYTES`] stay for the next call, and their shards are listed as pending.
    pub fn take_progress(&self) -> Progress {
        let mut state = self.state.lock();
        let mut bytes = 0;
        let mut fits = |it: &Finished| {
            let first = bytes == 0;
            bytes += encoded_size(it);
            first || bytes <= MAX_PROGRESS_BYTES
        };
        let count = state.finished.iter().take_while(|it| fits(it)).count();
        let left = state.finished.split_off(count);
        let finished = std::mem::replace(&mut state.finished, left);
        let items = self.batch.items.iter().zip(&state.item_states);
        let running = items
            .filter(|(_, item_state)| !matches!(item_state, ItemState::Done))
            .map(|(it, _)| it.shard);
        let pending = running.chain(state.finished.iter().map(|it| it.shard)).collect();
        let targets = std::mem::take(&mut state.targets);
        drop(state);
        Progress { finished, pending, hints: targets.iter().map(|it| it.hint()).collect() }
    }

    /// Ends all pending sub-requests if the deadline of the batch has passed: as `Overloaded` if they were
    /// never sent, otherwise as `Timeout`, because the target may have run them.
    pub fn expire(&self, now: Instant) {
        if now < self.deadline {
            return;
        }
        let mut state = self.state.lock();
        for item in 0..state.item_states.len() {
            let kind = match state.item_states[item] {
                ItemState::Waiting { sent: false } => Kind::Overloaded,
                ItemState::Waiting { sent: true } | ItemState::Running { .. } => Kind::Timeout,
                ItemState::Done => continue,
            };
            state.finish(&self.batch.items[item], item, Err(kind), self.started);
        }
    }

    /// Ends the sub-requests of these shards, or all, as cancelled. Returns the exchanges that are still to be
    /// cancelled at their targets.
    pub fn cancel(&self, shards: Option<&[u32]>) -> Vec<(Arc<Target>, u64)> {
        let mut running = Vec::new();
        let mut state = self.state.lock();
        for (i, item) in self.batch.items.iter().enumerate() {
            if shards.is_some_and(|it| !it.contains(&item.shard)) {
                continue;
            }
            if let ItemState::Running { target, id } = &state.item_states[i] {
                running.push((target.clone(), *id));
            }
            state.finish(item, i, Err(Kind::Cancelled), self.started);
        }
        drop(state);
        self.changed.notify_one();
        running
    }
}

impl State {
    fn finish(
        &mut self,
        item: &owner::Item,
        index: usize,
        result: Result<Vec<Row>, Kind>,
        started: Instant,
    ) -> bool {
        if matches!(self.item_states[index], ItemState::Done) {
            return false;
        }
        self.item_states[index] = ItemState::Done;
        self.pending -= 1;
        self.finished.push(Finished {
            shard: item.shard,
            target: item.target.clone(),
            result,
            elapsed_us: started.elapsed().as_micros() as u64,
        });
        true
    }
}

fn encoded_size(finished: &Finished) -> usize {
    let rows = finished.result.iter().flatten();
    let rows: usize = rows.map(|it| it.text.len() + ENTRY_OVERHEAD_BYTES).sum();
    rows + finished.target.len() + ENTRY_OVERHEAD_BYTES
}

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const ABANDONED: u8 = 2;

/// A dispatch that runs at this owner: a request that must not be repeated. `state` decides whether the request is sent
/// or abandoned at its deadline, so that a request reported as not run is never sent afterwards.
pub(super) struct DispatchCall {
    pub dispatch: owner::Dispatch,
    state: AtomicU8,
    tx: Mutex<Option<oneshot::Sender<Dispatched>>>,
}

impl DispatchCall {
    pub fn new(dispatch: owner::Dispatch) -> (Arc<Self>, oneshot::Receiver<Dispatched>) {
        let (tx, rx) = oneshot::channel();
        let call = Self { dispatch, state: AtomicU8::new(WAITING), tx: Mutex::new(Some(tx)) };
        (Arc::new(call), rx)
    }

    /// Changes the state if it is `from`; returns whether it was.
    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Abandons the request. Returns false if it may have been sent.
    pub fn abandon(&self) -> bool {
        self.transition(WAITING, ABANDONED)
    }

    fn is_waiting(&self) -> bool {
        self.state.load(Ordering::Acquire) == WAITING
            && self.tx.lock().as_ref().is_some_and(|it| !it.is_closed())
    }

    fn finish(&self, result: Result<String, Kind>) {
        let Some(tx) = self.tx.lock().take() else { return };
        let dispatched = match result {
            Ok(result) => Dispatched { outcome: Outcome::Done, result: Some(result), error: None },
            Err(kind) => Dispatched { outcome: kind.outcome(), result: None, error: Some(kind) },
        };
        let _ = tx.send(dispatched);
    }
}

/// The request that a job sends.
#[derive(Clone)]
pub(super) enum Payload {
    /// One sub-request of a batch.
    Sub { batch: Arc<Batch>, item: usize },
    /// A request that must not be repeated.
    Dispatch(Arc<DispatchCall>),
}

/// A request that waits in the queue of a target or is being exchanged with it.
pub(super) struct Job {
    pub payload: Payload,
    pub class: Class,
    pub deadline: Instant,
    /// Held while a canary request runs; dropped with the job, which admits the next request with the same fingerprint.
    pub canary: Option<CanaryPermit>,
    /// Whether the job has returned to the queue once, because its connection was closed before the send or stalled.
    /// This happens at most once.
    pub requeued: bool,
    /// Whether the job was sent before it returned to the queue, so that the target may have run it.
    pub may_have_run: bool,
}

impl Job {
    /// The fingerprint that becomes suspect if the target crashes during this job: that of a canary request or a
    /// dispatch.
    pub fn crash_fingerprint(&self) -> Option<u64> {
        match &self.payload {
            Payload::Sub { batch, .. } => self.canary.as_ref().map(|_| batch.batch.fingerprint),
            Payload::Dispatch(call) => Some(call.dispatch.fingerprint),
        }
    }

    /// Whether the job has neither been sent nor ended.
    pub fn is_waiting(&self) -> bool {
        match &self.payload {
            Payload::Sub { batch, item } => batch.is_waiting(*item),
            Payload::Dispatch(call) => call.is_waiting(),
        }
    }

    /// Marks the job as running. Returns false if it has ended or its caller has gone away.
    pub fn mark_running(&self, target: &Arc<Target>, id: u64) -> bool {
        match &self.payload {
            Payload::Sub { batch, item } => batch.mark_running(*item, target, id),
            Payload::Dispatch(call) => call.is_waiting() && call.transition(WAITING, RUNNING),
        }
    }

    /// Marks the job as waiting again when it returns to the queue.
    pub fn mark_waiting(&mut self) {
        self.requeued = true;
        match &self.payload {
            Payload::Sub { batch, item } => batch.mark_waiting(*item, self.may_have_run),
            Payload::Dispatch(call) => {
                call.transition(RUNNING, WAITING);
            }
        }
    }

    /// Ends the job with an error without sending it (again). A job that may have run ends as `Timeout`, because `kind`
    /// would claim that it did not.
    pub fn reject(self, target: &Arc<Target>, kind: Kind) {
        let kind = if self.may_have_run { Kind::Timeout } else { kind };
        match &self.payload {
            Payload::Sub { batch, item } => batch.finish(*item, Some(target), Err(kind)),
            Payload::Dispatch(call) => call.finish(Err(kind)),
        }
    }

    /// Ends a sub-request with the result of its exchange.
    pub fn finish_sub_request(&self, target: &Arc<Target>, result: Result<Vec<Row>, Kind>) {
        if let Payload::Sub { batch, item } = &self.payload {
            batch.finish(*item, Some(target), result);
        }
    }

    /// Ends a dispatch with the result of its exchange.
    pub fn finish_dispatch(&self, result: Result<String, Kind>) {
        if let Payload::Dispatch(call) = &self.payload {
            call.finish(result);
        }
    }
}

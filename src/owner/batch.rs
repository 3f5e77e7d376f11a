//! Batches that run here: which sub-requests wait, pending and are finished.

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

/// How long further sub-requests are awaited once one is finished.
const COALESCING_DELAY: Duration = Duration::from_millis(1);

/// How many bytes of results one answer carries; half of the longest frame leaves room for all the rest. A single
/// result is smaller than a frame, because its JSON was.
const MAX_PROGRESS_BYTES: usize = MAX_FRAME_BYTES / 2;

/// What a row or a result takes in a frame besides its text.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A batch and what became of it.
pub(super) struct Batch {
    pub batch: owner::Batch,
    pub started: Instant,
    pub deadline: Instant,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    item_states: Vec<ItemState>,
    pending: usize,
    finished: Vec<Finished>,
    targets: Vec<Arc<Target>>,
    wait_for: WaitFor,
}

/// What the root's call waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum WaitFor {
    Nothing,
    Any,
    All,
}

enum ItemState {
    Waiting,
    Running { target: Arc<Target>, id: u64 },
    Done,
}

impl Batch {
    pub fn new(batch: owner::Batch, started: Instant) -> Self {
        let count = batch.items.len();
        let state = State {
            item_states: std::iter::repeat_with(|| ItemState::Waiting).take(count).collect(),
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

    /// Marks a sub-request as running; false if it is no longer wanted.
    pub fn mark_running(&self, item: usize, target: &Arc<Target>, id: u64) -> bool {
        let item_state = &mut self.state.lock().item_states[item];
        if !matches!(item_state, ItemState::Waiting) {
            return false;
        }
        *item_state = ItemState::Running { target: target.clone(), id };
        true
    }

    /// Marks a sub-request that was not sent as waiting again.
    pub fn mark_waiting(&self, item: usize) {
        let item_state = &mut self.state.lock().item_states[item];
        if matches!(item_state, ItemState::Running { .. }) {
            *item_state = ItemState::Waiting;
        }
    }

    /// Whether a sub-request is still wanted and not sent.
    pub fn is_waiting(&self, item: usize) -> bool {
        matches!(self.state.lock().item_states[item], ItemState::Waiting)
    }

    /// Records a result unless the sub-request is done already.
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

    /// Waits until all is finished or `end` has come.
    pub async fn wait_all(&self, end: Instant) {
        self.wait_until(WaitFor::All, end, |it| it.pending == 0).await;
        self.expire(Instant::now());
    }

    /// Waits until something is finished or `end` has come.
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

    /// What is finished since the last call, and the load of the targets that finished it. Results that would make the
    /// frame too large count as pending until the next call.
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

    /// Once the deadline has passed, ends what is pending.
    pub fn expire(&self, now: Instant) {
        if now < self.deadline {
            return;
        }
        let mut state = self.state.lock();
        for item in 0..state.item_states.len() {
            let kind = match state.item_states[item] {
                ItemState::Waiting => Kind::Overloaded,
                ItemState::Running { .. } => Kind::Timeout,
                ItemState::Done => continue,
            };
            state.finish(&self.batch.items[item], item, Err(kind), self.started);
        }
    }

    /// Ends these shards, or all, and returns what has to be cancelled at targets.
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

/// A request that may not be repeated, as it runs here.
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

    fn transition(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Takes the request back; false if it may have been sent.
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

/// What a job sends.
#[derive(Clone)]
pub(super) enum Payload {
    /// A sub-request of a batch.
    Sub { batch: Arc<Batch>, item: usize },
    /// A request that may not be repeated.
    Dispatch(Arc<DispatchCall>),
}

/// Payload for one target.
pub(super) struct Job {
    pub payload: Payload,
    pub class: Class,
    pub deadline: Instant,
    /// The turn of a canary request, given back when the job has ended.
    pub canary: Option<CanaryPermit>,
    /// Whether the job was taken back once because its connection was closed or silent.
    pub requeued: bool,
    /// Whether the target may have run it before it was taken back.
    pub may_have_run: bool,
}

impl Job {
    /// The fingerprint, if a crash of the target has to be recorded for it.
    pub fn crash_fingerprint(&self) -> Option<u64> {
        match &self.payload {
            Payload::Sub { batch, .. } => self.canary.as_ref().map(|_| batch.batch.fingerprint),
            Payload::Dispatch(call) => Some(call.dispatch.fingerprint),
        }
    }

    /// Whether the job is still wanted and not sent.
    pub fn is_waiting(&self) -> bool {
        match &self.payload {
            Payload::Sub { batch, item } => batch.is_waiting(*item),
            Payload::Dispatch(call) => call.is_waiting(),
        }
    }

    /// Marks the job as running; false if it is no longer wanted.
    pub fn mark_running(&self, target: &Arc<Target>, id: u64) -> bool {
        match &self.payload {
            Payload::Sub { batch, item } => batch.mark_running(*item, target, id),
            Payload::Dispatch(call) => call.is_waiting() && call.transition(WAITING, RUNNING),
        }
    }

    /// Marks a job that was not sent as waiting again.
    pub fn mark_waiting(&mut self) {
        self.requeued = true;
        match &self.payload {
            Payload::Sub { batch, item } => batch.mark_waiting(*item),
            Payload::Dispatch(call) => {
                call.transition(RUNNING, WAITING);
            }
        }
    }

    /// Ends the job without sending it, or without sending it again.
    pub fn reject(self, target: &Arc<Target>, kind: Kind) {
        let kind = if self.may_have_run { Kind::Timeout } else { kind };
        match &self.payload {
            Payload::Sub { batch, item } => batch.finish(*item, Some(target), Err(kind)),
            Payload::Dispatch(call) => call.finish(Err(kind)),
        }
    }

    /// Ends a sub-request that was sent.
    pub fn finish_sub_request(&self, target: &Arc<Target>, result: Result<Vec<Row>, Kind>) {
        if let Payload::Sub { batch, item } = &self.payload {
            batch.finish(*item, Some(target), result);
        }
    }

    /// Ends a request that may not be repeated.
    pub fn finish_dispatch(&self, result: Result<String, Kind>) {
        if let Payload::Dispatch(call) = &self.payload {
            call.finish(result);
        }
    }
}

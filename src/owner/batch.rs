//! Batches that run here: which sub-requests wait, run and are finished.

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
    owner::{canary::Turn, target::Target},
    wire::{
        MAX_FRAME_BYTES,
        caller::Row,
        owner::{self, Class, Dispatched, Finished, Progress},
    },
};

/// How long further sub-requests are awaited once one is finished.
const COALESCING: Duration = Duration::from_millis(1);

/// How many bytes of results one answer carries; half of the longest frame leaves room for all the rest. A single
/// result is smaller than a frame, because its JSON was.
const MAX_PROGRESS_BYTES: usize = MAX_FRAME_BYTES / 2;

/// What a row or a result takes in a frame besides its text.
const OVERHEAD_BYTES: usize = 32;

/// A batch and what became of it.
pub(super) struct Batch {
    pub batch: owner::Batch,
    pub started: Instant,
    pub deadline: Instant,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    cells: Vec<Cell>,
    pending: usize,
    finished: Vec<Finished>,
    targets: Vec<Arc<Target>>,
    waiter: Waiter,
}

/// What the root's call waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Waiter {
    Nobody,
    Any,
    All,
}

enum Cell {
    Waiting,
    Running { target: Arc<Target>, id: u64 },
    Done,
}

impl Batch {
    pub fn new(batch: owner::Batch, started: Instant) -> Self {
        let count = batch.items.len();
        let state = State {
            cells: std::iter::repeat_with(|| Cell::Waiting).take(count).collect(),
            pending: count,
            finished: Vec::with_capacity(count),
            targets: Vec::new(),
            waiter: Waiter::Nobody,
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
    pub fn start(&self, item: usize, target: &Arc<Target>, id: u64) -> bool {
        let cell = &mut self.state.lock().cells[item];
        if !matches!(cell, Cell::Waiting) {
            return false;
        }
        *cell = Cell::Running { target: target.clone(), id };
        true
    }

    /// Marks a sub-request that was not sent as waiting again.
    pub fn restart(&self, item: usize) {
        let cell = &mut self.state.lock().cells[item];
        if matches!(cell, Cell::Running { .. }) {
            *cell = Cell::Waiting;
        }
    }

    /// Whether a sub-request is still wanted and not sent.
    pub fn waits(&self, item: usize) -> bool {
        matches!(self.state.lock().cells[item], Cell::Waiting)
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
        let wake = match state.waiter {
            Waiter::Nobody => false,
            Waiter::Any => true,
            Waiter::All => state.pending == 0,
        };
        drop(state);
        if wake {
            self.changed.notify_one();
        }
    }

    /// Waits until all is finished or `end` has come.
    pub async fn all(&self, end: Instant) {
        self.wait(Waiter::All, end, |it| it.pending == 0).await;
        self.expire(Instant::now());
    }

    /// Waits until something is finished or `end` has come.
    pub async fn any(&self, end: Instant) {
        self.wait(Waiter::Any, end, |it| it.pending == 0 || !it.finished.is_empty()).await;
        let coalesced = Instant::now() + COALESCING;
        if coalesced < end {
            self.wait(Waiter::All, coalesced, |it| it.pending == 0).await;
        }
        self.expire(Instant::now());
    }

    async fn wait(&self, waiter: Waiter, end: Instant, met: impl Fn(&State) -> bool) {
        let end = tokio::time::Instant::from_std(end.min(self.deadline));
        loop {
            {
                let mut state = self.state.lock();
                if met(&state) {
                    state.waiter = Waiter::Nobody;
                    return;
                }
                state.waiter = waiter;
            }
            if tokio::time::timeout_at(end, self.changed.notified()).await.is_err() {
                self.state.lock().waiter = Waiter::Nobody;
                return;
            }
        }
    }

    /// What is finished since the last call, and the load of the targets that finished it. Results that would make the
    /// frame too large count as pending until the next call.
    pub fn take(&self) -> Progress {
        let mut state = self.state.lock();
        let mut bytes = 0;
        let mut fits = |it: &Finished| {
            let first = bytes == 0;
            bytes += size(it);
            first || bytes <= MAX_PROGRESS_BYTES
        };
        let count = state.finished.iter().take_while(|it| fits(it)).count();
        let left = state.finished.split_off(count);
        let finished = std::mem::replace(&mut state.finished, left);
        let items = self.batch.items.iter().zip(&state.cells);
        let running = items.filter(|(_, cell)| !matches!(cell, Cell::Done)).map(|(it, _)| it.shard);
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
        for item in 0..state.cells.len() {
            let kind = match state.cells[item] {
                Cell::Waiting => Kind::Overloaded,
                Cell::Running { .. } => Kind::Timeout,
                Cell::Done => continue,
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
            if let Cell::Running { target, id } = &state.cells[i] {
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
        if matches!(self.cells[index], Cell::Done) {
            return false;
        }
        self.cells[index] = Cell::Done;
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

fn size(finished: &Finished) -> usize {
    let rows = finished.result.iter().flatten();
    let rows: usize = rows.map(|it| it.text.len() + OVERHEAD_BYTES).sum();
    rows + finished.target.len() + OVERHEAD_BYTES
}

const WAITING: u8 = 0;
const RUNNING: u8 = 1;
const ABANDONED: u8 = 2;

/// A request that may not be repeated, as it runs here.
pub(super) struct Run {
    pub dispatch: owner::Dispatch,
    state: AtomicU8,
    tx: Mutex<Option<oneshot::Sender<Dispatched>>>,
}

impl Run {
    pub fn new(dispatch: owner::Dispatch) -> (Arc<Self>, oneshot::Receiver<Dispatched>) {
        let (tx, rx) = oneshot::channel();
        let run = Self { dispatch, state: AtomicU8::new(WAITING), tx: Mutex::new(Some(tx)) };
        (Arc::new(run), rx)
    }

    fn pass(&self, from: u8, to: u8) -> bool {
        self.state.compare_exchange(from, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Takes the request back; false if it may have been sent.
    pub fn abandon(&self) -> bool {
        self.pass(WAITING, ABANDONED)
    }

    fn waits(&self) -> bool {
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
pub(super) enum Work {
    /// A sub-request of a batch.
    Sub { batch: Arc<Batch>, item: usize },
    /// A request that may not be repeated.
    Run(Arc<Run>),
}

/// Work for one target.
pub(super) struct Job {
    pub work: Work,
    pub class: Class,
    pub deadline: Instant,
    /// The turn of a canary request, given back when the job has ended.
    pub turn: Option<Turn>,
    /// Whether the job was taken back once because its connection was closed or silent.
    pub resent: bool,
    /// Whether the target may have run it before it was taken back.
    pub may_have_run: bool,
}

impl Job {
    /// The fingerprint, if a crash of the target has to be recorded for it.
    pub fn watched(&self) -> Option<u64> {
        match &self.work {
            Work::Sub { batch, .. } => self.turn.as_ref().map(|_| batch.batch.fingerprint),
            Work::Run(run) => Some(run.dispatch.fingerprint),
        }
    }

    /// Whether the job is still wanted and not sent.
    pub fn waits(&self) -> bool {
        match &self.work {
            Work::Sub { batch, item } => batch.waits(*item),
            Work::Run(run) => run.waits(),
        }
    }

    /// Marks the job as running; false if it is no longer wanted.
    pub fn start(&self, target: &Arc<Target>, id: u64) -> bool {
        match &self.work {
            Work::Sub { batch, item } => batch.start(*item, target, id),
            Work::Run(run) => run.waits() && run.pass(WAITING, RUNNING),
        }
    }

    /// Marks a job that was not sent as waiting again.
    pub fn restart(&mut self) {
        self.resent = true;
        match &self.work {
            Work::Sub { batch, item } => batch.restart(*item),
            Work::Run(run) => {
                run.pass(RUNNING, WAITING);
            }
        }
    }

    /// Ends the job without sending it, or without sending it again.
    pub fn reject(self, target: &Arc<Target>, kind: Kind) {
        let kind = if self.may_have_run { Kind::Timeout } else { kind };
        match &self.work {
            Work::Sub { batch, item } => batch.finish(*item, Some(target), Err(kind)),
            Work::Run(run) => run.finish(Err(kind)),
        }
    }

    /// Ends a sub-request that was sent.
    pub fn finish_sub(&self, target: &Arc<Target>, result: Result<Vec<Row>, Kind>) {
        if let Work::Sub { batch, item } = &self.work {
            batch.finish(*item, Some(target), result);
        }
    }

    /// Ends a request that may not be repeated.
    pub fn finish_run(&self, result: Result<String, Kind>) {
        if let Work::Run(run) = &self.work {
            run.finish(result);
        }
    }
}

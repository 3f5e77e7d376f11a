//! A fake of the owners of targets. The test decides how each sub-request and dispatch is answered.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use gentianpass::{
    entry::{Owners, Peer},
    error::{Error, Kind, Outcome, Result},
    state::View,
    wire::{
        caller::Row,
        operator::OwnedTarget,
        owner::{Batch, BatchId, Dispatch, Dispatched, Finished, Item, Progress},
        target::Announcement,
    },
};
use parking_lot::Mutex;

/// How the fake answers a sub-request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Rows,
    Fail(Kind),
    /// It is reported as pending until the end.
    Pending,
    /// It is reported neither as finished nor as pending.
    Forgotten,
    /// Rows are reported for the next shard instead, and it stays pending.
    WrongShard,
    /// It is reported as finished twice, the second time with wrong rows.
    Duplicate,
}

/// How long a sub-request takes, and its reply.
pub type TimedReply = (Duration, Reply);

type Script = dyn Fn(&Batch, &Item) -> TimedReply + Send + Sync;
type DispatchScript = dyn Fn(&Dispatch) -> Result<Dispatched> + Send + Sync;

struct PendingItem {
    item: Item,
    ready: Instant,
    reply: Reply,
}

struct Running {
    batch: Batch,
    pending: Vec<PendingItem>,
}

/// The calls that the fake has received.
#[derive(Default)]
struct Calls {
    batches: Vec<Batch>,
    cancelled: Vec<(BatchId, Vec<u32>)>,
    dispatches: Vec<Dispatch>,
    renewals: Vec<(Peer, Announcement)>,
    stopped: bool,
}

/// The fake of all owners. Clones share their state.
#[derive(Clone)]
pub struct FakeOwners {
    script: Arc<Mutex<Arc<Script>>>,
    dispatch: Arc<Mutex<Arc<DispatchScript>>>,
    dispatch_delay: Arc<Mutex<Duration>>,
    running: Arc<Mutex<HashMap<BatchId, Running>>>,
    calls: Arc<Mutex<Calls>>,
    view: Arc<Mutex<Arc<View>>>,
}

/// The correct rows of a shard of an index version for a text.
pub fn rows(version: u64, shard: u32, text: &str) -> Vec<Row> {
    let row = |i: u64| Row { id: u64::from(shard) * 10 + i, text: format!("v{version} {text}") };
    (0..=u64::from(shard % 3)).rev().map(row).collect()
}

pub fn done(result: &str) -> Result<Dispatched> {
    Ok(Dispatched { outcome: Outcome::Done, result: Some(result.into()), error: None })
}

pub fn ended(outcome: Outcome, error: Kind) -> Result<Dispatched> {
    Ok(Dispatched { outcome, result: None, error: Some(error) })
}

impl FakeOwners {
    /// Creates a fake whose sub-requests and dispatches all succeed at once.
    pub fn new() -> Self {
        Self {
            script: Arc::new(Mutex::new(Arc::new(|_, _| (Duration::ZERO, Reply::Rows)))),
            dispatch: Arc::new(Mutex::new(Arc::new(|it| done(&it.body)))),
            dispatch_delay: Arc::default(),
            running: Arc::default(),
            calls: Arc::default(),
            view: Arc::default(),
        }
    }

    pub fn script(&self, script: impl Fn(&Batch, &Item) -> TimedReply + Send + Sync + 'static) {
        *self.script.lock() = Arc::new(script);
    }

    pub fn on_dispatch(
        &self,
        script: impl Fn(&Dispatch) -> Result<Dispatched> + Send + Sync + 'static,
    ) {
        *self.dispatch.lock() = Arc::new(script);
    }

    pub fn set_dispatch_delay(&self, delay: Duration) {
        *self.dispatch_delay.lock() = delay;
    }

    pub fn batches(&self) -> Vec<Batch> {
        self.calls.lock().batches.clone()
    }

    pub fn cancelled(&self) -> Vec<(BatchId, Vec<u32>)> {
        self.calls.lock().cancelled.clone()
    }

    pub fn dispatches(&self) -> Vec<Dispatch> {
        self.calls.lock().dispatches.clone()
    }

    pub fn renewals(&self) -> Vec<(Peer, Announcement)> {
        self.calls.lock().renewals.clone()
    }

    pub fn stopped(&self) -> bool {
        self.calls.lock().stopped
    }

    pub fn revision(&self) -> u64 {
        self.view.lock().revision
    }

    /// Adds the sub-requests that are ready to `progress`. Returns when the next one is ready, if any is.
    fn take_ready(&self, id: BatchId, progress: &mut Progress) -> Result<Option<Instant>> {
        let mut running = self.running.lock();
        let Some(Running { batch, pending }) = running.get_mut(&id) else {
            return Err(Error::new(Kind::NotFound, "no such batch"));
        };
        let now = Instant::now();
        for mut it in std::mem::take(pending) {
            if it.ready > now || it.reply == Reply::Pending {
                pending.push(it);
                continue;
            }
            let Item { shard, target } = it.item.clone();
            let mut finish = |shard, result| {
                let target = target.clone();
                progress.finished.push(Finished { shard, target, result, elapsed_us: 1_000 });
            };
            let rows = rows(batch.version, shard, &batch.text);
            let wrong = vec![Row { id: 999, text: "wrong".into() }];
            match it.reply {
                Reply::Rows => finish(shard, Ok(rows)),
                Reply::Fail(kind) => finish(shard, Err(kind)),
                Reply::Pending | Reply::Forgotten => {}
                Reply::WrongShard => {
                    finish(shard + 1, Ok(wrong));
                    it.reply = Reply::Pending;
                    pending.push(it);
                }
                Reply::Duplicate => {
                    finish(shard, Ok(rows));
                    finish(shard, Ok(wrong));
                }
            }
        }
        progress.pending = pending.iter().map(|it| it.item.shard).collect();
        let ready = pending.iter().filter(|it| it.reply != Reply::Pending).map(|it| it.ready);
        Ok(ready.min())
    }
}

impl Owners for FakeOwners {
    fn apply(&self, view: &Arc<View>) {
        let old = std::mem::replace(&mut *self.view.lock(), view.clone());
        assert!(old.revision < view.revision, "a configuration was applied twice or reverted");
    }

    async fn exec(&self, _peer: &Peer, batch: Batch) -> Result<Progress> {
        let script = self.script.lock().clone();
        let now = Instant::now();
        let pending = batch.items.iter().map(|item| {
            let (after, reply) = script(&batch, item);
            PendingItem { item: item.clone(), ready: now + after, reply }
        });
        let pending = pending.collect();
        let (id, until) = (batch.id, now + Duration::from_millis(batch.partial_after_ms));
        self.calls.lock().batches.push(batch.clone());
        let old = self.running.lock().insert(id, Running { batch, pending });
        assert!(old.is_none(), "a batch id was used twice");
        let mut progress = Progress::default();
        loop {
            let next = self.take_ready(id, &mut progress)?;
            if progress.pending.is_empty() || Instant::now() >= until {
                return Ok(progress);
            }
            tokio::time::sleep_until(next.unwrap_or(until).min(until).into()).await;
        }
    }

    async fn collect(&self, _peer: &Peer, id: BatchId, wait: Duration) -> Result<Progress> {
        let until = Instant::now() + wait;
        let mut progress = Progress::default();
        loop {
            let next = self.take_ready(id, &mut progress)?;
            if !progress.finished.is_empty() || Instant::now() >= until {
                return Ok(progress);
            }
            tokio::time::sleep_until(next.unwrap_or(until).min(until).into()).await;
        }
    }

    async fn cancel(&self, _peer: &Peer, id: BatchId, shards: Vec<u32>) {
        self.calls.lock().cancelled.push((id, shards));
    }

    async fn dispatch(&self, _peer: &Peer, dispatch: Dispatch) -> Result<Dispatched> {
        self.calls.lock().dispatches.push(dispatch.clone());
        let delay = *self.dispatch_delay.lock();
        tokio::time::sleep(delay).await;
        let script = self.dispatch.lock().clone();
        script(&dispatch)
    }

    async fn renew(&self, peer: &Peer, announcement: Announcement) -> Result<()> {
        self.calls.lock().renewals.push((peer.clone(), announcement));
        Ok(())
    }

    fn status(&self) -> Vec<OwnedTarget> {
        Vec::new()
    }

    async fn stop(&self) {
        self.calls.lock().stopped = true;
    }
}

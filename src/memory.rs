//! Bounds the bytes that the requests of a process hold: bodies, frames and delegated messages, and responses that callers
//! have not taken. What is shorter than [`SMALL_BYTES`] does not count: a connection holds at most one body and one response, so
//! that their number bounds it.

mod body;
mod choice;

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGaugeVec};
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::{inbound::LogLimit, metric::Registry};

pub use body::{Progress, Refusal, collect};
pub use choice::{Holding, Stage, choose};

/// The memory of the machine if the settings do not tell it, in MB. It is that of the smallest machine in use.
pub const DEFAULT_MEMORY_MB: u64 = 160;

/// The part of the memory that the account may hold, in percent. Targets' responses that are being received may take as
/// much again. With 160 MB, 2,400 connections with 32 KiB each (read buffer, small body, small response) take another 77
/// MB.
pub const ACCOUNT_PERCENT: u64 = 15;

/// Bodies and responses up to this length are not counted and never refused for lack of memory, in bytes.
pub const SMALL_BYTES: usize = 8 << 10;

/// The part of the memory that the receive buffers of all connections from outside may take, in percent. The kernel takes
/// up to twice the size that is set.
const RECEIVE_PERCENT: u64 = 15;

/// The smallest and the largest receive buffer, in bytes.
const MIN_RECEIVE_BYTES: usize = 8 << 10;
const MAX_RECEIVE_BYTES: usize = 32 << 10;

/// When a caller may come back after a refusal for lack of memory. Bodies that make no progress are refused within seconds.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

new_key_type! {
    /// Something that is held.
    pub struct Key;
}

/// The bytes that a process with this memory may hold for requests, or for responses that are being received.
pub fn account_bytes(memory_mb: u64) -> usize {
    usize::try_from((memory_mb << 20) * ACCOUNT_PERCENT / 100).unwrap_or(usize::MAX)
}

/// The size of the receive buffer of each of `connections` in a process with this memory.
pub fn receive_bytes(memory_mb: u64, connections: usize) -> usize {
    let all = usize::try_from((memory_mb << 20) * RECEIVE_PERCENT / 100).unwrap_or(usize::MAX);
    (all / connections.max(1)).clamp(MIN_RECEIVE_BYTES, MAX_RECEIVE_BYTES)
}

/// What a guard and the account share.
struct Share {
    bytes: AtomicUsize,
    is_complete: AtomicBool,
    is_evicted: AtomicBool,
    evicted: Arc<Notify>,
}

struct Entry {
    caller: IpAddr,
    order: u64,
    is_response: bool,
    share: Arc<Share>,
}

impl Entry {
    fn holding(&self, key: Key) -> Holding<Key> {
        let stage = if self.is_response {
            Stage::Untaken
        } else if self.share.is_complete.load(Ordering::Relaxed) {
            Stage::Complete
        } else {
            Stage::Unfinished
        };
        let bytes = self.share.bytes.load(Ordering::Relaxed);
        Holding { key, caller: self.caller, order: self.order, stage, bytes }
    }
}

#[derive(Default)]
struct State {
    entries: SlotMap<Key, Entry>,
    started: u64,
    short: LogLimit,
    refused: LogLimit,
}

/// The bytes that the requests of a process hold.
pub struct Account {
    max_bytes: usize,
    held: AtomicUsize,
    state: Mutex<State>,
    held_gauge: IntGaugeVec,
    refused: IntCounterVec,
}

impl Account {
    /// An account of at most `max_bytes`, whose metrics are in `registry`. Panics if they are there already.
    pub fn new(max_bytes: usize, registry: &Registry) -> Self {
        Self {
            max_bytes,
            held: AtomicUsize::new(0),
            state: Mutex::default(),
            held_gauge: registry.gauge(
                "gentianpass_memory_held_bytes",
                "Bytes that requests hold: long bodies, delegated messages and responses",
                &[],
            ),
            refused: registry.counter(
                "gentianpass_memory_refused_total",
                "Bodies that were refused and responses that were cut off, by cause",
                &["cause"],
            ),
        }
    }

    /// The bytes that are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Holds the body of a request that is being received.
    pub fn start_body(self: &Arc<Self>, caller: IpAddr) -> Guard {
        self.start(caller, false, Arc::default())
    }

    /// Holds a frame that is being received. `evicted` is notified when its connection must be closed.
    pub fn start_frame(self: &Arc<Self>, sender: IpAddr, evicted: &Arc<Notify>) -> Guard {
        self.start(sender, false, evicted.clone())
    }

    /// Counts the body of a delegated message until the returned bytes are dropped. None if the memory is short.
    pub fn hold_message(self: &Arc<Self>, sender: IpAddr, body: Vec<u8>) -> Option<Bytes> {
        if body.len() <= SMALL_BYTES {
            return Some(body.into());
        }
        let guard = self.start_body(sender);
        if !guard.grow(body.len()) {
            return None;
        }
        guard.complete();
        Some(guard.attach(body))
    }

    /// Counts a response until the returned bytes are dropped. `evicted` is notified when its connection must be closed.
    pub fn hold_response(
        self: &Arc<Self>,
        caller: IpAddr,
        bytes: Bytes,
        evicted: &Arc<Notify>,
    ) -> Bytes {
        if bytes.len() <= SMALL_BYTES {
            return bytes;
        }
        let guard = self.start(caller, true, evicted.clone());
        guard.grow(bytes.len());
        guard.attach(bytes)
    }

    fn start(self: &Arc<Self>, caller: IpAddr, is_response: bool, evicted: Arc<Notify>) -> Guard {
        let share = Arc::new(Share {
            bytes: AtomicUsize::new(0),
            is_complete: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            evicted,
        });
        let mut state = self.state.lock();
        state.started += 1;
        let entry = Entry { caller, order: state.started, is_response, share: share.clone() };
        let key = state.entries.insert(entry);
        Guard { account: self.clone(), key, share }
    }

    /// Evicts until what is left is within the bound.
    fn evict(&self) {
        let mut state = self.state.lock();
        let state = &mut *state;
        let mut holdings: Vec<_> = state
            .entries
            .iter()
            .filter(|(_, it)| !it.share.is_evicted.load(Ordering::Relaxed))
            .map(|(key, it)| it.holding(key))
            .collect();
        // The bytes of what was evicted before are released soon.
        let mut left: usize = holdings.iter().map(|it| it.bytes).sum();
        let mut count = 0;
        while left > self.max_bytes
            && let Some(at) = choose(&holdings)
        {
            let Holding { key, bytes, stage, .. } = holdings.swap_remove(at);
            left -= bytes;
            count += 1;
            let share = &state.entries[key].share;
            share.is_evicted.store(true, Ordering::Relaxed);
            share.evicted.notify_one();
            self.refused.with_label_values(&[<&str>::from(stage)]).inc();
        }
        if count > 0
            && let Some(times) = state.short.record(Instant::now())
        {
            log::warn!(
                "event=memory_short times={times} evicted={count} held_bytes={} max_bytes={} holders={}",
                self.held(),
                self.max_bytes,
                state.entries.len()
            );
        }
    }

    /// Counts a body that is refused for another reason than memory, and logs it.
    fn record_refusal(&self, refusal: Refusal) {
        let cause: &str = refusal.into();
        self.refused.with_label_values(&[cause]).inc();
        if let Some(count) = self.state.lock().refused.record(Instant::now()) {
            let status = refusal.status().as_u16();
            log::info!("event=refused status={status} cause={cause} count={count}");
        }
    }

    fn record_held(&self) {
        let held = i64::try_from(self.held()).unwrap_or(i64::MAX);
        self.held_gauge.with_label_values::<&str>(&[]).set(held);
    }
}

/// Counts bytes as held until it is dropped.
pub struct Guard {
    account: Arc<Account>,
    key: Key,
    share: Arc<Share>,
}

impl Guard {
    /// Holds more bytes. False if this guard was chosen to release its bytes.
    pub fn grow(&self, bytes: usize) -> bool {
        self.share.bytes.fetch_add(bytes, Ordering::Relaxed);
        let before = self.account.held.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > self.account.max_bytes {
            self.account.evict();
        }
        !self.is_evicted()
    }

    /// Marks the request as complete. From now on it may run and is not chosen.
    pub fn complete(&self) {
        self.share.is_complete.store(true, Ordering::Relaxed);
        self.account.record_held();
    }

    /// Whether this guard was chosen to release its bytes.
    pub fn is_evicted(&self) -> bool {
        self.share.is_evicted.load(Ordering::Relaxed)
    }

    /// Completes when this guard is chosen to release its bytes.
    pub async fn evicted(&self) {
        self.share.evicted.notified().await;
    }

    /// Keeps the guard until the last copy of the bytes is dropped.
    fn attach(self, bytes: impl AsRef<[u8]> + Send + 'static) -> Bytes {
        self.account.record_held();
        Bytes::from_owner(Held { bytes, _guard: self })
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let bytes = self.share.bytes.load(Ordering::Relaxed);
        self.account.held.fetch_sub(bytes, Ordering::Relaxed);
        self.account.state.lock().entries.remove(self.key);
        self.account.record_held();
    }
}

/// Bytes with the guard that counts them.
struct Held<T> {
    bytes: T,
    _guard: Guard,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

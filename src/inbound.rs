//! Bounds the connections that others open to this process, so that descriptors are left for those that it opens itself:
//! a relay that cannot connect to a control host serves an old configuration.

mod body;
mod frame;
mod http;
mod write;

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use slotmap::{SlotMap, new_key_type};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, futures::OwnedNotified},
    time::sleep,
};

use crate::descriptors::RESERVE;

pub use body::{Bound, receive};
pub use frame::{Arrival, FrameCodec, FrameStream};
pub use http::{HttpListener, HttpStream, Peer, serve};
pub use write::WriteLimit;

/// Minimum time between two lines that tell the same.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The most connections that may be closing beyond the bound, as a part of it.
const CLOSING_DIVISOR: usize = 4;

new_key_type! {
    /// An open connection.
    pub struct Key;
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Activity {
    /// No request is running since then.
    Idle(Instant),
    /// A request is running.
    Busy,
    /// It was told to close.
    Closing,
}

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission<K> {
    /// It is served.
    Admit,
    /// It is served, and this one is closed for it.
    Replace(K),
    /// It is closed.
    Refuse,
}

/// Decides on a new connection beside the open ones, of which there may be `max`. Those that are told to close do not
/// count: the one that has been idle longest makes room. Connections that take long to close are bounded as well.
pub fn admit<K>(open: impl IntoIterator<Item = (K, Activity)>, max: usize) -> Admission<K> {
    let (mut kept, mut closing) = (0, 0);
    let mut oldest: Option<(K, Instant)> = None;
    for (key, activity) in open {
        match activity {
            Activity::Closing => closing += 1,
            Activity::Busy => kept += 1,
            Activity::Idle(since) => {
                kept += 1;
                if oldest.as_ref().is_none_or(|(_, it)| since < *it) {
                    oldest = Some((key, since));
                }
            }
        }
    }
    match oldest {
        _ if kept < max => Admission::Admit,
        Some((key, _)) if closing <= max / CLOSING_DIVISOR => Admission::Replace(key),
        _ => Admission::Refuse,
    }
}

/// The sender with the most connections.
fn largest_sender(senders: impl IntoIterator<Item = Option<IpAddr>>) -> Option<IpAddr> {
    let mut counts = HashMap::<IpAddr, usize>::new();
    for sender in senders.into_iter().flatten() {
        *counts.entry(sender).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(sender, count)| (*count, *sender)).map(|(sender, _)| sender)
}

/// Counts repetitions of a log line and tells when it is due.
#[derive(Default)]
pub struct LogLimit {
    logged_at: Option<Instant>,
    count: u64,
}

impl LogLimit {
    /// Counts one. Returns the count since the last line if the next line is due.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        let waited = |it| now.saturating_duration_since(it) >= LOG_INTERVAL;
        if !self.logged_at.is_none_or(waited) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

/// A listener that logs failures at most once a second and goes on.
pub struct Listener {
    inner: TcpListener,
    failures: LogLimit,
}

impl Listener {
    /// Wraps a listener.
    pub fn new(inner: TcpListener) -> Self {
        RESERVE.refill();
        Self { inner, failures: LogLimit::default() }
    }

    /// Like [`Self::new`], with receive buffers of this size. Bytes that have arrived and are not read count as memory of the
    /// machine, and the kernel takes up to megabytes of them on each connection otherwise.
    pub fn with_receive_buffers(inner: TcpListener, bytes: usize) -> Self {
        if let Err(err) = SockRef::from(&inner).set_recv_buffer_size(bytes) {
            log::warn!("event=receive_buffer_unset bytes={bytes} cause={:?}", err.to_string());
        }
        Self::new(inner)
    }

    /// Accepts the next connection, but none before the reserve of descriptors is whole.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            if !RESERVE.refill() {
                self.record_failure(&io::Error::other("no descriptor left")).await;
                continue;
            }
            match self.inner.accept().await {
                Ok(accepted) => return accepted,
                Err(err) => self.record_failure(&err).await,
            }
        }
    }

    /// The address at which it listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    async fn record_failure(&mut self, err: &io::Error) {
        if let Some(count) = self.failures.record(Instant::now()) {
            log::warn!("event=accept_failed count={count} cause={:?}", err.to_string());
        }
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}

struct Entry {
    sender: Option<IpAddr>,
    activity: Activity,
    close: Arc<Notify>,
}

#[derive(Default)]
struct State {
    open: SlotMap<Key, Entry>,
    closed: LogLimit,
    refused: LogLimit,
}

/// The open connections of one kind.
pub struct Connections {
    /// Names the kind in the log.
    kind: &'static str,
    max: usize,
    state: Mutex<State>,
}

impl Connections {
    /// At most `max` connections, but at least one.
    pub fn new(kind: &'static str, max: usize) -> Self {
        Self { kind, max: max.max(1), state: Mutex::default() }
    }

    /// Counts a new connection until the guard is dropped. None if it must be closed.
    pub fn admit(self: &Arc<Self>, now: Instant) -> Option<Slot> {
        self.admit_for(None, now)
    }

    /// Like [`Self::admit`], but only connections of the sender that has most of them are closed for it.
    pub fn admit_from(self: &Arc<Self>, sender: IpAddr, now: Instant) -> Option<Slot> {
        self.admit_for(Some(sender), now)
    }

    fn admit_for(self: &Arc<Self>, sender: Option<IpAddr>, now: Instant) -> Option<Slot> {
        let mut state = self.state.lock();
        let State { open, closed, refused } = &mut *state;
        let admission = if open.len() < self.max {
            Admission::Admit
        } else {
            let largest = largest_sender(open.values().map(|it| it.sender));
            let activity = |it: &Entry| match it.activity {
                Activity::Idle(_) if it.sender != largest => Activity::Busy,
                activity => activity,
            };
            admit(open.iter().map(|(key, it)| (key, activity(it))), self.max)
        };
        let line = match admission {
            Admission::Admit => None,
            Admission::Replace(key) => {
                let replaced = &mut open[key];
                replaced.activity = Activity::Closing;
                replaced.close.notify_one();
                closed.record(now).map(|it| ("idle_closed", it))
            }
            Admission::Refuse => refused.record(now).map(|it| ("refused", it)),
        };
        let close = Arc::new(Notify::new());
        let entry = Entry { sender, activity: Activity::Idle(now), close: close.clone() };
        let key = (admission != Admission::Refuse).then(|| open.insert(entry));
        let count = open.len();
        drop(state);
        if let Some((outcome, times)) = line {
            let (kind, max) = (self.kind, self.max);
            log::warn!(
                "event=connections_full kind={kind} outcome={outcome} count={times} open={count} max={max}"
            );
        }
        Some(Slot { connections: self.clone(), key: key?, close })
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.state.lock().open.len()
    }

    fn set(&self, key: Key, activity: Activity) {
        if let Some(it) = self.state.lock().open.get_mut(key)
            && it.activity != Activity::Closing
        {
            it.activity = activity;
        }
    }
}

/// Counts a connection as open until it is dropped.
pub struct Slot {
    connections: Arc<Connections>,
    key: Key,
    close: Arc<Notify>,
}

impl Slot {
    /// Completes when the connection must be closed once it is idle.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }

    /// Like [`Self::close_requested`], without a borrow.
    fn close_signal(&self) -> OwnedNotified {
        self.close.clone().notified_owned()
    }

    /// Records whether a request is running.
    pub fn set_busy(&self, is_busy: bool) {
        let activity = if is_busy { Activity::Busy } else { Activity::Idle(Instant::now()) };
        self.connections.set(self.key, activity);
    }

    /// Counts the connection as busy until the guard is dropped.
    pub fn start_request(&self) -> RequestGuard<'_> {
        self.set_busy(true);
        RequestGuard(self)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.connections.state.lock().open.remove(self.key);
    }
}

/// Counts a connection as busy until it is dropped.
pub struct RequestGuard<'a>(&'a Slot);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.set_busy(false);
    }
}

//! Guards that return a slot or a connection of a target when they are dropped.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{error::Kind, owner::target::Target};

/// How long to wait after a failed attempt to connect before the next one.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A slot of a target: one request in flight, counted against the concurrency limit. Dropping it lets the next job
/// start.
pub(super) struct Slot {
    pub target: Arc<Target>,
    /// Whether dropping the slot wakes a connection for the next job.
    pub schedule_on_drop: bool,
}

impl Slot {
    /// Returns the slot without waking another connection, because the one that held it takes the next job itself.
    pub fn release(mut self) {
        self.schedule_on_drop = false;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.target.state.lock();
        state.in_flight -= 1;
        if state.in_flight == 0 {
            self.target.drained.notify_waiters();
        }
        if self.schedule_on_drop {
            self.target.schedule(state);
        }
    }
}

/// One connection, counted against the connection limit of the target from the attempt to connect until it is closed.
pub(super) struct ConnectionPermit {
    pub target: Arc<Target>,
    /// Whether the attempt to connect is still in progress.
    pub connecting: bool,
}

impl ConnectionPermit {
    /// Ends the connecting phase. Returns the epoch that the connection belongs to.
    pub fn connected(&mut self) -> u64 {
        let mut state = self.target.state.lock();
        if std::mem::take(&mut self.connecting) {
            state.connecting -= 1;
        }
        state.epoch
    }

    /// Rejects all queued jobs if the target has no established connection, because nothing is left to send them.
    pub fn connect_failed(&mut self) {
        let mut state = self.target.state.lock();
        if state.open_connections > state.connecting {
            return;
        }
        let queued: Vec<_> = state.queues.iter_mut().flat_map(|it| it.drain(..)).collect();
        state.pending_cancels.clear();
        drop(state);
        for job in queued {
            self.target.reject(job, Kind::NoTarget);
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.target.state.lock();
        state.open_connections -= 1;
        if self.connecting {
            state.connecting -= 1;
            state.next_connect_at = Instant::now() + CONNECT_RETRY_DELAY;
        }
        self.target.schedule(state);
    }
}

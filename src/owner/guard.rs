//! Guards that release a slot or a connection of a target when they are dropped.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{error::Kind, owner::target::Target};

/// The pause after a failed attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A slot of a target; dropping it lets the next job start.
pub(super) struct Slot {
    pub target: Arc<Target>,
    pub schedule_on_drop: bool,
}

impl Slot {
    /// Releases the slot on a connection that looks for the next job itself.
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

/// Counts a connection against the connection limit, from the attempt to connect to its end.
pub(super) struct ConnectionPermit {
    pub target: Arc<Target>,
    pub connecting: bool,
}

impl ConnectionPermit {
    /// The attempt to connect has succeeded. Returns the epoch of the connection.
    pub fn connected(&mut self) -> u64 {
        let mut state = self.target.state.lock();
        if std::mem::take(&mut self.connecting) {
            state.connecting -= 1;
        }
        state.epoch
    }

    /// The attempt to connect has failed: without another connection nothing that waits can start.
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

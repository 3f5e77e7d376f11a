//! Idle connections that are kept for reuse.

use std::time::Instant;

/// A bounded number of idle connections, each with the time until which it can be used.
pub struct IdleConnections<C> {
    kept: Vec<(Instant, C)>,
    max: usize,
}

impl<C> IdleConnections<C> {
    /// Keeps at most `max` connections.
    pub fn new(max: usize) -> Self {
        Self { kept: Vec::new(), max }
    }

    /// Keeps a connection, and closes those that have expired and the one that was put first if there are too many.
    pub fn put(&mut self, conn: C, until: Instant, now: Instant) {
        self.close_expired(now);
        if self.kept.len() >= self.max {
            self.kept.remove(0);
        }
        self.kept.push((until, conn));
    }

    /// Takes the connection that was put last and has not expired, and closes those that have.
    pub fn take(&mut self, now: Instant) -> Option<C> {
        self.close_expired(now);
        self.kept.pop().map(|(_, conn)| conn)
    }

    /// Closes all.
    pub fn clear(&mut self) {
        self.kept.clear();
    }

    fn close_expired(&mut self, now: Instant) {
        self.kept.retain(|(until, _)| *until > now);
    }
}

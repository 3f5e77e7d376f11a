//! The freshness lease of an entry host. Each successful poll of a control host renews it. Once it has expired, the
//! host's configuration may be outdated, and the host sends no more requests to targets.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::error::Kind;

/// The lease is shortened by this fraction (1 %), because the clocks of hosts may run at different speeds.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// A lease, measured with the monotonic clock of this process.
pub struct Lease {
    duration: Duration,
    expires_at: Mutex<Option<Instant>>,
}

impl Lease {
    /// Creates a lease that is not held yet.
    pub fn new(duration: Duration) -> Self {
        Self { duration: duration - duration / CLOCK_DRIFT_DIVISOR, expires_at: Mutex::new(None) }
    }

    /// Renews the lease after a successful poll. It counts from `sent`, when the poll was sent, because the reply only
    /// guarantees that the configuration was current at some time after that. A renewal never shortens the lease.
    pub fn renew(&self, sent: Instant) {
        let expiry = sent + self.duration;
        let mut expires_at = self.expires_at.lock();
        *expires_at = (*expires_at).max(Some(expiry));
    }

    /// The remaining time of the lease at `now`; zero if it is not held.
    pub fn remaining(&self, now: Instant) -> Duration {
        let expires_at = *self.expires_at.lock();
        expires_at.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// The time since the lease expired; zero while it is held, `None` if it was never held.
    pub fn expired_for(&self, now: Instant) -> Option<Duration> {
        let expires_at = *self.expires_at.lock();
        expires_at.map(|it| now.saturating_duration_since(it))
    }

    /// Returns [`Kind::NoLease`] unless the lease is currently held.
    pub fn check(&self) -> Result<(), Kind> {
        if self.remaining(Instant::now()).is_zero() { Err(Kind::NoLease) } else { Ok(()) }
    }
}

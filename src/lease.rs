//! The freshness lease of an entry host: it may use its configuration until the lease expires.

use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::error::Kind;

/// The share of the lease that is given up to allow for clocks that run at different speeds.
const DRIFT_DIVISOR: u32 = 100;

/// A lease on the monotonic clock of this process.
pub struct Lease {
    duration: Duration,
    expires: Mutex<Option<Instant>>,
}

impl Lease {
    /// Makes a lease that is not held yet.
    pub fn new(duration: Duration) -> Self {
        Self { duration: duration - duration / DRIFT_DIVISOR, expires: Mutex::new(None) }
    }

    /// Renews the lease after a confirmed poll that was sent at `sent`. A renewal never shortens it.
    pub fn renew(&self, sent: Instant) {
        let expiry = sent + self.duration;
        let mut expires = self.expires.lock();
        *expires = (*expires).max(Some(expiry));
    }

    /// What is left of the lease at `now`; zero once it has expired.
    pub fn remaining(&self, now: Instant) -> Duration {
        let expires = *self.expires.lock();
        expires.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// How long the lease has been expired at `now`; `None` if it was never held, zero while it is held.
    pub fn expired_for(&self, now: Instant) -> Option<Duration> {
        let expires = *self.expires.lock();
        expires.map(|it| now.saturating_duration_since(it))
    }

    /// Fails with [`Kind::NoLease`] unless the lease is held at this moment.
    pub fn check(&self) -> Result<(), Kind> {
        if self.remaining(Instant::now()).is_zero() { Err(Kind::NoLease) } else { Ok(()) }
    }
}

//! Rate limit of a target during its cold start. The limit applies to all hosts together, so only one host, the
//! target's owner, sends requests to it.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the sliding window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// How long a new owner sends nothing: until the requests of the previous one no longer count, and the previous one has
/// learned that it is none.
const HANDOVER: Duration = Duration::from_millis(1_500);

/// Which requests this host may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Every host may send without a limit.
    Open,
    /// Only this host may send, at most this many requests per second.
    Limited(usize),
    /// Only another host may send.
    Closed,
}

/// Sliding-window rate limiter of one target.
#[derive(Clone, Debug)]
pub struct ColdStartLimiter {
    access: Access,
    sent: VecDeque<Instant>,
    /// When this host may use the limit, if another one may have used it before.
    starts_at: Option<Instant>,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self { access: Access::Open, sent: VecDeque::new(), starts_at: None }
    }
}

impl ColdStartLimiter {
    /// Changes the access. Requests that were sent under a limit before still count. `after_other` tells that another host
    /// may be the owner up to now, which is also the case if this host was not allowed to send before.
    pub fn set_access(&mut self, access: Access, after_other: bool, now: Instant) {
        if matches!(access, Access::Limited(_)) && (after_other || self.access == Access::Closed) {
            self.starts_at = Some(now + HANDOVER);
        }
        self.access = access;
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        let recent = |it: &&Instant| now.saturating_duration_since(**it) <= WINDOW;
        match self.access {
            Access::Open => true,
            Access::Limited(limit) => {
                self.starts_at.is_none_or(|it| it <= now)
                    && self.sent.iter().filter(recent).count() < limit
            }
            Access::Closed => false,
        }
    }

    /// Counts a request that is being sent. Nothing is stored for a target without a limit.
    pub fn record(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|it| now.saturating_duration_since(*it) > WINDOW) {
            self.sent.pop_front();
        }
        if self.access != Access::Open {
            self.sent.push_back(now);
        }
    }
}

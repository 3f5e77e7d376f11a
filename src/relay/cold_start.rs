//! The limit of a target in a cold start. It holds over all hosts, so one host alone sends to such a target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The limit counts requests in any span of this length.
const WINDOW: Duration = Duration::from_secs(1);

/// Who may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Every host, without a limit.
    Open,
    /// This host alone, at most so many requests in a second.
    Limited(usize),
    /// Another host.
    Closed,
}

/// The access to one target, and what this host has sent in the last second.
#[derive(Clone, Debug)]
pub struct ColdStartLimiter {
    access: Access,
    sent: VecDeque<Instant>,
}

impl Default for ColdStartLimiter {
    fn default() -> Self {
        Self { access: Access::Open, sent: VecDeque::new() }
    }
}

impl ColdStartLimiter {
    /// Changes who may send. What was sent before still counts.
    pub fn set_access(&mut self, access: Access) {
        self.access = access;
    }

    /// Whether a request may be sent now.
    pub fn allows(&self, now: Instant) -> bool {
        let recent = |it: &&Instant| now.saturating_duration_since(**it) <= WINDOW;
        match self.access {
            Access::Open => true,
            Access::Limited(limit) => self.sent.iter().filter(recent).count() < limit,
            Access::Closed => false,
        }
    }

    /// Counts a request that is sent. Without a limit nothing is kept.
    pub fn record(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|it| now.saturating_duration_since(*it) > WINDOW) {
            self.sent.pop_front();
        }
        if self.access != Access::Open {
            self.sent.push_back(now);
        }
    }
}

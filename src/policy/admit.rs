//! Admission control at the root: decides whether a query may start, before any sub-request is sent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{error::Kind, wire::owner::Class};

/// The percentage of concurrent queries reserved for quick ones.
pub const QUICK_SHARE_PERCENT: u64 = 25;

/// After a late broad query, the limit of concurrent broad queries becomes this share of the running ones, or of the
/// limit itself if that is lower.
const DECREASE_FACTOR: f64 = 0.8;

/// The limit is decreased at most once per interval, so that queries that are late for the same reason count once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(200);

/// Counts running queries and rejects new ones above the concurrency limits or without enough time to finish.
///
/// Broad queries have a limit of their own, adapted by additive increase and multiplicative decrease (AIMD): a late
/// query decreases it, a timely one increases it by the reciprocal of the limit if the limit is in use. Without this
/// limit, too many broad queries would share the targets' capacity, and all of them would be incomplete at their
/// deadlines.
#[derive(Debug)]
pub struct AdmissionController {
    max: u64,
    max_broad: u64,
    state: Mutex<State>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    quick: u64,
    broad: u64,
    /// The adaptive limit of concurrent broad queries, from 1 to `max_broad`.
    broad_limit: f64,
    last_decrease: Option<Instant>,
}

impl State {
    fn running_mut(&mut self, class: Class) -> &mut u64 {
        match class {
            Class::Quick => &mut self.quick,
            Class::Broad => &mut self.broad,
        }
    }

    fn total(&self) -> u64 {
        self.quick + self.broad
    }
}

impl AdmissionController {
    /// Allows `max_queries` concurrent queries and reserves [`QUICK_SHARE_PERCENT`] of them, at least one, for quick
    /// queries. Nothing is reserved if `max_queries` is 1.
    pub fn new(max_queries: u64) -> Arc<Self> {
        let reserved = (max_queries * QUICK_SHARE_PERCENT / 100).max(1);
        let max_broad = max_queries.saturating_sub(reserved).max(1);
        let state =
            State { quick: 0, broad: 0, broad_limit: max_broad as f64, last_decrease: None };
        Arc::new(Self { max: max_queries, max_broad, state: Mutex::new(state) })
    }

    /// Admits a query, or fails with [`Kind::DeadlinePassed`] or [`Kind::Overloaded`]. `wait` is the estimated time
    /// that its sub-requests spend in the queues of the targets, `remaining` the time until its deadline.
    pub fn admit(
        self: &Arc<Self>,
        class: Class,
        wait: Duration,
        remaining: Duration,
    ) -> Result<Permit, Kind> {
        if remaining.is_zero() {
            return Err(Kind::DeadlinePassed);
        }
        let mut state = self.state.lock();
        let full = state.total() >= self.max
            || (class == Class::Broad && state.broad >= state.broad_limit as u64);
        if full || expected_wait(class, wait, *state) > remaining {
            return Err(Kind::Overloaded);
        }
        *state.running_mut(class) += 1;
        drop(state);
        Ok(Permit { controller: self.clone(), class })
    }

    /// The number of running queries of this class.
    pub fn running(&self, class: Class) -> u64 {
        *self.state.lock().running_mut(class)
    }
}

/// Quick queries go ahead of broad ones in the queues, so a quick query waits only for the quick part of a queue. That
/// part is estimated as the share of quick queries among the running ones.
fn expected_wait(class: Class, wait: Duration, state: State) -> Duration {
    if class == Class::Broad || state.broad == 0 {
        return wait;
    }
    wait.mul_f64(state.quick as f64 / state.total() as f64)
}

/// Counts one query as running until it is dropped.
#[must_use]
#[derive(Debug)]
pub struct Permit {
    controller: Arc<AdmissionController>,
    class: Class,
}

impl Permit {
    /// Adapts the limit of broad queries to the end of this query. `late` means that shards are missing because of
    /// load or the deadline. Quick queries change nothing.
    pub fn report(&self, late: bool, now: Instant) {
        if self.class == Class::Quick {
            return;
        }
        let mut state = self.controller.state.lock();
        if late {
            if state
                .last_decrease
                .is_none_or(|it| now.saturating_duration_since(it) >= MIN_DECREASE_INTERVAL)
            {
                state.last_decrease = Some(now);
                let in_use = state.broad_limit.min(state.broad as f64);
                state.broad_limit = (in_use * DECREASE_FACTOR).max(1.0);
            }
        } else if state.broad as f64 + 1.0 >= state.broad_limit {
            let raised = state.broad_limit + 1.0 / state.broad_limit;
            state.broad_limit = raised.min(self.controller.max_broad as f64);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *self.controller.state.lock().running_mut(self.class) -= 1;
    }
}

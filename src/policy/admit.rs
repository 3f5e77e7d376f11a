//! Admission of queries at the root, before anything is sent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{error::Kind, wire::owner::Class};

/// The share of all queries that is kept for quick ones, in percent.
pub const QUICK_SHARE_PERCENT: u64 = 25;

/// What is left of the limit of broad queries after one of them was late.
const LATE_FACTOR: f64 = 0.8;

/// The shortest time between two cuts of the limit, so that queries that are late together count once.
const CUT_INTERVAL: Duration = Duration::from_millis(200);

/// Counts the queries that run and rejects the ones that exceed the limits.
#[derive(Debug)]
pub struct AdmissionController {
    max: u64,
    max_broad: u64,
    running: Mutex<Running>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    quick: u64,
    broad: u64,
    /// How many broad queries run at once. Late ones cut it and timely ones raise it, because broad queries that share
    /// too little capacity are all incomplete at their deadline.
    broad_limit: f64,
    cut: Option<Instant>,
}

impl Running {
    fn count(&mut self, class: Class) -> &mut u64 {
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
    /// Admits `max_queries` queries at once. At least one of them is kept for quick queries if there are two.
    pub fn new(max_queries: u64) -> Arc<Self> {
        let reserved = (max_queries * QUICK_SHARE_PERCENT / 100).max(1);
        let max_broad = max_queries.saturating_sub(reserved).max(1);
        let running = Running { quick: 0, broad: 0, broad_limit: max_broad as f64, cut: None };
        Arc::new(Self { max: max_queries, max_broad, running: Mutex::new(running) })
    }

    /// Admits a query, or fails with [`Kind::DeadlinePassed`] or [`Kind::Overloaded`]. `wait` is the estimated time
    /// in the queues of the targets, `left` the time until the deadline.
    pub fn admit(
        self: &Arc<Self>,
        class: Class,
        wait: Duration,
        left: Duration,
    ) -> Result<Permit, Kind> {
        if left.is_zero() {
            return Err(Kind::DeadlinePassed);
        }
        let mut running = self.running.lock();
        let full = running.total() >= self.max
            || (class == Class::Broad && running.broad >= running.broad_limit as u64);
        if full || expected_wait(class, wait, *running) > left {
            return Err(Kind::Overloaded);
        }
        *running.count(class) += 1;
        drop(running);
        Ok(Permit { gate: self.clone(), class })
    }

    /// How many queries of this class run.
    pub fn running(&self, class: Class) -> u64 {
        *self.running.lock().count(class)
    }
}

/// Quick queries overtake broad ones in the queues, so only the quick share of a queue is ahead of them.
fn expected_wait(class: Class, wait: Duration, running: Running) -> Duration {
    if class == Class::Broad || running.broad == 0 {
        return wait;
    }
    wait.mul_f64(running.quick as f64 / running.total() as f64)
}

/// The right of one query to run; ends when it is dropped.
#[must_use]
#[derive(Debug)]
pub struct Permit {
    gate: Arc<AdmissionController>,
    class: Class,
}

impl Permit {
    /// Reports how the query ended: late if queues or deadlines cost it shards.
    pub fn report(&self, late: bool, now: Instant) {
        if self.class == Class::Quick {
            return;
        }
        let mut running = self.gate.running.lock();
        if late {
            if running.cut.is_none_or(|it| now.saturating_duration_since(it) >= CUT_INTERVAL) {
                running.cut = Some(now);
                let in_use = running.broad_limit.min(running.broad as f64);
                running.broad_limit = (in_use * LATE_FACTOR).max(1.0);
            }
        } else if running.broad as f64 + 1.0 >= running.broad_limit {
            let raised = running.broad_limit + 1.0 / running.broad_limit;
            running.broad_limit = raised.min(self.gate.max_broad as f64);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *self.gate.running.lock().count(self.class) -= 1;
    }
}

//! Admission of queries at the root, before anything is sent.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;

use crate::{error::Kind, wire::owner::Class};

/// The share of all queries that is kept for quick ones, in percent.
pub const QUICK_SHARE_PERCENT: u64 = 25;

/// Counts the queries that run and rejects the ones that exceed the limits.
#[derive(Debug)]
pub struct Gate {
    max: u64,
    max_broad: u64,
    running: Mutex<Running>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Running {
    quick: u64,
    broad: u64,
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

impl Gate {
    /// Admits `max_queries` queries at once. At least one of them is kept for quick queries if there are two.
    pub fn new(max_queries: u64) -> Arc<Self> {
        let reserved = (max_queries * QUICK_SHARE_PERCENT / 100).max(1);
        let max_broad = max_queries.saturating_sub(reserved).max(1);
        Arc::new(Self { max: max_queries, max_broad, running: Mutex::default() })
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
            || (class == Class::Broad && running.broad >= self.max_broad);
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
    gate: Arc<Gate>,
    class: Class,
}

impl Drop for Permit {
    fn drop(&mut self) {
        *self.gate.running.lock().count(self.class) -= 1;
    }
}

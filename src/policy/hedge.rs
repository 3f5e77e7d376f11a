//! Hedged requests: a second copy of a slow sub-request goes to another replica, and the first answer is used.

use std::time::Duration;

use crate::policy::budget::Budget;

/// The most concurrent copies of a sub-request, the original included.
pub const MAX_COPIES: u32 = 2;

/// The bounds of the hedge delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayBounds {
    /// The shortest delay. A hedge sent earlier than a round trip to another zone cannot win.
    pub floor: Duration,
    /// The longest delay, also used while there are too few latency samples.
    pub cap: Duration,
}

impl Default for DelayBounds {
    /// 2 ms is longer than a round trip between zones of a region; 250 ms is the default of the setting `silence_ms`.
    fn default() -> Self {
        Self { floor: Duration::from_millis(2), cap: Duration::from_millis(250) }
    }
}

impl DelayBounds {
    /// The time after which a second copy may be sent: the tail latency of the group (see
    /// [`crate::policy::latency`]) within these bounds.
    pub fn delay(&self, tail: Option<Duration>) -> Duration {
        tail.unwrap_or(self.cap).max(self.floor).min(self.cap)
    }
}

/// Returns whether a second copy of a pending sub-request may be sent now, and takes a token of the budget if so.
/// `copies` is the number of running copies, `elapsed` the time since the first one was sent.
pub fn try_hedge(copies: u32, elapsed: Duration, delay: Duration, budget: &mut Budget) -> bool {
    copies < MAX_COPIES && elapsed >= delay && budget.try_spend(1)
}

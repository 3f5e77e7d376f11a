//! Hedged requests: when a second copy of a slow sub-request is sent.

use std::time::Duration;

use crate::policy::budget::Budget;

/// A sub-request has at most this many copies, the first one included.
pub const MAX_COPIES: u32 = 2;

/// The bounds of the hedge delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayBounds {
    /// The shortest delay. Below a round trip to another zone a hedge cannot win.
    pub floor: Duration,
    /// The longest delay, also used while too little is known.
    pub cap: Duration,
}

impl Default for DelayBounds {
    /// 2 ms is more than a round trip between zones of one region; 250 ms is the default of `silence_ms`.
    fn default() -> Self {
        Self { floor: Duration::from_millis(2), cap: Duration::from_millis(250) }
    }
}

impl DelayBounds {
    /// The time after which a second copy is sent, from the 95th percentile of the group's recent latency.
    pub fn delay(&self, tail: Option<Duration>) -> Duration {
        tail.unwrap_or(self.cap).max(self.floor).min(self.cap)
    }
}

/// Whether a second copy of a pending sub-request may be sent now. Takes a token of the budget if so. `copies` were
/// sent so far, the first one `elapsed` ago.
pub fn try_hedge(copies: u32, elapsed: Duration, delay: Duration, budget: &mut Budget) -> bool {
    copies < MAX_COPIES && elapsed >= delay && budget.try_spend(1)
}

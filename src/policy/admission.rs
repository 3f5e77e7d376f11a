//! Admission of a request over many shards as a whole, before any of its sub-requests is sent.
//!
//! Without it each sub-request competes for a place on its own. Above the capacity every request then gets places at some
//! shards and none at others, so that nearly all of them fail after they have used up the capacity.

use std::time::Duration;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    /// After this time the request would be admitted if nothing else arrived meanwhile.
    pub retry_after: Duration,
}

/// A shard may be predicted to start the request within its budget divided by this. The backlogs of shards grow apart at
/// random: with the whole budget, a third of the admitted requests miss it at some shard.
const MARGIN_DIVISOR: u32 = 2;

/// Admits a request if enough of its shards are predicted to start it in time. Each prediction is the wait at a shard and
/// the budget for it; `spare` shards need not be in time.
pub fn admit(
    predictions: impl IntoIterator<Item = (Duration, Duration)>,
    spare: usize,
) -> Result<(), Overload> {
    let excess = |(wait, budget): (Duration, Duration)| wait.checked_sub(budget / MARGIN_DIVISOR);
    let mut late: Vec<_> =
        predictions.into_iter().filter_map(excess).filter(|it| !it.is_zero()).collect();
    if late.len() <= spare {
        return Ok(());
    }
    // The request can do without the shards with the `spare` longest waits.
    let (_, longest, _) = late.select_nth_unstable_by(spare, |one, other| other.cmp(one));
    Err(Overload { retry_after: *longest })
}

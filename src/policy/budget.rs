//! Budgets that bound hedges and retries to a percentage of the regular load, and the retry rule of each failure.

use crate::error::Kind;

/// The capacity of a hedge budget: the most hedges in a burst after a quiet period.
pub const HEDGE_BURST: u32 = 10;

/// The capacity of a retry budget: the most retries in a burst after a quiet period. When one of three zones is lost, a
/// third of the running sub-requests fails at once.
pub const RETRY_BURST: u32 = 50;

/// The lowest retry limit of a query. It applies to queries with fewer shards than this.
const MIN_QUERY_RETRIES: u32 = 4;

/// A token is counted in hundredths, so that integers represent any percentage exactly.
const UNITS_PER_TOKEN: u64 = 100;

/// The reserve for retries is at most the capacity divided by this.
const MAX_RESERVE_DIVISOR: u64 = 2;

/// The reserve shrinks by what regular sub-requests earn, divided by this.
const RESERVE_DECAY_DIVISOR: u64 = 2;

/// A token bucket that is filled by regular sub-requests, not by time: each of them adds `percent` / 100 of a token. A
/// hedge or a retry takes a whole token.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    units: u64,
    capacity: u64,
    /// Units that [`Self::try_spend_above_reserve`] leaves. It grows with the retries that were wanted lately.
    reserve: u64,
}

impl Budget {
    /// Makes a full budget with a capacity of `burst` tokens, or of none if `percent` is 0.
    pub fn new(percent: u64, burst: u32) -> Self {
        let capacity = if percent == 0 { 0 } else { u64::from(burst) * UNITS_PER_TOKEN };
        Self { percent, units: capacity, capacity, reserve: 0 }
    }

    /// Changes the capacity to `burst` tokens. Tokens above it are discarded.
    pub fn set_burst(&mut self, burst: u32) {
        self.capacity = if self.percent == 0 { 0 } else { u64::from(burst) * UNITS_PER_TOKEN };
        self.units = self.units.min(self.capacity);
    }

    /// Adds the tokens that `n` regular sub-requests earn, up to the capacity.
    pub fn earn(&mut self, n: u64) {
        let earned = n.saturating_mul(self.percent);
        self.units = self.units.saturating_add(earned).min(self.capacity);
        self.reserve = self.reserve.saturating_sub(earned / RESERVE_DECAY_DIVISOR);
    }

    /// Takes `n` tokens if the budget holds that many, else none.
    pub fn try_spend(&mut self, n: u64) -> bool {
        let needed = n.saturating_mul(UNITS_PER_TOKEN);
        let max_reserve = self.capacity / MAX_RESERVE_DIVISOR;
        self.reserve = self.reserve.saturating_add(needed).min(max_reserve);
        self.take(needed)
    }

    /// Like [`Self::try_spend`], but leaves a reserve while tokens are wanted through that method. For hedges, because
    /// a failed sub-request needs a token more than a late one.
    pub fn try_spend_above_reserve(&mut self, n: u64) -> bool {
        let needed = n.saturating_mul(UNITS_PER_TOKEN);
        self.units >= needed.saturating_add(self.reserve) && self.take(needed)
    }

    fn take(&mut self, units: u64) -> bool {
        let Some(rest) = self.units.checked_sub(units) else { return false };
        self.units = rest;
        true
    }
}

/// Whether a failed sub-request may be retried on another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The sub-request did not run; a retry takes no token.
    Free,
    /// The sub-request may have run; a retry takes a token.
    Budgeted,
    /// A retry on another replica would not help.
    Never,
}

/// The retry rule for a failure of this kind.
pub fn retry_rule(kind: Kind) -> RetryRule {
    match kind {
        Kind::NotOwner
        | Kind::Draining
        | Kind::Shed
        | Kind::WrongVersion
        | Kind::Overloaded
        | Kind::NoLease
        | Kind::Leaving
        | Kind::NoTarget => RetryRule::Free,
        Kind::Timeout | Kind::Disconnected | Kind::BadAnswer => RetryRule::Budgeted,
        Kind::BadRequest
        | Kind::Unauthorized
        | Kind::NotAdmitted
        | Kind::NotFound
        | Kind::Conflict
        | Kind::TooLarge
        | Kind::WrongKind
        | Kind::DeadlinePassed
        | Kind::KeyExpired
        | Kind::KeyReused
        | Kind::Quarantined
        | Kind::Cancelled
        | Kind::Unknown
        | Kind::NoQuorum
        | Kind::Internal => RetryRule::Never,
    }
}

/// The retry limit of one query. Retries that take no token count too.
#[derive(Clone, Debug)]
pub struct QueryRetries {
    remaining: u32,
}

impl QueryRetries {
    /// Allows one retry per shard on average, so that the loss of a zone does not exhaust the limit, but at least
    /// `MIN_QUERY_RETRIES`.
    pub fn new(shards: u32) -> Self {
        Self { remaining: shards.max(MIN_QUERY_RETRIES) }
    }

    /// Returns whether a sub-request that failed with `kind` may be sent to another replica. If so, counts the retry
    /// and takes a token if the rule requires one.
    pub fn try_retry(&mut self, kind: Kind, budget: &mut Budget) -> bool {
        let allowed = self.remaining > 0
            && match retry_rule(kind) {
                RetryRule::Free => true,
                RetryRule::Budgeted => budget.try_spend(1),
                RetryRule::Never => false,
            };
        if allowed {
            self.remaining -= 1;
        }
        allowed
    }
}

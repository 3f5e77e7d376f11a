//! Budgets for additional sub-requests, and the rule for which failures are tried again.

use crate::error::Kind;

/// Hedges that may be sent at once after a quiet time.
pub const HEDGE_BURST: u32 = 10;

/// Retries that may be sent at once after a quiet time: when a zone is lost, a third of all sub-requests that run at
/// that moment fails together.
pub const RETRY_BURST: u32 = 50;

/// Retries of a query with few shards.
const MIN_QUERY_RETRIES: u32 = 4;

/// The parts of a token, so that percent are counted exactly.
const PARTS_PER_TOKEN: u64 = 100;

/// Allows additional sub-requests up to a share of the regular ones.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    parts: u64,
    max_parts: u64,
}

impl Budget {
    /// Makes a budget of this share, full at first. It holds at most `burst` tokens, and none at 0 percent.
    pub fn new(percent: u64, burst: u32) -> Self {
        let max_parts = if percent == 0 { 0 } else { u64::from(burst) * PARTS_PER_TOKEN };
        Self { percent, parts: max_parts, max_parts }
    }

    /// Changes how many tokens the budget holds at most. What is beyond is lost.
    pub fn set_burst(&mut self, burst: u32) {
        self.max_parts = if self.percent == 0 { 0 } else { u64::from(burst) * PARTS_PER_TOKEN };
        self.parts = self.parts.min(self.max_parts);
    }

    /// Counts `n` regular sub-requests.
    pub fn earn(&mut self, n: u64) {
        self.parts = self.parts.saturating_add(n.saturating_mul(self.percent)).min(self.max_parts);
    }

    /// Takes `n` tokens, if there are as many.
    pub fn try_spend(&mut self, n: u64) -> bool {
        let Some(rest) = self.parts.checked_sub(n.saturating_mul(PARTS_PER_TOKEN)) else {
            return false;
        };
        self.parts = rest;
        true
    }
}

/// What a failure allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRule {
    /// The sub-request did not run: another replica may be tried without a token.
    Free,
    /// The sub-request may have run: another replica may be tried for a token.
    Budgeted,
    /// Another replica would not help.
    Never,
}

/// What a failure of a sub-request allows.
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

/// The retries that one query may still send, free ones included.
#[derive(Clone, Debug)]
pub struct QueryRetries {
    left: u32,
}

impl QueryRetries {
    /// Allows as many retries as the query has shards, so that the loss of a zone does not exhaust them.
    pub fn new(shards: u32) -> Self {
        Self { left: shards.max(MIN_QUERY_RETRIES) }
    }

    /// Whether a sub-request that failed this way may be sent to another replica. Counts the retry if so.
    pub fn try_retry(&mut self, kind: Kind, budget: &mut Budget) -> bool {
        let allowed = self.left > 0
            && match retry_rule(kind) {
                RetryRule::Free => true,
                RetryRule::Budgeted => budget.try_spend(1),
                RetryRule::Never => false,
            };
        if allowed {
            self.left -= 1;
        }
        allowed
    }
}

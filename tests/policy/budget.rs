use std::time::Duration;

use gentianpass::{
    error::{Kind, Outcome},
    policy::{
        budget::{Budget, QueryRetries, RETRY_BURST, RetryRule, retry_rule},
        hedge::{DelayBounds, try_hedge},
    },
};
use proptest::prelude::*;
use strum::VariantArray;

/// Guards against hedges that use up the budget while sub-requests fail, so that those cannot be retried: of 100
/// sub-requests half are shed and all others are late.
#[test]
fn reserve_left_to_retries() {
    let mut budget = Budget::new(20, 10);
    let (mut retries, mut hedges) = (0, 0);
    for i in 0..100 {
        budget.earn(1);
        if i % 2 == 0 {
            retries += usize::from(budget.try_spend(1));
        } else {
            hedges += usize::from(budget.try_spend_above_reserve(1));
        }
    }
    assert!(retries >= 20 && hedges <= 5, "{retries} retries, {hedges} hedges");
}

/// Guards against hedges that wait for a reserve that nobody needs.
#[test]
fn reserve_empty_without_failures() {
    let mut budget = Budget::new(20, 10);
    assert_eq!((0..20).filter(|_| budget.try_spend_above_reserve(1)).count(), 10);
    budget.earn(5);
    assert!(budget.try_spend_above_reserve(1));
    assert!(!budget.try_spend(1), "adds to the reserve");
    budget.earn(5);
    assert!(!budget.try_spend_above_reserve(1), "left to the next retry");
    budget.earn(10);
    assert!(budget.try_spend_above_reserve(1), "no retry was wanted since");
}

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against extra load beyond the budget, and against tokens that are lost by rounding.
    #[test]
    fn budget_matches_reference(
        percent in 0..=100_u64,
        burst in 0..20_u32,
        steps in prop::collection::vec((any::<bool>(), 0..200_u64), 1..200),
    ) {
        let mut budget = Budget::new(percent, burst);
        let full = if percent == 0 { 0.0 } else { f64::from(burst) };
        let mut tokens = full;
        let (mut earned, mut spent) = (0, 0);
        for (earn, n) in steps {
            if earn {
                budget.earn(n);
                earned += n;
                tokens = (tokens + n as f64 * percent as f64 / 100.0).min(full);
                continue;
            }
            let n = n % 5;
            let allowed = tokens + 1e-6 >= n as f64;
            prop_assert_eq!(budget.try_spend(n), allowed);
            if allowed {
                tokens -= n as f64;
                spent += n;
            }
        }
        prop_assert!(spent * 100 <= earned * percent + full as u64 * 100);
    }

    /// Guards against hedges that are too early, exceed the number of copies or the budget, or ignore the delay bounds.
    #[test]
    fn hedge_matches_reference(
        tail_ms in prop::option::of(0..400_u64),
        steps in prop::collection::vec((0..4_u32, 0..400_u64), 1..30),
    ) {
        let ms = Duration::from_millis;
        let delay_ms = match tail_ms {
            None => 250,
            Some(it) if it > 250 => 250,
            Some(it) if it < 2 => 2,
            Some(it) => it,
        };
        let delay = DelayBounds::default().delay(tail_ms.map(ms));
        prop_assert_eq!(delay, ms(delay_ms));
        let (mut budget, mut left) = (Budget::new(3, 5), 5);
        for (copies, elapsed_ms) in steps {
            let due = copies <= 1 && elapsed_ms >= delay_ms && left > 0;
            prop_assert_eq!(try_hedge(copies, ms(elapsed_ms), delay, &mut budget), due);
            left -= u32::from(due);
        }
    }

    /// Guards against retries beyond the limit of the query or the budget, and against refusals that take tokens.
    #[test]
    fn try_retry_matches_reference(
        shards in 0..30_u32,
        kinds in prop::collection::vec(prop::sample::select(Kind::VARIANTS), 1..60),
    ) {
        let (mut budget, mut retries) = (Budget::new(5, 6), QueryRetries::new(shards));
        let (mut tokens, mut left) = (6, shards.max(4));
        for kind in kinds {
            let token = kind.retryable() && kind.outcome() == Outcome::Unknown;
            let allowed = kind.retryable() && left > 0 && (!token || tokens > 0);
            prop_assert_eq!(retries.try_retry(kind, &mut budget), allowed);
            left -= u32::from(allowed);
            tokens -= u32::from(allowed && token);
        }
    }
}

/// Guards against retry rules that contradict the error table, and against retries without a token of sub-requests that
/// may have run.
#[test]
fn retry_rule_error_table() {
    for &kind in Kind::VARIANTS {
        assert_eq!(retry_rule(kind) != RetryRule::Never, kind.retryable(), "{kind}");
        if retry_rule(kind) == RetryRule::Free {
            assert_eq!(kind.outcome(), Outcome::NotRun, "{kind}");
        }
    }
}

/// Guards against endless retries of a query that every target refuses.
#[test]
fn try_retry_limit() {
    let mut budget = Budget::new(0, RETRY_BURST);
    let mut retries = QueryRetries::new(10);
    let sent = (0..100).filter(|_| retries.try_retry(Kind::Shed, &mut budget)).count();
    assert_eq!(sent, 10);
}

/// Guards against retries beyond the budget after failures of sub-requests that may have run.
#[test]
fn try_retry_budget() {
    let mut budget = Budget::new(5, 2);
    let mut retries = QueryRetries::new(10);
    let mut sent = |kind, n| (0..n).filter(|_| retries.try_retry(kind, &mut budget)).count();
    assert_eq!(sent(Kind::Timeout, 5), 2);
    assert_eq!(sent(Kind::Shed, 3), 3, "a retry after a refusal takes no token");
    assert_eq!(sent(Kind::Quarantined, 1), 0);
}

/// Guards against a hedge before the delay, a third copy, and hedges beyond the budget.
#[test]
fn try_hedge_conditions() {
    let mut budget = Budget::new(3, 1);
    let ms = Duration::from_millis;
    assert!(!try_hedge(1, ms(9), ms(10), &mut budget));
    assert!(!try_hedge(2, ms(10), ms(10), &mut budget));
    assert!(try_hedge(1, ms(10), ms(10), &mut budget));
    assert!(!try_hedge(1, ms(10), ms(10), &mut budget));
}

/// Guards against hosts that each keep the burst that is meant for all of them. A host starts with too large a share if
/// its first view does not show the other hosts yet.
#[test]
fn set_burst_decreased() {
    let mut budget = Budget::new(20, 60);
    budget.set_burst(5);
    let spent = (0..60).filter(|_| budget.try_spend(1)).count();
    assert_eq!(spent, 5);
    budget.earn(100);
    assert!(!budget.try_spend(6));
    assert!(budget.try_spend(5));
}

use std::time::{Duration, Instant};

use gentianpass::{error::Kind, policy::admit::AdmissionController, wire::owner::Class};
use proptest::prelude::*;

const REMAINING: Duration = Duration::from_millis(100);

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against more queries than allowed, leaked permits, and broad queries in the share of quick ones.
    #[test]
    fn admit_matches_reference(
        max in 1..40_u64,
        steps in prop::collection::vec((0..3_u8, any::<prop::sample::Index>()), 1..300),
    ) {
        let controller = AdmissionController::new(max);
        let max_broad = (max - (max / 4).max(1)).max(1);
        let mut permits = Vec::new();
        for (step, index) in steps {
            if step == 2 {
                if !permits.is_empty() {
                    drop(permits.swap_remove(index.index(permits.len())));
                }
                continue;
            }
            let class = if step == 0 { Class::Quick } else { Class::Broad };
            let broad = permits.iter().filter(|it: &&(Class, _)| it.0 == Class::Broad).count() as u64;
            let free = permits.len() < max as usize && (class == Class::Quick || broad < max_broad);
            let admitted = controller.admit(class, Duration::ZERO, REMAINING);
            prop_assert_eq!(admitted.is_ok(), free);
            permits.extend(admitted.map(|it| (class, it)));
        }
        let running = controller.running(Class::Quick) + controller.running(Class::Broad);
        prop_assert_eq!(running, permits.len() as u64);
    }
}

/// Guards against an overload of broad queries that leaves no capacity for quick ones.
#[test]
fn admit_quick_share() {
    let controller = AdmissionController::new(8);
    let admit = |class| controller.admit(class, Duration::ZERO, REMAINING);
    let broad: Vec<_> = (0..6).map(|_| admit(Class::Broad).expect("admitted")).collect();
    assert_eq!(admit(Class::Broad).expect_err("rejected"), Kind::Overloaded);
    let quick = admit(Class::Quick).expect("admitted");
    drop((broad, quick));
    assert!(admit(Class::Broad).is_ok());
}

/// Guards against queries that are admitted although they cannot end before their deadline, and against quick queries
/// that are rejected because of queued broad ones.
#[test]
fn admit_wait() {
    let controller = AdmissionController::new(8);
    let wait = 2 * REMAINING;
    assert_eq!(
        controller.admit(Class::Broad, wait, REMAINING).expect_err("rejected"),
        Kind::Overloaded
    );
    let _broad =
        [0; 3].map(|_| controller.admit(Class::Broad, REMAINING, REMAINING).expect("admitted"));
    let _quick = controller.admit(Class::Quick, wait, REMAINING).expect("admitted");
    assert!(controller.admit(Class::Quick, 5 * REMAINING, REMAINING).is_err());
    let late = controller.admit(Class::Quick, Duration::ZERO, Duration::ZERO);
    assert_eq!(late.expect_err("rejected"), Kind::DeadlinePassed);
}

/// Guards against a limit that does not adapt: too many broad queries share the targets' capacity, and all of them miss
/// shards at their deadlines.
#[test]
fn admit_after_late_queries() {
    let controller = AdmissionController::new(40);
    let start = Instant::now();
    let admit = || controller.admit(Class::Broad, Duration::ZERO, Duration::from_secs(1));
    let late: Vec<_> = (0..30).map(|_| admit().expect("below the limit")).collect();
    for (i, permit) in late.iter().enumerate() {
        permit.report(true, start + Duration::from_millis(i as u64));
    }
    drop(late);
    let permits: Vec<_> = std::iter::from_fn(|| admit().ok()).collect();
    assert_eq!(permits.len(), 24, "queries that are late together decrease the limit once");
    for _ in 0..1_000 {
        permits[0].report(false, start);
    }
    let more = std::iter::from_fn(|| admit().ok()).collect::<Vec<_>>().len();
    assert!(more > 0, "timely queries increase the limit");
    assert!(permits.len() + more <= 30, "the share of quick queries stays reserved");
}

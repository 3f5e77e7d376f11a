//! Random faults from seeds, and proof that the checks find defects.

use std::panic::{AssertUnwindSafe, catch_unwind};

use proptest::prelude::*;

use crate::{
    node::Fault,
    sim::{self, Violation},
};

/// Guards against loss, change or stale reads of committed entries in runs that were looked at before.
#[test]
fn fixed_seeds() {
    let (mut installed, mut terms) = (0, 0);
    for seed in (0..60).chain([7543626677764153648]) {
        let summary = sim::run(seed, Fault::None);
        let summary = summary.unwrap_or_else(|it| panic!("seed {seed}: {it}"));
        assert!(summary.committed > 20, "seed {seed} committed too little: {summary:?}");
        assert!(summary.confirmed > 5, "seed {seed} confirmed too few reads: {summary:?}");
        installed += summary.installed;
        terms += summary.terms;
    }
    println!("{installed} snapshots were installed, {terms} terms had a leader");
    assert!(installed > 60 && terms > 120, "the runs are too quiet: {installed} {terms}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    /// Guards against loss, change or stale reads of committed entries in new runs.
    #[test]
    fn new_seeds(seed: u64) {
        let result = sim::run(seed, Fault::None);
        prop_assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// Guards against checks that would pass a broken consensus.
#[test]
fn checks_find_defects() {
    let faults =
        [Fault::DropSync, Fault::SendBeforeSave, Fault::ForgetHardState, Fault::UnconfirmedReads];
    for fault in faults {
        let found = (0..400).find_map(|seed| Some((seed, violation(seed, fault)?)));
        println!("{fault:?} was found: {found:?}");
        assert!(found.is_some(), "{fault:?} was not found");
    }
}

/// The broken rule, if the run found one. The core's own assertion on committed entries counts too.
fn violation(seed: u64, fault: Fault) -> Option<String> {
    match catch_unwind(AssertUnwindSafe(|| sim::run(seed, fault))) {
        Ok(Err(Violation::Safety(it))) => Some(it),
        Ok(_) => None,
        Err(_) => Some("the core's assertion".into()),
    }
}

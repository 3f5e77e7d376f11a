//! Runs with random faults, and a check that the model finds injected defects.

use std::{
    ops::Range,
    panic::{AssertUnwindSafe, catch_unwind},
};

use proptest::prelude::*;

use crate::{
    disks::{self, Faults},
    node::Defect,
    sim::{self, Violation},
};

/// Guards against loss or change of committed entries, stale reads and missing progress, in the same runs each time.
/// The totals ensure that the runs exercise elections and snapshots.
#[test]
fn fixed_seeds() {
    let (mut installed, mut terms) = (0, 0);
    for seed in (0..60).chain([7543626677764153648]) {
        let summary = sim::run(seed, Defect::None);
        let summary = summary.unwrap_or_else(|it| panic!("seed {seed}: {it}"));
        assert!(summary.committed > 20, "seed {seed} committed too few entries: {summary:?}");
        assert!(summary.confirmed > 5, "seed {seed} confirmed too few reads: {summary:?}");
        installed += summary.installed;
        terms += summary.terms;
    }
    println!("{installed} snapshots were installed, {terms} terms had a leader");
    assert!(installed > 60 && terms > 120, "too few snapshots or terms: {installed} {terms}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    /// Guards against the same failures with seeds that differ in each execution.
    #[test]
    fn new_seeds(seed: u64) {
        let result = sim::run(seed, Defect::None);
        prop_assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// Guards against the loss of acknowledged entries when a voter loses its disk and is replaced by itself: the loss of
/// all processes at that moment, late acknowledgements and votes of its old identity.
#[test]
fn lost_disks_fixed_seeds() {
    run_lost_disks(0..300, Faults::All, 6);
}

/// Guards against a quorum that is lost for good when the next disk is lost as soon as that is allowed, also that of the
/// same host again.
#[test]
fn lost_disks_in_series() {
    run_lost_disks(0..100, Faults::DisksOnly, 8);
}

fn run_lost_disks(seeds: Range<u64>, faults: Faults, losses: usize) {
    let (mut committed, mut lost, mut failed) = (0, 0, Vec::new());
    for seed in seeds {
        match disks::run(seed, faults, losses) {
            Ok(it) => {
                committed += it.committed;
                lost += it.lost_disks;
            }
            Err(err) => failed.push(format!("seed {seed}: {err}")),
        }
    }
    println!("{committed} entries were committed, {lost} disks were lost");
    assert!(failed.is_empty(), "{} seeds failed: {:#?}", failed.len(), failed);
    assert!(lost > 100 && committed > 10_000, "too few losses or entries: {lost} {committed}");
}

/// Guards against checks that miss violations: each injected defect must be found within 400 seeds.
#[test]
fn checks_find_defects() {
    let defects = [
        Defect::DropSync,
        Defect::SendBeforeSave,
        Defect::ForgetHardState,
        Defect::UnconfirmedReads,
    ];
    for defect in defects {
        let found = (0..400).find_map(|seed| Some((seed, violation(seed, defect)?)));
        println!("{defect:?} was found: {found:?}");
        assert!(found.is_some(), "{defect:?} was not found");
    }
}

/// The violated safety property, if the run found one. A failed assertion of the core counts too.
fn violation(seed: u64, defect: Defect) -> Option<String> {
    match catch_unwind(AssertUnwindSafe(|| sim::run(seed, defect))) {
        Ok(Err(Violation::Safety(it))) => Some(it),
        Ok(_) => None,
        Err(_) => Some("an assertion of the core failed".into()),
    }
}

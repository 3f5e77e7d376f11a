//! The share of the version on trial, and the targets that are open in each stage.

use gentianpass::{
    relay::{Admission, Choice, Exposure},
    state::{Rollout, Stage},
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::rollout::{NEW, OLD};

/// Guards against a share above the one set, and against a limit that keeps the share too low for a judgement.
#[test]
fn exposure_draw_share() {
    let mut rng = SmallRng::seed_from_u64(7);
    let exposure = Exposure::default();
    exposure.set_ppm(50_000);
    let mut drawn = 0;
    for _ in 0..20_000 {
        if exposure.draw(&mut rng) {
            exposure.record_sent_new();
            drawn += 1;
        } else {
            exposure.record_reached_old();
        }
    }
    assert!((900..=1_100).contains(&drawn), "{drawn} of 20,000");
}

/// Guards against a new version that gets all requests which reach a target, because no old target can be reached.
#[test]
fn exposure_draw_old_unreachable() {
    let mut rng = SmallRng::seed_from_u64(7);
    let exposure = Exposure::default();
    exposure.set_ppm(100_000);
    let mut drawn = 0;
    for _ in 0..10_000 {
        if exposure.draw(&mut rng) {
            exposure.record_sent_new();
            drawn += 1;
        }
    }
    assert_eq!(drawn, 1);
}

#[test]
fn admission_each_stage() {
    let rollout = |stage| Rollout {
        service: "s".into(),
        target_version: NEW.into(),
        started_ms: 1,
        duration_ms: 1,
        stage,
        exposure_ppm: 1,
        reason: String::new(),
    };
    let admissions = |in_force: Option<&str>, rollout: Option<Rollout>| {
        let admission = |it| Admission::new(it, in_force, rollout.as_ref());
        [Some(OLD), Some(NEW), Some("v3"), None].map(admission)
    };
    use Admission::{Closed, Final, New, Old, Open};
    assert_eq!(admissions(None, None), [Open; 4]);
    assert_eq!(admissions(Some(OLD), None), [Open, Closed, Closed, Closed]);
    let cases = [
        (OLD, Stage::Trial, [Old, New, Closed, Closed]),
        (OLD, Stage::Finishing, [Closed, Final, Closed, Closed]),
        (NEW, Stage::Completed, [Closed, Open, Closed, Closed]),
        (OLD, Stage::RolledBack, [Open, Closed, Closed, Closed]),
    ];
    for (in_force, stage, expected) in cases {
        assert_eq!(admissions(Some(in_force), Some(rollout(stage))), expected, "{stage}");
    }
    assert!(New.allows(Choice::Canary, true) && !New.allows(Choice::Canary, false));
    assert!(!New.allows(Choice::Regular, true) && !Old.allows(Choice::Canary, true));
    assert!(Final.allows(Choice::Regular, true) && !Final.allows(Choice::Regular, false));
}

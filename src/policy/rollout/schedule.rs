//! When a rollout goes to the next stage, and its share during the trial.

use std::time::Duration;

use crate::{policy::rollout::Verdict, route::PPM_SCALE, state::Stage};

/// Lease of a relay, in milliseconds. A relay that has heard nothing for longer sends nothing to the new version.
pub const LEASE_MS: u64 = 2_000;

/// Silence after which the lease of a relay has expired on every clock, in milliseconds.
pub const SILENCE_MS: u64 = LEASE_MS + 200;

/// Time that the last stage takes at most, in milliseconds: the lease of a relay that cannot be reached, and 2 s for an
/// election, the evidence and the commits.
const FINISHING_MS: u64 = LEASE_MS + 2_000;

/// The last stage takes at most one part in this many of the duration.
const FINISHING_DIVISOR: u64 = 3;

/// Time that the new version has to bear all requests before it is completed, in milliseconds.
const FULL_LOAD_MS: u64 = 2_000;

/// Time after which a version without targets that had some is rolled back, in milliseconds: a target may start anew.
const NO_TARGET_MS: u64 = 2_000;

/// The share during the trial lies between these parts of the permitted one, which is over all hosts and the whole time.
const MIN_PART: f64 = 0.4;
const MAX_PART: f64 = 0.6;

/// The part of the duration that is left for the last stage, in milliseconds.
pub fn finishing_ms(duration_ms: u64) -> u64 {
    FINISHING_MS.min(duration_ms / FINISHING_DIVISOR)
}

/// The share of the new version during the trial, in parts per million: what the last stage leaves of `exposure_share`,
/// within [`MIN_PART`] and [`MAX_PART`] of it.
pub fn trial_ppm(exposure_share: f64, duration: Duration) -> u32 {
    let duration_ms = duration.as_millis() as u64;
    let (total, last) = (duration_ms as f64, finishing_ms(duration_ms) as f64);
    let left = (exposure_share * total - last) / (total - last).max(1.0);
    let share = left.clamp(exposure_share * MIN_PART, exposure_share * MAX_PART);
    (share * PPM_SCALE as f64) as u32
}

/// What is known of a running rollout.
#[derive(Clone, Debug)]
pub struct Situation {
    /// The stage.
    pub stage: Stage,
    /// Time since the start, in milliseconds.
    pub elapsed_ms: u64,
    /// Time since this stage was seen first, in milliseconds.
    pub stage_ms: u64,
    /// Time from the start to the deadline, in milliseconds.
    pub duration_ms: u64,
    /// Whether there has been a serving target of the new version.
    pub had_targets: bool,
    /// Time for which there has been no serving target of the new version, in milliseconds; none if there is one.
    pub no_target_ms: Option<u64>,
    /// Whether every relay has nothing in flight at the old version and chooses only the new one, or has no lease.
    pub is_drained: bool,
    /// The verdict that needs full evidence.
    pub verdict: Verdict,
    /// The verdict for which doubt suffices.
    pub doubt: Verdict,
}

/// The next stage and the reason for it; none while the rollout stays at its stage.
pub fn next(situation: &Situation) -> Option<(Stage, String)> {
    let Situation { stage, elapsed_ms, stage_ms, duration_ms, had_targets, no_target_ms, .. } =
        situation;
    if !stage.is_running() {
        return None;
    }
    if let Verdict::Bad(reason) = &situation.verdict {
        return Some((Stage::RolledBack, reason.clone()));
    }
    let last_ms = finishing_ms(*duration_ms);
    let is_over = elapsed_ms + last_ms >= *duration_ms;
    if let Some(gone_ms) = no_target_ms
        && (is_over || (*had_targets && *gone_ms >= NO_TARGET_MS))
    {
        return Some((Stage::RolledBack, "there is no target of the new version".into()));
    }
    let good = match situation.verdict {
        Verdict::Good => "not worse than the old version",
        _ => "too few answers to judge, nothing speaks against the version",
    };
    match stage {
        Stage::Trial if is_over => match &situation.doubt {
            Verdict::Bad(reason) => {
                Some((Stage::RolledBack, format!("doubt at the end of the trial: {reason}")))
            }
            _ => Some((Stage::Finishing, good.into())),
        },
        Stage::Finishing if situation.is_drained => {
            let has_borne_all = *stage_ms >= FULL_LOAD_MS.min(last_ms / 2);
            let is_late = elapsed_ms + last_ms / 2 >= *duration_ms;
            (has_borne_all || is_late).then(|| (Stage::Completed, good.into()))
        }
        _ => None,
    }
}

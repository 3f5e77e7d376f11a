//! Whether the new version is bad, by the counts of both versions over the same period.

use std::collections::VecDeque;

use crate::policy::rollout::{BUCKETS, Counts};

/// Evidence that rolls back a version, in nats. The counts are tested again several times a second, over several periods and
/// routes, so that it has to be much more than for a single test.
pub const BAD_NATS: f64 = 10.0;

/// Evidence that keeps a version from taking over at the end of its trial, in nats. It is tested only once.
pub const DOUBT_NATS: f64 = 3.0;

/// A new version may have this many failures more than the old one, as a share of its answers: lost answers and broken
/// connections are not evenly spread.
const FAILURE_TOLERANCE: f64 = 0.02;

/// A new version may have this many slow answers more than the old one, as a share of its answers. The pauses of one
/// shard (200 ms each 4.5 s) delay 4 % of its answers.
const SLOW_TOLERANCE: f64 = 0.12;

/// An answer is slow if it is this many buckets above the median of the old version: 2.8 times as late.
const SLOW_BUCKETS: usize = 6;

/// No answer is slow up to this bucket, 11 ms: shorter delays come from the load of the machine.
const MIN_SLOW_BUCKET: usize = 22;

/// With fewer answers than this the median of the old version is not known.
const MIN_MEDIAN_ANSWERS: u64 = 20;

/// With fewer answers of the new version it is not called good.
const MIN_GOOD_ANSWERS: u64 = 30;

/// Lengths of the recent periods that are judged besides the whole time, in milliseconds. A short one shows a version that
/// turns bad at once, a long one a version of which few answers turn bad.
const WINDOWS_MS: [u64; 3] = [5_000, 15_000, 45_000];

/// Shortest time that is judged, in milliseconds. A pause of 200 ms makes every answer late at first; over this time it
/// makes few of them late enough to count.
const MIN_SPAN_MS: u64 = 1_000;

/// Shortest interval between two states of a trail, in milliseconds.
const TRAIL_STEP_MS: u64 = 1_000;

/// What the counts say about the new version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Neither is shown.
    Undecided,
    /// It is not worse than the old version beyond the tolerances.
    Good,
    /// It is worse, for this reason.
    Bad(String),
}

/// Compares the answers of the new version with those of the old one. `olds` are counts of the old version over the same
/// period and over the whole time; the one in favour of the new version counts. `nats` is the evidence that is needed for
/// [`Verdict::Bad`]: the logarithm of how much less likely the counts are if the new version is within the tolerances.
pub fn judge(new: &Counts, olds: [&Counts; 2], nats: f64) -> Verdict {
    let bound = |share: fn(&Counts) -> (u64, u64)| {
        olds.iter().map(|it| upper_share(share(it))).fold(0.0, f64::max)
    };
    let max_failures = bound(|it| (it.failures, it.answers)) + FAILURE_TOLERANCE;
    let failed = (new.failures, new.answers);
    if evidence(failed, max_failures) > nats {
        let (failures, answers) = failed;
        let reason =
            format!("{failures} of {answers} answers failed, allowed {:.1}%", max_failures * 100.0);
        return Verdict::Bad(reason);
    }
    let mut is_good = new.answers >= MIN_GOOD_ANSWERS && upper_share(failed) <= max_failures;
    let medians = olds.iter().filter_map(|it| median_bucket(it)).max();
    if let Some(median) = medians {
        let limit = (median + SLOW_BUCKETS).clamp(MIN_SLOW_BUCKET, BUCKETS - 1);
        let known = olds.iter().filter(|it| median_bucket(it).is_some());
        let of_old = known.map(|it| upper_share(slow(it, limit))).fold(0.0, f64::max);
        let max_slow = of_old + SLOW_TOLERANCE;
        let was_slow = slow(new, limit);
        if evidence(was_slow, max_slow) > nats {
            let (late, answers) = was_slow;
            let reason = format!(
                "{late} of {answers} answers took several times the median of the old version, \
                 allowed {:.1}%",
                max_slow * 100.0
            );
            return Verdict::Bad(reason);
        }
        is_good &= upper_share(was_slow) <= max_slow;
    }
    if is_good { Verdict::Good } else { Verdict::Undecided }
}

/// The logarithm of the likelihood ratio of the observed share over the greatest share that is allowed, 0 if the observed
/// one is allowed.
fn evidence((hits, total): (u64, u64), allowed: f64) -> f64 {
    if total == 0 || allowed >= 1.0 {
        return 0.0;
    }
    let (hits, total) = (hits as f64, total as f64);
    let observed = hits / total;
    if observed <= allowed {
        return 0.0;
    }
    let term = |count: f64, one: f64, other: f64| {
        if count > 0.0 { count * (one / other).ln() } else { 0.0 }
    };
    term(hits, observed, allowed) + term(total - hits, 1.0 - observed, 1.0 - allowed)
}

/// An upper estimate of a share: one standard error above the mean of a prior of 10 answers, of which half a one counts.
fn upper_share((hits, total): (u64, u64)) -> f64 {
    let total = total as f64 + 10.0;
    let share = (hits as f64 + 0.5) / total;
    share + (share * (1.0 - share) / total).sqrt()
}

fn median_bucket(counts: &Counts) -> Option<usize> {
    let total: u64 = counts.latencies.iter().sum();
    if total < MIN_MEDIAN_ANSWERS {
        return None;
    }
    let mut rest = total / 2;
    counts.latencies.iter().position(|it| {
        let found = *it > rest;
        rest = rest.saturating_sub(*it);
        found
    })
}

/// The number of answers above a bucket, and of all answers with a latency.
fn slow(counts: &Counts, limit: usize) -> (u64, u64) {
    (counts.latencies.iter().skip(limit + 1).sum(), counts.latencies.iter().sum())
}

/// The cumulative counts of both sides on one route at successive times, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Trail {
    states: VecDeque<(u64, Counts, Counts)>,
    old: Counts,
    new: Counts,
    /// When the stage began, and the counts of the new version by then.
    stage_start: Option<(u64, Counts)>,
}

impl Trail {
    /// Records the cumulative counts at a time, in milliseconds of a steady clock.
    pub fn push(&mut self, now_ms: u64, old: Counts, new: Counts) {
        let last_ms = self.states.back().map(|it| it.0);
        if last_ms.is_none_or(|it| now_ms >= it + TRAIL_STEP_MS) {
            self.states.push_back((now_ms, old.clone(), new.clone()));
            let kept_ms = WINDOWS_MS[WINDOWS_MS.len() - 1] + TRAIL_STEP_MS;
            while self.states.front().is_some_and(|it| it.0 + kept_ms < now_ms) {
                self.states.pop_front();
            }
        }
        self.stage_start.get_or_insert_with(|| (now_ms, Counts::default()));
        (self.old, self.new) = (old, new);
    }

    /// Judges the new version from now on only by its answers in a new stage: in the last one it gets many times the
    /// requests, and a short pause would outweigh the trial.
    pub fn start_stage(&mut self, now_ms: u64) {
        self.stage_start = Some((now_ms, self.new.clone()));
        self.states.clear();
    }

    /// The counts of the new version.
    pub fn new_counts(&self) -> &Counts {
        &self.new
    }

    /// Judges the whole stage and the recent periods. Any of them shows that the version is bad; the whole stage shows that
    /// it is good.
    pub fn judge(&self, now_ms: u64, nats: f64) -> Verdict {
        let Some((start_ms, before)) = &self.stage_start else { return Verdict::Undecided };
        if now_ms < start_ms + MIN_SPAN_MS {
            return Verdict::Undecided;
        }
        let total = judge(&self.new.since(before), [&self.old, &self.old], nats);
        if let Verdict::Bad(_) = total {
            return total;
        }
        for window_ms in WINDOWS_MS {
            let from_ms = now_ms.saturating_sub(window_ms);
            let Some((_, old, new)) = self.states.iter().find(|it| it.0 >= from_ms) else {
                continue;
            };
            let recent = (self.old.since(old), self.new.since(new));
            if let Verdict::Bad(reason) = judge(&recent.1, [&recent.0, &self.old], nats) {
                return Verdict::Bad(format!("in the last {} s {reason}", window_ms / 1_000));
            }
        }
        total
    }
}

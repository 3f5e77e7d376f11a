//! Draws 10,000 seeded rollouts and prints how many good versions are rolled back, how many bad ones are completed, and
//! how long after its start a bad version is found.

use std::time::Duration;

use gentianpass::{
    policy::rollout::{BAD_NATS, Counts, DOUBT_NATS, Trail, Verdict, finishing_ms},
    route::PPM_SCALE,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const CASES: u64 = 10_000;

/// Interval of the evidence, in milliseconds.
const STEP_MS: u64 = 500;

/// A drawn rollout.
struct Case {
    duration_ms: u64,
    /// Requests per second of the service.
    rate: f64,
    share: f64,
    failing: f64,
    old_failing: f64,
    /// The bad answers of the new version: their share, their delay (1 if they fail), and when they start.
    bad_share: f64,
    bad_factor: f64,
    bad_from_ms: u64,
    pauses: bool,
}

fn draw(rng: &mut SmallRng, is_bad: bool) -> Case {
    let duration_ms = 1_000 * rng.random_range(12..=120);
    let trial_ms = duration_ms - finishing_ms(duration_ms);
    let share =
        f64::from(gentianpass::policy::rollout::trial_ppm(0.1, Duration::from_millis(duration_ms)))
            / PPM_SCALE as f64;
    Case {
        duration_ms,
        rate: 5.0 * 40_f64.powf(rng.random()),
        share,
        failing: 0.03 * rng.random::<f64>(),
        old_failing: if rng.random_bool(0.2) { 0.3 } else { 0.0 },
        bad_share: if is_bad { rng.random_range(0.15..1.0) } else { 0.0 },
        bad_factor: if rng.random_bool(0.5) { 1.0 } else { rng.random_range(4.0..10.0) },
        bad_from_ms: if rng.random_bool(0.3) { rng.random_range(0..trial_ms / 2) } else { 0 },
        pauses: rng.random_bool(0.5),
    }
}

fn record(
    counts: &mut Counts,
    answers: u64,
    failing: f64,
    bad: f64,
    case: &Case,
    rng: &mut SmallRng,
) {
    for _ in 0..answers {
        let is_bad = rng.random_bool(bad);
        let failed = rng.random_bool(failing) || (is_bad && case.bad_factor == 1.0);
        let mut ms = 20.0 * rng.random_range(0.6..1.6);
        if is_bad {
            ms *= case.bad_factor;
        }
        if case.pauses && rng.random_bool(0.044) {
            ms += 200.0 * rng.random::<f64>();
        }
        counts.record(failed, (!failed).then(|| Duration::from_secs_f64(ms / 1e3)));
    }
}

/// How a trial ended.
enum End {
    /// Found to be bad at this time, after this many bad answers.
    Found { at_ms: u64, bad_answers: u64 },
    /// Rolled back at the end of the trial.
    Doubted,
    /// Not rolled back, after this many bad answers.
    Passed { bad_answers: u64 },
}

fn play(case: &Case, rng: &mut SmallRng) -> End {
    let (mut trail, mut old, mut new) = (Trail::default(), Counts::default(), Counts::default());
    let trial_ms = case.duration_ms - finishing_ms(case.duration_ms);
    let (mut pending, mut bad_answers, mut now_ms) = (0.0, 0.0, 0);
    while now_ms < trial_ms {
        now_ms += STEP_MS;
        pending += case.rate * case.share * STEP_MS as f64 / 1e3;
        let answers = pending as u64;
        pending -= answers as f64;
        let bad = if now_ms > case.bad_from_ms { case.bad_share } else { 0.0 };
        bad_answers += answers as f64 * bad;
        record(&mut new, answers, case.failing, bad, case, rng);
        let old_answers = (case.rate * (1.0 - case.share) * STEP_MS as f64 / 1e3) as u64;
        record(&mut old, old_answers, case.failing + case.old_failing, 0.0, case, rng);
        trail.push(now_ms, old.clone(), new.clone());
        if let Verdict::Bad(_) = trail.judge(now_ms, BAD_NATS) {
            return End::Found { at_ms: now_ms, bad_answers: bad_answers as u64 };
        }
    }
    match trail.judge(now_ms, DOUBT_NATS) {
        Verdict::Bad(_) => End::Doubted,
        _ => End::Passed { bad_answers: bad_answers as u64 },
    }
}

fn main() {
    let (mut good, mut false_alarms, mut false_doubts) = (0, 0, 0);
    let (mut bad, mut doubts, mut misses, mut late, mut misses_over_50) = (0, 0, 0, 0, 0);
    let mut times_ms = Vec::new();
    for seed in 0..CASES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_bad = seed % 2 == 1;
        let case = draw(&mut rng, is_bad);
        let end = play(&case, &mut rng);
        if !is_bad {
            good += 1;
            match end {
                End::Found { .. } => false_alarms += 1,
                End::Doubted => false_doubts += 1,
                End::Passed { .. } => {}
            }
            continue;
        }
        bad += 1;
        match end {
            End::Found { at_ms, bad_answers } => {
                times_ms.push(at_ms.saturating_sub(case.bad_from_ms));
                late += u64::from(bad_answers > 50);
            }
            End::Doubted => doubts += 1,
            End::Passed { bad_answers } => {
                misses += 1;
                misses_over_50 += u64::from(bad_answers >= 50);
            }
        }
    }
    times_ms.sort_unstable();
    let at = |part: f64| times_ms[((times_ms.len() - 1) as f64 * part) as usize];
    println!(
        "good versions {good}: false alarms {false_alarms}, doubted at the end {false_doubts}"
    );
    println!(
        "bad versions {bad}: found {}, doubted at the end {doubts}, missed {misses} ({misses_over_50} with 50 bad answers)",
        times_ms.len()
    );
    println!("found after more than 50 bad answers: {late}");
    println!("time to verdict: median {} ms, p95 {} ms, p99 {} ms", at(0.5), at(0.95), at(0.99));
}

//! Canary analysis and stages of rollouts. The cases are drawn with fixed seeds.

use std::time::Duration;

use gentianpass::{
    policy::rollout::{BAD_NATS, Counts, Situation, Trail, Verdict, finishing_ms, next, trial_ppm},
    state::Stage,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Answers of the new version per second.
const NEW_PER_S: u64 = 8;

/// Answers of the old version per second.
const OLD_PER_S: u64 = 80;

/// How the answers of one side turn out.
#[derive(Clone, Copy)]
struct Side {
    failing: f64,
    slow: f64,
}

/// Both sides, the old one first, at a time in seconds.
type Sides = fn(u64) -> (Side, Side);

const GOOD: Side = Side { failing: 0.005, slow: 0.0 };

/// Records answers, with the pauses of one shard.
fn record(counts: &mut Counts, side: Side, answers: u64, rng: &mut SmallRng) {
    for _ in 0..answers {
        let failed = rng.random_bool(side.failing);
        let mut ms = 20.0 * rng.random_range(0.6..1.6);
        if rng.random_bool(side.slow) {
            ms *= 5.0;
        }
        if rng.random_bool(0.044) {
            ms += 200.0 * rng.random::<f64>();
        }
        counts.record(failed, (!failed).then(|| Duration::from_secs_f64(ms / 1e3)));
    }
}

/// Plays a trial and returns the time at which the version is found to be bad, in seconds.
fn time_to_bad(seed: u64, duration_s: u64, sides: impl Fn(u64) -> (Side, Side)) -> Option<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut trail, mut old, mut new) = (Trail::default(), Counts::default(), Counts::default());
    (1..=duration_s).find(|second| {
        let (old_side, new_side) = sides(*second);
        record(&mut old, old_side, OLD_PER_S, &mut rng);
        record(&mut new, new_side, NEW_PER_S, &mut rng);
        trail.push(second * 1_000, old.clone(), new.clone());
        matches!(trail.judge(second * 1_000, BAD_NATS), Verdict::Bad(_))
    })
}

/// Guards against the roll-back of a good version: pauses of a shard, lost answers, a failing old target.
#[test]
fn judge_good_versions() {
    let cases: [(&str, Sides); 3] = [
        ("pauses", |_| (GOOD, GOOD)),
        ("lost answers", |_| (Side { failing: 0.03, ..GOOD }, Side { failing: 0.03, ..GOOD })),
        ("failing old target", |_| (Side { failing: 0.3, ..GOOD }, GOOD)),
    ];
    for (name, sides) in cases {
        for seed in 0..100 {
            assert_eq!(time_to_bad(seed, 60, sides), None, "{name}, seed {seed}");
        }
    }
}

/// Guards against a bad version that is found late or never: by failures or latency, from the start or late, alone or
/// among few answers. The bound is the time of the 50th bad answer and 4 s.
#[test]
fn judge_bad_versions() {
    let cases: [(&str, u64, f64, Sides); 5] = [
        ("all fail", 0, 1.0, |_| (GOOD, Side { failing: 1.0, ..GOOD })),
        ("some fail", 0, 0.2, |_| (GOOD, Side { failing: 0.2, ..GOOD })),
        ("all slow", 0, 1.0, |_| (GOOD, Side { slow: 1.0, ..GOOD })),
        ("half slow", 0, 0.5, |_| (GOOD, Side { slow: 0.5, ..GOOD })),
        ("late", 100, 0.3, |it| {
            (GOOD, if it > 100 { Side { failing: 0.3, ..GOOD } } else { GOOD })
        }),
    ];
    for (name, from_s, portion, sides) in cases {
        let fiftieth_s = (50.0 / (NEW_PER_S as f64 * portion)) as u64;
        for seed in 0..100 {
            let found_s = time_to_bad(seed, 200, sides);
            let is_timely = found_s.is_some_and(|it| it > from_s && it <= from_s + fiftieth_s + 4);
            assert!(is_timely, "{name}, seed {seed}: {found_s:?}");
        }
    }
}

/// Guards against a roll-back because of one pause of 200 ms right at the start of a stage, when nothing but it is known.
#[test]
fn judge_pause_at_start() {
    let (mut trail, mut old, mut new) = (Trail::default(), Counts::default(), Counts::default());
    let ms = Duration::from_millis;
    (0..200).for_each(|_| old.record(false, Some(ms(20))));
    for step in 0..20 {
        let is_paused = step % 10 == 1;
        (0..16).for_each(|_| new.record(false, Some(ms(if is_paused { 200 } else { 20 }))));
        let now_ms = 200 * (step + 1);
        trail.push(now_ms, old.clone(), new.clone());
        if step == 10 {
            trail.start_stage(now_ms);
        }
        let verdict = trail.judge(now_ms, BAD_NATS);
        assert!(!matches!(verdict, Verdict::Bad(_)), "{now_ms} ms: {verdict:?}");
    }
}

fn situation(elapsed_ms: u64) -> Situation {
    Situation {
        stage: Stage::Trial,
        elapsed_ms,
        stage_ms: elapsed_ms,
        duration_ms: 60_000,
        had_targets: true,
        no_target_ms: None,
        is_drained: false,
        verdict: Verdict::Undecided,
        doubt: Verdict::Undecided,
    }
}

fn stage(situation: &Situation) -> Option<Stage> {
    next(situation).map(|(stage, _)| stage)
}

/// Guards against a trial that ends too early, or too late for the deadline, and against one with little evidence that is
/// not completed.
#[test]
fn next_trial() {
    assert_eq!(stage(&situation(50_000)), None);
    assert_eq!(stage(&situation(56_000)), Some(Stage::Finishing));
    let bad = || Verdict::Bad("bad".into());
    let is_bad = Situation { verdict: bad(), ..situation(5_000) };
    assert_eq!(stage(&is_bad), Some(Stage::RolledBack));
    let is_doubted = |elapsed_ms| Situation { doubt: bad(), ..situation(elapsed_ms) };
    assert_eq!(stage(&is_doubted(50_000)), None);
    assert_eq!(stage(&is_doubted(56_000)), Some(Stage::RolledBack));
}

/// Guards against a rollout to a version without targets that is completed, and against a roll-back before they start.
#[test]
fn next_without_targets() {
    let gone = |had_targets, gone_ms, elapsed_ms| {
        let no_target_ms = Some(gone_ms);
        stage(&Situation { had_targets, no_target_ms, ..situation(elapsed_ms) })
    };
    assert_eq!(gone(false, 20_000, 20_000), None);
    assert_eq!(gone(true, 1_000, 20_000), None);
    assert_eq!(gone(true, 2_000, 20_000), Some(Stage::RolledBack));
    assert_eq!(gone(false, 56_000, 56_000), Some(Stage::RolledBack));
}

/// Guards against a completion while requests run at old targets, and against one that waits after the last of them.
#[test]
fn next_finishing() {
    let finishing = |is_drained, stage_ms| Situation {
        stage: Stage::Finishing,
        is_drained,
        stage_ms,
        ..situation(56_000 + stage_ms)
    };
    assert_eq!(stage(&finishing(false, 3_900)), None);
    assert_eq!(stage(&finishing(true, 1_000)), None);
    assert_eq!(stage(&finishing(true, 2_000)), Some(Stage::Completed));
    let turned_bad = Situation { verdict: Verdict::Bad("bad".into()), ..finishing(true, 2_000) };
    assert_eq!(stage(&turned_bad), Some(Stage::RolledBack));
}

/// Guards against a share over the whole time that exceeds the permitted one where the duration allows for it.
#[test]
fn trial_ppm_within_share() {
    for duration_s in [1, 12, 30, 60, 120, 600, 86_400] {
        let ppm = f64::from(trial_ppm(0.1, Duration::from_secs(duration_s)));
        assert!((39_999.0..=60_000.0).contains(&ppm), "{duration_s} s: {ppm}");
        let last = finishing_ms(duration_s * 1_000) as f64 / (duration_s as f64 * 1e3);
        if duration_s >= 68 {
            assert!(ppm * (1.0 - last) / 1e6 + last <= 0.1, "{duration_s} s: {ppm}");
        }
    }
}

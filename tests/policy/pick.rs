use std::time::{Duration, Instant};

use gentianpass::{
    policy::pick::{DEFAULT_LOAD, FAILURE_PENALTY, HINT_TTL, LoadTable, OWN_ZONE_MAX_LOAD},
    state::{Change, Config, Object, ObjectKind, Phase, Target, TargetKey, View},
    wire::owner::Hint,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::keys;

const TARGETS: u32 = 6;

/// A view of targets with these names and incarnations, in the zones `z0`, `z1`, `z2` in turn. The targets with the
/// numbers in `drained` accept no new work.
fn view(targets: &[(&str, u64)], drained: &[u32]) -> View {
    let mut config = Config::default();
    for (i, (name, incarnation)) in targets.iter().enumerate() {
        let target = Target {
            name: (*name).into(),
            incarnation: *incarnation,
            addr: ([127, 0, 0, 1], 9_000).into(),
            zone: format!("z{}", i % 3),
            labels: Default::default(),
            slots: 3,
            warm_up: 1,
            connections: 30,
            phase: Phase::Serving,
            holdings: Vec::new(),
        };
        config.apply(&Change::PutTarget(target), 0).expect("applied");
    }
    for i in drained {
        let object = Object::new(ObjectKind::Target, format!("t{i}"));
        let set = Change::SetLabel { object, key: "drain".into(), value: "true".into() };
        config.apply(&set, 0).expect("applied");
    }
    View::build(&config)
}

/// Six targets, `t0` to `t5`.
fn six_targets(drained: &[u32]) -> View {
    view(&[("t0", 1), ("t1", 1), ("t2", 1), ("t3", 1), ("t4", 1), ("t5", 1)], drained)
}

fn hint(limit: u32, in_flight: u32, queued: u32) -> Hint {
    Hint { target: String::new(), limit, in_flight, queued }
}

/// A reference implementation that keeps all hints and failures with their times in milliseconds. The root's own zone
/// is `z0`.
#[derive(Default)]
struct Reference {
    hints: Vec<(u64, u32, Hint)>,
    failures: Vec<(u64, u32)>,
    drained: Vec<u32>,
}

impl Reference {
    fn load(&self, key: u32, now: u64) -> f32 {
        let last = self.hints.iter().rev().find(|it| it.1 == key);
        match last {
            Some((at, _, hint)) if now < at + HINT_TTL.as_millis() as u64 => {
                (hint.in_flight + hint.queued + 1) as f32 / hint.limit.max(1) as f32
            }
            _ => DEFAULT_LOAD,
        }
    }

    fn failed(&self, key: u32, now: u64) -> bool {
        let penalty = FAILURE_PENALTY.as_millis() as u64;
        self.failures.iter().any(|it| it.1 == key && now < it.0 + penalty)
    }

    /// Chooses a replica. Draws the same random numbers as [`LoadTable::pick`].
    fn pick(&self, replicas: &[u32], excluded: &[u32], now: u64, rng: &mut StdRng) -> Option<u32> {
        let eligible: Vec<u32> = replicas
            .iter()
            .copied()
            .filter(|it| !excluded.contains(it) && !self.drained.contains(it))
            .collect();
        let healthy: Vec<u32> =
            eligible.iter().copied().filter(|&it| !self.failed(it, now)).collect();
        let candidates = if healthy.is_empty() { eligible } else { healthy };
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let own_zone: Vec<u32> =
            candidates.iter().copied().filter(|it| it.is_multiple_of(3)).collect();
        let firsts = if own_zone.is_empty() { &candidates } else { &own_zone };
        let first = firsts[rng.random_range(0..firsts.len())];
        let others: Vec<u32> = candidates.iter().copied().filter(|it| *it != first).collect();
        let second = others[rng.random_range(0..others.len())];
        let [load, other] = [first, second].map(|it| self.load(it, now));
        let only_first_own_zone = first.is_multiple_of(3) && !second.is_multiple_of(3);
        let tie = load <= OWN_ZONE_MAX_LOAD && other <= OWN_ZONE_MAX_LOAD;
        let takes_second = other < load && !(tie && only_first_own_zone);
        Some(if takes_second { second } else { first })
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Hint(u32, u32, u32, u32),
    Failed(u32),
    Answered(u32),
    Pick(Vec<u32>, Vec<u32>, u64),
}

fn step() -> impl Strategy<Value = Step> {
    let key = 0..TARGETS;
    let excluded = prop::collection::vec(0..TARGETS, 0..3);
    let replicas = prop::sample::subsequence((0..TARGETS).collect::<Vec<_>>(), 0..=6);
    prop_oneof![
        (0..1_200_u64).prop_map(Step::Wait),
        (key.clone(), 0..4_u32, 0..4_u32, 0..3_u32).prop_map(|(a, b, c, d)| Step::Hint(a, b, c, d)),
        key.clone().prop_map(Step::Failed),
        key.prop_map(Step::Answered),
        (replicas, excluded, any::<u64>()).prop_map(|(a, b, c)| Step::Pick(a, b, c)),
    ]
}

proptest! {
    #![proptest_config(crate::cases(1_000))]

    /// Guards against choices by expired hints or penalties, and against the choice of drained or excluded targets.
    #[test]
    fn pick_matches_reference(
        steps in prop::collection::vec(step(), 1..60),
        drained in prop::collection::vec(0..TARGETS, 0..3),
    ) {
        let start = Instant::now();
        let mut loads = LoadTable::new(&six_targets(&drained), "z0");
        let mut reference = Reference { drained, ..Reference::default() };
        let mut now = 0;
        for step in steps {
            let at = start + Duration::from_millis(now);
            match step {
                Step::Wait(ms) => now += ms,
                Step::Hint(key, limit, in_flight, queued) => {
                    let hint = hint(limit, in_flight, queued);
                    loads.record_hint(TargetKey(key), &hint, at);
                    reference.hints.push((now, key, hint));
                }
                Step::Failed(key) => {
                    loads.record_failure(TargetKey(key), at);
                    reference.failures.push((now, key));
                }
                Step::Answered(key) => {
                    loads.record_answer(TargetKey(key));
                    reference.failures.retain(|it| it.1 != key);
                }
                Step::Pick(replicas, excluded, seed) => {
                    let [mut rng, mut reference_rng] =
                        [StdRng::seed_from_u64(seed), StdRng::seed_from_u64(seed)];
                    let found = loads.pick(&keys(&replicas), &keys(&excluded), at, &mut rng);
                    let expected = reference.pick(&replicas, &excluded, now, &mut reference_rng);
                    prop_assert_eq!(found, expected.map(TargetKey));
                }
            }
        }
    }
}

/// Guards against giving up a shard because its only replica has failed recently: it may work again.
#[test]
fn pick_all_failed() {
    let now = Instant::now();
    let mut loads = LoadTable::new(&six_targets(&[]), "z0");
    loads.record_failure(TargetKey(1), now);
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(loads.pick(&keys(&[1]), &[], now, &mut rng), Some(TargetKey(1)));
    assert!(!loads.usable(TargetKey(1), now));
    assert!(loads.usable(TargetKey(1), now + FAILURE_PENALTY));
}

/// Guards against a round trip to another region while the replica in the root's own zone has free capacity, and
/// against waiting in a queue of the own zone while another replica is free.
#[test]
fn pick_own_zone() {
    let now = Instant::now();
    let mut loads = LoadTable::new(&six_targets(&[]), "z1");
    let mut rng = StdRng::seed_from_u64(1);
    let mut own_zone_picks = |loads: &LoadTable| {
        (0..90)
            .filter(|_| loads.pick(&keys(&[0, 1, 2]), &[], now, &mut rng) == Some(TargetKey(1)))
            .count()
    };
    loads.record_hint(TargetKey(1), &hint(2, 2, 0), now);
    assert_eq!(own_zone_picks(&loads), 90);
    loads.record_hint(TargetKey(1), &hint(2, 2, 4), now);
    assert_eq!(own_zone_picks(&loads), 0);
}

/// Guards against an uneven spread over equally loaded replicas, none of which is in the root's own zone.
#[test]
fn pick_spread() {
    let now = Instant::now();
    let loads = LoadTable::new(&six_targets(&[]), "elsewhere");
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = [0; 3];
    for _ in 0..3_000 {
        let key = loads.pick(&keys(&[0, 1, 2]), &[], now, &mut rng).expect("picked");
        counts[key.0 as usize] += 1;
    }
    assert!(counts.iter().all(|it| (850..1_150).contains(it)), "{counts:?}");
}

/// Guards against hints that are lost or assigned to another target when a revision changes the targets' keys.
#[test]
fn rebuild_shifted_keys() {
    let now = Instant::now();
    let old = six_targets(&[]);
    let mut loads = LoadTable::new(&old, "z0");
    loads.record_hint(TargetKey(3), &hint(2, 2, 4), now);
    loads.record_failure(TargetKey(4), now);
    let new = view(&[("t3", 1), ("t4", 2)], &[]);
    let loads = loads.rebuild(&old, &new);
    let key = new.target_key("t3").expect("key");
    let service = Duration::from_millis(10);
    assert_eq!(loads.queue_wait(&[key], service, now), Duration::from_millis(20));
    let restarted = new.target_key("t4").expect("key");
    assert!(
        loads.usable(restarted, now),
        "a new incarnation starts without the failures of the old one"
    );
}

/// Guards against rejected queries because a replica has a long queue although another one is free.
#[test]
fn queue_wait_shortest() {
    let now = Instant::now();
    let mut loads = LoadTable::new(&six_targets(&[]), "z0");
    loads.record_hint(TargetKey(0), &hint(2, 2, 6), now);
    loads.record_hint(TargetKey(1), &hint(2, 2, 2), now);
    let service = Duration::from_millis(10);
    assert_eq!(loads.queue_wait(&keys(&[0, 1]), service, now), Duration::from_millis(10));
    assert_eq!(loads.queue_wait(&keys(&[0, 1]), service, now + HINT_TTL), Duration::ZERO);
}

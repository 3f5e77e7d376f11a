//! The concurrency limit of a target: properties, and a comparison with a reference implementation.

use std::time::{Duration, Instant};

use gentianpass::{
    policy::limit::{
        COLD_FACTOR, ConcurrencyLimit, FAILED_GROWTH_WINDOW, GROW_SUCCESSES, MAX_GROWTH_DELAY,
        MIN_GROWTH_DELAY, MIN_SAMPLES, MIN_SHRINK_INTERVAL, NOISE_US, SHED_WINDOW, SLOW_FACTOR,
        SLOW_STREAK, SLOW_WEIGHT, TIMELY_WEIGHT,
    },
    wire::owner::Class,
};
use proptest::prelude::*;

#[derive(Clone, Copy, Debug)]
enum Input {
    Success { broad: bool, us: u64, full: bool },
    Shed,
    Timeout { ms: u64 },
    Report { cold: bool },
}

fn input() -> impl Strategy<Value = (u64, Input)> {
    let us = prop_oneof![3 => 800..1_500u64, 1 => 1_500..60_000u64];
    let input = prop_oneof![
        20 => (any::<bool>(), us, any::<bool>())
            .prop_map(|(broad, us, full)| Input::Success { broad, us, full }),
        1 => Just(Input::Shed),
        1 => (1..100u64).prop_map(|ms| Input::Timeout { ms }),
        1 => any::<bool>().prop_map(|cold| Input::Report { cold }),
    ];
    (0..120u64, input)
}

/// A reference implementation that keeps the complete history and derives each decision from it.
struct ReferenceLimit {
    warm_up: u32,
    slots: u32,
    value: u32,
    /// When the limit was set, and whether it grew.
    sets: Vec<(u64, bool)>,
    /// Whether the latest growth can still count as failed.
    growth_open: bool,
    /// How long the limit is kept before it may grow; the last one applies.
    growth_delays: Vec<u64>,
    successes: u32,
    shrinks: Vec<u64>,
    sheds: Vec<u64>,
    cold: bool,
    latencies: [Vec<f64>; 2],
}

impl ReferenceLimit {
    fn new(warm_up: u32, slots: u32) -> Self {
        let value = warm_up.min(slots);
        Self {
            warm_up: value,
            slots,
            value,
            sets: vec![(0, false)],
            growth_open: false,
            growth_delays: vec![MIN_GROWTH_DELAY.as_millis() as u64],
            successes: 0,
            shrinks: Vec::new(),
            sheds: Vec::new(),
            cold: false,
            latencies: Default::default(),
        }
    }

    /// The baseline latency and the current streak of slow requests, computed from the complete history.
    fn history(latencies: &[f64]) -> (f64, Vec<f64>) {
        let first = &latencies[..latencies.len().min(MIN_SAMPLES as usize)];
        let mut baseline = first.iter().sum::<f64>() / first.len().max(1) as f64;
        let mut streak = Vec::new();
        for &it in &latencies[first.len()..] {
            if it <= baseline * SLOW_FACTOR + NOISE_US {
                streak.clear();
                baseline += (it - baseline) * TIMELY_WEIGHT;
            } else {
                streak.push(it);
                baseline += (it - baseline) * SLOW_WEIGHT;
            }
        }
        (baseline, streak)
    }

    fn set(&mut self, now: u64, value: u32, growth: bool) {
        self.value = value;
        self.successes = 0;
        self.sets.push((now, growth));
    }

    fn record_failed_growth(&mut self, now: u64) {
        let grown = self.sets.iter().rev().find(|it| it.1).map(|it| it.0);
        if std::mem::take(&mut self.growth_open)
            && grown.is_some_and(|it| now - it <= FAILED_GROWTH_WINDOW.as_millis() as u64)
        {
            let doubled = self.growth_delays[self.growth_delays.len() - 1] * 2;
            self.growth_delays.push(doubled.min(MAX_GROWTH_DELAY.as_millis() as u64));
        }
    }

    fn shrink(&mut self, now: u64, floor: u32) {
        let last = self.shrinks.last();
        if last.is_some_and(|it| now - it < MIN_SHRINK_INTERVAL.as_millis() as u64) {
            self.successes = 0;
            return;
        }
        self.shrinks.push(now);
        self.record_failed_growth(now);
        self.set(now, floor.max(self.value - 1), false);
    }

    fn reset(&mut self, now: u64) {
        if self.value > self.warm_up {
            self.record_failed_growth(now);
        }
        self.set(now, self.value.min(self.warm_up), false);
    }

    fn success(&mut self, now: u64, class: usize, us: u64, in_flight: u32) {
        let before = Self::history(&self.latencies[class]).0;
        self.latencies[class].push(us as f64);
        let (_, streak) = Self::history(&self.latencies[class]);
        let min = streak.iter().copied().fold(f64::INFINITY, f64::min);
        if streak.len() >= SLOW_STREAK as usize {
            if min > before * COLD_FACTOR + NOISE_US {
                self.reset(now);
            } else {
                self.shrink(now, self.warm_up.min(self.value));
            }
        } else if streak.is_empty() && in_flight >= self.value && self.value < self.slots {
            self.successes += 1;
            let delay_elapsed = now - self.sets[self.sets.len() - 1].0
                >= self.growth_delays[self.growth_delays.len() - 1];
            if delay_elapsed && !self.cold && self.successes >= GROW_SUCCESSES {
                let grown = self.sets.iter().rev().find(|it| it.1).map(|it| it.0);
                if self.growth_open
                    && grown.is_some_and(|it| now - it > FAILED_GROWTH_WINDOW.as_millis() as u64)
                {
                    self.growth_delays.push(MIN_GROWTH_DELAY.as_millis() as u64);
                }
                self.growth_open = true;
                self.set(now, self.value + 1, true);
            }
        }
    }

    fn feed(&mut self, now: u64, input: Input, in_flight: u32) {
        match input {
            Input::Success { broad, us, .. } => {
                self.success(now, usize::from(broad), us, in_flight);
            }
            Input::Shed => {
                let last = self.sheds.last();
                let again = last.is_some_and(|it| now - it <= SHED_WINDOW.as_millis() as u64);
                self.sheds.push(now);
                if again && self.value > self.warm_up {
                    self.reset(now);
                } else {
                    self.shrink(now, 1);
                }
            }
            Input::Timeout { ms } => {
                let (baseline, _) = Self::history(&self.latencies[0]);
                let known = self.latencies[0].len() >= MIN_SAMPLES as usize;
                if !known || ms as f64 * 1_000.0 > baseline * SLOW_FACTOR + NOISE_US {
                    self.shrink(now, 1);
                }
            }
            Input::Report { cold } => {
                self.cold = cold;
                if cold {
                    self.reset(now);
                }
            }
        }
    }
}

fn feed(limit: &mut ConcurrencyLimit, now: Instant, input: Input, in_flight: u32) {
    match input {
        Input::Success { broad, us, .. } => {
            let class = if broad { Class::Broad } else { Class::Quick };
            limit.record_success(now, class, Duration::from_micros(us), in_flight);
        }
        Input::Shed => {
            limit.record_shed(now);
        }
        Input::Timeout { ms } => {
            limit.record_timeout(now, Class::Quick, Duration::from_millis(ms));
        }
        Input::Report { cold } => {
            limit.apply_report(now, cold);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Guards against errors of the incremental implementation that lose part of the history.
    #[test]
    fn limit_matches_reference(
        warm_up in 1..4u32,
        slots in 1..8u32,
        inputs in prop::collection::vec(input(), 1..400),
    ) {
        let start = Instant::now();
        let (mut limit, mut reference) =
            (ConcurrencyLimit::new(start, warm_up, slots), ReferenceLimit::new(warm_up, slots));
        let mut now_ms = 0;
        for (pause_ms, input) in inputs {
            now_ms += pause_ms;
            let full = matches!(input, Input::Success { full: true, .. });
            let in_flight = if full { limit.value() } else { 0 };
            feed(&mut limit, start + Duration::from_millis(now_ms), input, in_flight);
            reference.feed(now_ms, input, in_flight);
            prop_assert_eq!(limit.value(), reference.value, "after {:?} at {} ms", input, now_ms);
        }
    }

    /// Guards against more requests in flight than the limit, if each start checks it first; against limits above the
    /// number of slots; and against growth while the target reports that it is cold.
    #[test]
    fn limit_never_exceeded(
        warm_up in 1..4u32,
        slots in 1..8u32,
        inputs in prop::collection::vec((input(), 0..4u32), 1..400),
    ) {
        let mut now = Instant::now();
        let mut limit = ConcurrencyLimit::new(now, warm_up, slots);
        let (mut in_flight, mut cold) = (0, false);
        for ((pause_ms, input), starts) in inputs {
            now += Duration::from_millis(pause_ms);
            for _ in 0..starts {
                if in_flight < limit.value() {
                    in_flight += 1;
                    prop_assert!(in_flight <= limit.value() && in_flight <= slots);
                }
            }
            let before = limit.value();
            if let Input::Report { cold: reported } = input {
                cold = reported;
                feed(&mut limit, now, input, in_flight);
                prop_assert!(limit.value() <= before, "a report raised the limit");
                prop_assert!(!cold || limit.value() <= warm_up);
            } else if in_flight > 0 {
                feed(&mut limit, now, input, in_flight);
                in_flight -= 1;
            }
            prop_assert!((1..=slots).contains(&limit.value()));
            prop_assert!(!cold || limit.value() <= before, "grew while cold");
        }
    }
}

/// Returns a limit that has grown to all its slots, with a baseline latency of 1 ms.
fn warm(now: &mut Instant) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new(*now, 1, 4);
    while limit.value() < 4 {
        succeed(&mut limit, now, 1_000);
    }
    limit
}

fn succeed(limit: &mut ConcurrencyLimit, now: &mut Instant, us: u64) {
    *now += Duration::from_millis(10);
    limit.record_success(*now, Class::Quick, Duration::from_micros(us), limit.value());
}

/// Guards against a limit that shrinks because of single stragglers.
#[test]
fn limit_straggler() {
    let now = &mut Instant::now();
    let mut limit = warm(now);
    for _ in 0..50 {
        succeed(&mut limit, now, 200_000);
        succeed(&mut limit, now, 1_000);
    }
    assert_eq!(limit.value(), 4);
}

/// Guards against a target that turned cold and stays under full load: a latency jump, repeated sheds or a report must
/// reset the limit at once.
#[test]
fn limit_turned_cold() {
    let now = &mut Instant::now();
    let mut slow = warm(now);
    for _ in 0..SLOW_STREAK {
        succeed(&mut slow, now, 20_000);
    }
    assert_eq!(slow.value(), 1);

    let mut shedding = warm(now);
    shedding.record_shed(*now);
    shedding.record_shed(*now + Duration::from_millis(1));
    assert_eq!(shedding.value(), 1);

    let mut reported = warm(now);
    reported.apply_report(*now, true);
    assert_eq!(reported.value(), 1);
    reported.apply_report(*now, false);
    assert_eq!(reported.value(), 1, "a report that the target is warm raised the limit");
}

/// Guards against a limit that grows beyond the capacity of the target again and again at the same pace.
#[test]
fn limit_failed_growth() {
    let now = &mut Instant::now();
    let mut limit = ConcurrencyLimit::new(*now, 1, 4);
    let mut paces = Vec::new();
    for _ in 0..4 {
        let start = *now;
        while limit.value() == 1 {
            succeed(&mut limit, now, 1_000);
        }
        paces.push(*now - start);
        limit.record_shed(*now);
    }
    let doubled = |it: &[Duration]| it[1] >= it[0] * 3 / 2;
    assert!(paces.windows(2).all(doubled), "{paces:?}");
    assert_eq!(limit.value(), 1);
}

/// Guards against a limit that grows before the target has reported whether it is cold.
#[test]
fn limit_awaits_report() {
    let now = &mut Instant::now();
    let mut limit = ConcurrencyLimit::new(*now, 1, 4);
    limit.await_report();
    for _ in 0..200 {
        succeed(&mut limit, now, 1_000);
    }
    assert_eq!(limit.value(), 1);
    limit.resume_from(*now, 3);
    assert_eq!(limit.value(), 3, "the previous owner knew the target");
    limit.apply_report(*now, false);
    while limit.value() < 4 {
        succeed(&mut limit, now, 1_000);
    }
}

/// Guards against a target that restarted on the same address and gets the load of its earlier process.
#[test]
fn limit_reset_after_disconnect() {
    let now = &mut Instant::now();
    let mut limit = warm(now);
    limit.suspect_restart(*now);
    for _ in 0..200 {
        succeed(&mut limit, now, 1_000);
    }
    assert_eq!(limit.value(), 1);
    limit.apply_report(*now, false);
    while limit.value() < 4 {
        succeed(&mut limit, now, 1_000);
    }
}

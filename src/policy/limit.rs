//! The adaptive concurrency limit of a target: how many requests its owner runs there at once.
//!
//! The limit starts at the warm-up limit, grows by one after enough timely successes, up to the target's slots, and
//! shrinks by one on a shed, a timeout or a latency jump, the latter not below the warm-up limit. It falls back to the
//! warm-up limit when the target is cold or may have restarted. A failed growth doubles the delay before the next one.

use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

use crate::wire::owner::Class;

/// The number of timely successes, counted while the limit is fully used, that precede a growth by one.
pub const GROW_SUCCESSES: u32 = 10;

/// The shortest delay between a change of the limit and the next growth.
pub const MIN_GROWTH_DELAY: Duration = Duration::from_millis(250);

/// The longest delay between a change of the limit and the next growth, reached after repeated failed growths.
pub const MAX_GROWTH_DELAY: Duration = Duration::from_secs(8);

/// A growth has failed if the limit is reduced within this time after it. A failed growth doubles the growth delay; the
/// next growth after one that lasted longer resets it.
pub const FAILED_GROWTH_WINDOW: Duration = Duration::from_secs(2);

/// The limit shrinks at most once per interval, so that one incident that affects several requests counts once.
pub const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(100);

/// Two sheds within this time at a limit above warm-up mean that the target has turned cold.
pub const SHED_WINDOW: Duration = Duration::from_secs(1);

/// The number of latency samples that form the initial baseline of a class.
pub const MIN_SAMPLES: u32 = 16;

/// The number of consecutive slow requests that make a latency jump. Single stragglers are normal and change nothing.
pub const SLOW_STREAK: u32 = 4;

/// A request is slow if its latency exceeds the baseline times this factor, plus [`NOISE_US`].
pub const SLOW_FACTOR: f64 = 2.0;

/// If all requests of a latency jump exceed the baseline times this factor, plus [`NOISE_US`], the target has turned
/// cold.
pub const COLD_FACTOR: f64 = 4.0;

/// Smaller latency differences than this are scheduling noise of a busy host, in microseconds.
pub const NOISE_US: f64 = 2_000.0;

/// The weight of a timely latency in the baseline, an exponentially weighted moving average.
pub const TIMELY_WEIGHT: f64 = 1.0 / 64.0;

/// The weight of a slow latency in the baseline. It is above 0, so that the baseline follows a permanent change.
pub const SLOW_WEIGHT: f64 = 1.0 / 512.0;

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Enough timely successes while the limit was fully used.
    TimelySuccesses,
    /// The target shed a request.
    Shed,
    /// A request had no answer within its deadline.
    Timeout,
    /// Several requests in a row were slow.
    LatencyJump,
    /// Latencies or sheds show that the target is cold.
    TurnedCold,
    /// The target reported that it is cold.
    ColdReported,
    /// The target closed or refused a connection, so its process may have ended.
    ConnectionEnded,
    /// The target announced another warm-up limit or number of slots.
    Announced,
}

/// A change of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit before.
    pub from: u32,
    /// The limit after.
    pub to: u32,
    /// Why it changed.
    pub cause: Cause,
}

/// The concurrency limit of one target.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    warm_up: u32,
    slots: u32,
    value: u32,
    successes: u32,
    last_change: Instant,
    last_growth: Option<Instant>,
    last_shrink: Option<Instant>,
    last_shed: Option<Instant>,
    growth_delay: Duration,
    cold: bool,
    awaits_report: bool,
    histories: [LatencyHistory; 2],
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `warm_up` and is at most `slots`.
    pub fn new(now: Instant, warm_up: u32, slots: u32) -> Self {
        Self {
            warm_up: warm_up.clamp(1, slots),
            slots,
            value: warm_up.clamp(1, slots),
            successes: 0,
            last_change: now,
            last_growth: None,
            last_shrink: None,
            last_shed: None,
            growth_delay: MIN_GROWTH_DELAY,
            cold: false,
            awaits_report: false,
            histories: [LatencyHistory::default(); 2],
        }
    }

    /// The current limit, from 1 to the number of slots.
    pub fn value(&self) -> u32 {
        self.value
    }

    /// The baseline latency of a class; `None` with fewer than [`MIN_SAMPLES`] samples.
    pub fn baseline(&self, class: Class) -> Option<Duration> {
        let history = &self.histories[class as usize];
        (history.samples >= MIN_SAMPLES).then(|| Duration::from_micros(history.baseline_us as u64))
    }

    /// Prevents growth until the target has reported whether it is cold. Timely answers do not show that it is
    /// warm: within the warm-up limit, those of a cold target are timely too.
    pub fn await_report(&mut self) {
        self.awaits_report = true;
    }

    /// Falls back to the warm-up limit and prevents growth until the next report, because a new process, which is
    /// cold, may have taken the place of the target's process.
    pub fn suspect_restart(&mut self, now: Instant) -> Option<LimitChange> {
        self.awaits_report = true;
        self.reset(now, Cause::ConnectionEnded)
    }

    /// Continues with the limit that the previous owner learned, unless the target has reported that it is cold.
    pub fn resume_from(&mut self, now: Instant, learned: u32) {
        if !self.cold {
            self.value = learned.clamp(1, self.slots);
            self.last_change = now;
        }
    }

    /// Sets the limits that the target announced.
    pub fn set_bounds(&mut self, now: Instant, warm_up: u32, slots: u32) -> Option<LimitChange> {
        self.warm_up = warm_up.clamp(1, slots);
        self.slots = slots;
        self.set(now, self.value.min(slots), Cause::Announced)
    }

    /// Applies a report of the target. If it is cold, the limit falls back to warm-up and does not grow until a later
    /// report says that the target is warm. Such a report permits growth, but does not raise the limit itself.
    pub fn apply_report(&mut self, now: Instant, cold: bool) -> Option<LimitChange> {
        self.cold = cold;
        self.awaits_report = false;
        if !cold {
            return None;
        }
        self.reset(now, Cause::ColdReported)
    }

    /// Records an answer that took `latency` while `in_flight` requests ran, this one included.
    pub fn record_success(
        &mut self,
        now: Instant,
        class: Class,
        latency: Duration,
        in_flight: u32,
    ) -> Option<LimitChange> {
        match self.histories[class as usize].classify(latency) {
            Verdict::Timely => self.grow(now, in_flight),
            Verdict::Straggler => None,
            Verdict::Slow => {
                let floor = self.warm_up.min(self.value);
                self.shrink(now, floor, Cause::LatencyJump)
            }
            Verdict::Cold => self.reset(now, Cause::TurnedCold),
        }
    }

    /// Records a request that the target shed.
    pub fn record_shed(&mut self, now: Instant) -> Option<LimitChange> {
        let repeated =
            self.last_shed.is_some_and(|it| now.saturating_duration_since(it) <= SHED_WINDOW);
        self.last_shed = Some(now);
        if repeated && self.value > self.warm_up {
            return self.reset(now, Cause::TurnedCold);
        }
        self.shrink(now, 1, Cause::Shed)
    }

    /// Records a request that had no answer after `elapsed`. It is ignored if an answer would still have been timely by
    /// then: the deadline was too short to say anything about the target.
    pub fn record_timeout(
        &mut self,
        now: Instant,
        class: Class,
        elapsed: Duration,
    ) -> Option<LimitChange> {
        if self.histories[class as usize].is_timely(elapsed) {
            return None;
        }
        self.shrink(now, 1, Cause::Timeout)
    }

    fn grow(&mut self, now: Instant, in_flight: u32) -> Option<LimitChange> {
        if in_flight < self.value || self.value == self.slots {
            return None;
        }
        self.successes = (self.successes + 1).min(GROW_SUCCESSES);
        let delay_over = now.saturating_duration_since(self.last_change) >= self.growth_delay;
        if self.cold || self.awaits_report || !delay_over || self.successes < GROW_SUCCESSES {
            return None;
        }
        if self
            .last_growth
            .is_some_and(|it| now.saturating_duration_since(it) > FAILED_GROWTH_WINDOW)
        {
            self.growth_delay = MIN_GROWTH_DELAY;
        }
        self.last_growth = Some(now);
        self.set(now, self.value + 1, Cause::TimelySuccesses)
    }

    fn shrink(&mut self, now: Instant, floor: u32, cause: Cause) -> Option<LimitChange> {
        let recent = self
            .last_shrink
            .is_some_and(|it| now.saturating_duration_since(it) < MIN_SHRINK_INTERVAL);
        if recent {
            self.successes = 0;
            return None;
        }
        self.last_shrink = Some(now);
        self.back_off_growth(now);
        self.set(now, (self.value - 1).max(floor), cause)
    }

    fn reset(&mut self, now: Instant, cause: Cause) -> Option<LimitChange> {
        if self.value > self.warm_up {
            self.back_off_growth(now);
        }
        self.set(now, self.value.min(self.warm_up), cause)
    }

    /// Doubles the growth delay if the last growth was within [`FAILED_GROWTH_WINDOW`].
    fn back_off_growth(&mut self, now: Instant) {
        let Some(last_growth) = self.last_growth.take() else { return };
        if now.saturating_duration_since(last_growth) <= FAILED_GROWTH_WINDOW {
            self.growth_delay = (self.growth_delay * 2).min(MAX_GROWTH_DELAY);
        }
    }

    fn set(&mut self, now: Instant, value: u32, cause: Cause) -> Option<LimitChange> {
        let from = self.value;
        self.value = value;
        self.successes = 0;
        self.last_change = now;
        (from != value).then_some(LimitChange { from, to: value, cause })
    }
}

enum Verdict {
    Timely,
    /// Slow, but not yet [`SLOW_STREAK`] in a row.
    Straggler,
    /// A latency jump.
    Slow,
    /// A latency jump beyond [`COLD_FACTOR`].
    Cold,
}

/// The latency baseline of one class at one target, and its current streak of slow requests.
#[derive(Clone, Copy, Debug, Default)]
struct LatencyHistory {
    samples: u32,
    baseline_us: f64,
    streak: u32,
    streak_min_us: f64,
}

impl LatencyHistory {
    /// Classifies a latency and updates the baseline.
    fn classify(&mut self, latency: Duration) -> Verdict {
        let us = latency.as_micros() as f64;
        if self.samples < MIN_SAMPLES {
            self.samples += 1;
            self.baseline_us += (us - self.baseline_us) / f64::from(self.samples);
            return Verdict::Timely;
        }
        if self.is_timely(latency) {
            self.streak = 0;
            self.baseline_us += (us - self.baseline_us) * TIMELY_WEIGHT;
            return Verdict::Timely;
        }
        self.streak_min_us = if self.streak == 0 { us } else { self.streak_min_us.min(us) };
        self.streak += 1;
        let cold = self.streak_min_us > self.baseline_us * COLD_FACTOR + NOISE_US;
        self.baseline_us += (us - self.baseline_us) * SLOW_WEIGHT;
        match self.streak {
            0..SLOW_STREAK => Verdict::Straggler,
            _ if cold => Verdict::Cold,
            _ => Verdict::Slow,
        }
    }

    fn is_timely(&self, latency: Duration) -> bool {
        let us = latency.as_micros() as f64;
        self.samples >= MIN_SAMPLES && us <= self.baseline_us * SLOW_FACTOR + NOISE_US
    }
}

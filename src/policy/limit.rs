//! How many requests the owner runs at a target at once. Time is passed in.

use std::time::{Duration, Instant};

use strum::{Display, IntoStaticStr};

use crate::wire::owner::Class;

/// Timely successes at the full limit that precede a growth by one.
pub const GROW_SUCCESSES: u32 = 10;

/// The shortest time between a change of the limit and the next growth.
pub const MIN_GROWTH_DELAY: Duration = Duration::from_millis(250);

/// The longest time between a change of the limit and the next growth, after growth has failed several times.
pub const MAX_GROWTH_DELAY: Duration = Duration::from_secs(8);

/// A growth that is taken back within this time counts as failed and doubles the hold.
pub const FAILED_GROWTH_WINDOW: Duration = Duration::from_secs(2);

/// The shortest time between two shrinks, so that one incident that hits several requests counts once.
pub const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(100);

/// Two sheds within this time show that the target bears less than the limit: it turned cold.
pub const SHED_WINDOW: Duration = Duration::from_secs(1);

/// How many latencies form the first history of a class.
pub const MIN_SAMPLES: u32 = 16;

/// How many slow requests in a row are a latency jump. Single stragglers are normal and change nothing.
pub const SLOW_STREAK: u32 = 4;

/// A request is slow if it takes this many times the usual latency.
pub const SLOW_FACTOR: f64 = 2.0;

/// A jump of this many times the usual latency shows that the target turned cold.
pub const COLD_FACTOR: f64 = 4.0;

/// Differences below this are scheduling noise of a busy host, in microseconds.
pub const NOISE_US: f64 = 2_000.0;

/// The weight of a timely latency in the history.
pub const TIMELY_WEIGHT: f64 = 1.0 / 64.0;

/// The weight of a slow latency in the history, so that a lasting change is accepted in the end.
pub const SLOW_WEIGHT: f64 = 1.0 / 512.0;

/// Why a limit changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// Enough timely successes at the full limit.
    TimelySuccesses,
    /// The target refused a request.
    Shed,
    /// A request had no answer within its deadline.
    Timeout,
    /// Several requests in a row were slow.
    LatencyJump,
    /// Latency or sheds show that the target is cold.
    TurnedCold,
    /// The target reported that it is cold.
    ColdReported,
    /// The target closed or refused a connection, as a process that ends does.
    ConnectionEnded,
    /// The target announced other limits.
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

/// The limit of one target.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    warm_up: u32,
    slots: u32,
    value: u32,
    successes: u32,
    changed: Instant,
    grown: Option<Instant>,
    shrunk: Option<Instant>,
    shed: Option<Instant>,
    hold: Duration,
    cold: bool,
    awaits_report: bool,
    histories: [History; 2],
}

impl ConcurrencyLimit {
    /// Starts at the warm-up limit.
    pub fn new(now: Instant, warm_up: u32, slots: u32) -> Self {
        Self {
            warm_up: warm_up.clamp(1, slots),
            slots,
            value: warm_up.clamp(1, slots),
            successes: 0,
            changed: now,
            grown: None,
            shrunk: None,
            shed: None,
            hold: MIN_GROWTH_DELAY,
            cold: false,
            awaits_report: false,
            histories: [History::default(); 2],
        }
    }

    /// The limit in force; from 1 to the number of slots.
    pub fn value(&self) -> u32 {
        self.value
    }

    /// The usual latency of a class, once there is enough history.
    pub fn baseline(&self, class: Class) -> Option<Duration> {
        let history = &self.histories[class as usize];
        (history.samples >= MIN_SAMPLES).then(|| Duration::from_micros(history.usual_us as u64))
    }

    /// Keeps the limit from growing until the target has reported whether it is cold. Successes within the warm-up limit
    /// are timely on a cold target too.
    pub fn await_report(&mut self) {
        self.awaits_report = true;
    }

    /// Falls back to the warm-up limit because the target may be another process now, which is cold.
    pub fn suspect_restart(&mut self, now: Instant) -> Option<LimitChange> {
        self.awaits_report = true;
        self.reset(now, Cause::ConnectionEnded)
    }

    /// Continues with the limit that the previous owner learned.
    pub fn resume_from(&mut self, now: Instant, learned: u32) {
        if !self.cold {
            self.value = learned.clamp(1, self.slots);
            self.changed = now;
        }
    }

    /// Takes the limits that the target announced.
    pub fn set_bounds(&mut self, now: Instant, warm_up: u32, slots: u32) -> Option<LimitChange> {
        self.warm_up = warm_up.clamp(1, slots);
        self.slots = slots;
        self.set(now, self.value.min(slots), Cause::Announced)
    }

    /// Takes what the target says about itself. A reported cold resets the limit and keeps it from growing; a reported
    /// warm only ends that.
    pub fn apply_report(&mut self, now: Instant, cold: bool) -> Option<LimitChange> {
        self.cold = cold;
        self.awaits_report = false;
        if !cold {
            return None;
        }
        self.reset(now, Cause::ColdReported)
    }

    /// Counts an answer that took `latency`, while `in_flight` requests ran, this one included.
    pub fn record_success(
        &mut self,
        now: Instant,
        class: Class,
        latency: Duration,
        in_flight: u32,
    ) -> Option<LimitChange> {
        match self.histories[class as usize].judge(latency) {
            Pace::Timely => self.grow(now, in_flight),
            Pace::Late => None,
            Pace::Slow => {
                let floor = self.warm_up.min(self.value);
                self.shrink(now, floor, Cause::LatencyJump)
            }
            Pace::Cold => self.reset(now, Cause::TurnedCold),
        }
    }

    /// Counts a refusal.
    pub fn record_shed(&mut self, now: Instant) -> Option<LimitChange> {
        let again = self.shed.is_some_and(|it| now.saturating_duration_since(it) <= SHED_WINDOW);
        self.shed = Some(now);
        if again && self.value > self.warm_up {
            return self.reset(now, Cause::TurnedCold);
        }
        self.shrink(now, 1, Cause::Shed)
    }

    /// Counts a request that had no answer after `elapsed`. A deadline below the usual latency says nothing about the
    /// target.
    pub fn record_timeout(
        &mut self,
        now: Instant,
        class: Class,
        elapsed: Duration,
    ) -> Option<LimitChange> {
        if self.histories[class as usize].timely(elapsed) {
            return None;
        }
        self.shrink(now, 1, Cause::Timeout)
    }

    fn grow(&mut self, now: Instant, in_flight: u32) -> Option<LimitChange> {
        if in_flight < self.value || self.value == self.slots {
            return None;
        }
        self.successes = (self.successes + 1).min(GROW_SUCCESSES);
        let held = now.saturating_duration_since(self.changed) >= self.hold;
        if self.cold || self.awaits_report || !held || self.successes < GROW_SUCCESSES {
            return None;
        }
        if self.grown.is_some_and(|it| now.saturating_duration_since(it) > FAILED_GROWTH_WINDOW) {
            self.hold = MIN_GROWTH_DELAY;
        }
        self.grown = Some(now);
        self.set(now, self.value + 1, Cause::TimelySuccesses)
    }

    fn shrink(&mut self, now: Instant, floor: u32, cause: Cause) -> Option<LimitChange> {
        let recent =
            self.shrunk.is_some_and(|it| now.saturating_duration_since(it) < MIN_SHRINK_INTERVAL);
        if recent {
            self.successes = 0;
            return None;
        }
        self.shrunk = Some(now);
        self.fail_growth(now);
        self.set(now, (self.value - 1).max(floor), cause)
    }

    fn reset(&mut self, now: Instant, cause: Cause) -> Option<LimitChange> {
        if self.value > self.warm_up {
            self.fail_growth(now);
        }
        self.set(now, self.value.min(self.warm_up), cause)
    }

    /// Lengthens the hold if the latest growth was taken back soon.
    fn fail_growth(&mut self, now: Instant) {
        let Some(grown) = self.grown.take() else { return };
        if now.saturating_duration_since(grown) <= FAILED_GROWTH_WINDOW {
            self.hold = (self.hold * 2).min(MAX_GROWTH_DELAY);
        }
    }

    fn set(&mut self, now: Instant, value: u32, cause: Cause) -> Option<LimitChange> {
        let from = self.value;
        self.value = value;
        self.successes = 0;
        self.changed = now;
        (from != value).then_some(LimitChange { from, to: value, cause })
    }
}

enum Pace {
    Timely,
    /// A straggler, not yet a jump.
    Late,
    Slow,
    Cold,
}

/// The latencies of one class at one target.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    samples: u32,
    usual_us: f64,
    streak: u32,
    streak_min_us: f64,
}

impl History {
    fn judge(&mut self, latency: Duration) -> Pace {
        let us = latency.as_micros() as f64;
        if self.samples < MIN_SAMPLES {
            self.samples += 1;
            self.usual_us += (us - self.usual_us) / f64::from(self.samples);
            return Pace::Timely;
        }
        if self.timely(latency) {
            self.streak = 0;
            self.usual_us += (us - self.usual_us) * TIMELY_WEIGHT;
            return Pace::Timely;
        }
        self.streak_min_us = if self.streak == 0 { us } else { self.streak_min_us.min(us) };
        self.streak += 1;
        let cold = self.streak_min_us > self.usual_us * COLD_FACTOR + NOISE_US;
        self.usual_us += (us - self.usual_us) * SLOW_WEIGHT;
        match self.streak {
            0..SLOW_STREAK => Pace::Late,
            _ if cold => Pace::Cold,
            _ => Pace::Slow,
        }
    }

    fn timely(&self, latency: Duration) -> bool {
        let us = latency.as_micros() as f64;
        self.samples >= MIN_SAMPLES && us <= self.usual_us * SLOW_FACTOR + NOISE_US
    }
}

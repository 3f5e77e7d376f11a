//! What is known about a target from its own answers, and what a sub-request sent there would take.

use std::time::{Duration, Instant};

/// How much the newest sample counts. One sub-request that takes five times as long must not send the next ones to
/// another region.
const EWMA_WEIGHT: f64 = 0.1;

/// What was observation is worth half after this time without a sample, so that a target which recovered is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(4);

/// What a failure costs: another target has to be asked.
const FAILURE_PENALTY: Duration = Duration::from_millis(300);

/// What a target costs that gave no sign of life when it was last asked.
const AVOIDED_PENALTY: Duration = Duration::from_secs(2);

/// For how long a target is avoided at first; each failure in a row doubles it.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(250);

/// The longest time for which a target is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// The latency_ratio of a target stays between these bounds.
const LATENCY_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=50.0;

/// A target that has not answered for this many times its median time is stalled.
const STALL_FACTOR: f64 = 2.5;

/// The least time without an answer after which a target is stalled.
const MIN_STALL: Duration = Duration::from_millis(8);

/// What a stalled target costs.
const STALL_PENALTY: Duration = Duration::from_millis(150);

/// How one sub-request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It was answered after this share of the route's median time.
    Answered(f64),
    /// The target failed or refused it.
    Failed,
    /// The target could not be reached or did not answer.
    NoResponse,
}

/// What is known about a target.
#[derive(Clone, Debug)]
pub struct TargetStats {
    latency_ratio: f64,
    failure_rate: f64,
    missing_responses: u32,
    avoid_until: Option<Instant>,
    updated: Instant,
    in_flight: Vec<Instant>,
    last_response: Instant,
}

impl TargetStats {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Self {
        Self {
            latency_ratio: 1.0,
            failure_rate: 0.0,
            missing_responses: 0,
            avoid_until: None,
            updated: now,
            in_flight: Vec::new(),
            last_response: now,
        }
    }

    /// A sub-request was sent.
    pub fn start_request(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// The sub-request that was sent at `started` has ended, or nobody waits for it any more.
    pub fn end_request(&mut self, started: Instant) {
        if let Some(at) = self.in_flight.iter().position(|it| *it == started) {
            self.in_flight.swap_remove(at);
        }
    }

    /// How many sub-requests of this host run there.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Learns from the end of a sub-request.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        self.decay(now);
        match observation {
            Observation::Answered(ratio) => {
                let ratio = ratio.clamp(*LATENCY_RATIO_BOUNDS.start(), *LATENCY_RATIO_BOUNDS.end());
                self.latency_ratio += EWMA_WEIGHT * (ratio - self.latency_ratio);
                self.failure_rate -= EWMA_WEIGHT * self.failure_rate;
                self.missing_responses = 0;
                self.avoid_until = None;
                self.last_response = now;
            }
            Observation::Failed => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                self.last_response = now;
            }
            Observation::NoResponse => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                let avoidance =
                    INITIAL_AVOIDANCE * 2u32.saturating_pow(self.missing_responses.min(8));
                self.avoid_until = Some(now + avoidance.min(MAX_AVOIDANCE));
                self.missing_responses += 1;
            }
        }
    }

    /// What a sub-request would take whose median time is `median`, beside the way there and back.
    pub fn cost(&self, median: Duration, slots: u32, now: Instant) -> Duration {
        let decay_factor = self.decay_factor(now);
        let latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay_factor;
        // The next sub-request waits only if all slots are utilization. Other hosts use them too.
        let utilization = self.in_flight.len() as f64 / f64::from(slots.max(1));
        let load = 1.0 + utilization * utilization;
        let mut cost = median.mul_f64(latency_ratio * load)
            + FAILURE_PENALTY.mul_f64(self.failure_rate * decay_factor);
        if self.avoid_until.is_some_and(|it| now < it) {
            cost += AVOIDED_PENALTY;
        }
        if self.is_stalled(median, now) {
            cost += STALL_PENALTY;
        }
        cost
    }

    /// Whether the target answers nothing although it should have by now.
    pub fn is_stalled(&self, median: Duration, now: Instant) -> bool {
        let Some(oldest) = self.in_flight.iter().min() else { return false };
        let limit = median.mul_f64(STALL_FACTOR * self.latency_ratio.max(1.0)).max(MIN_STALL);
        let waiting_since = (*oldest).max(self.last_response);
        now.saturating_duration_since(waiting_since) > limit
    }

    fn decay(&mut self, now: Instant) {
        let decay_factor = self.decay_factor(now);
        self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay_factor;
        self.failure_rate *= decay_factor;
        self.updated = now;
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        0.5f64.powf(age.as_secs_f64() / DECAY_HALF_LIFE.as_secs_f64())
    }
}

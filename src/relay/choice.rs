//! Statistics of a target that are collected from its responses, and the cost by which a target is selected for a
//! sub-request.

use std::time::{Duration, Instant};

/// Weight of the newest sample in the moving averages. It is low, so that a single sub-request that takes five times as
/// long does not move the following ones to another region.
const EWMA_WEIGHT: f64 = 0.1;

/// Half-life of the statistics while there are no new samples, so that a target that has recovered is tried again.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(4);

/// Cost of a failure, scaled by the failure rate: after a failure another target has to be tried.
const FAILURE_PENALTY: Duration = Duration::from_millis(300);

/// Cost of a target that is avoided after it did not respond.
const AVOIDED_PENALTY: Duration = Duration::from_secs(2);

/// How long a target is avoided after the first missing response. It doubles with each consecutive one.
const INITIAL_AVOIDANCE: Duration = Duration::from_millis(250);

/// Longest time for which a target is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_secs(4);

/// A target is down if this many consecutive sub-requests got no response, the last one within `DOWN_PERIOD`. After that
/// time it is probed again.
const DOWN_MISSING_RESPONSES: u32 = 2;
const DOWN_PERIOD: Duration = Duration::from_millis(500);

/// Bounds of a single latency ratio sample.
const LATENCY_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=50.0;

/// A target is stalled if requests are in flight and it has not responded for this many times the median latency,
/// scaled by its latency ratio.
const STALL_FACTOR: f64 = 2.5;

/// A target is not considered stalled before this time without a response.
const MIN_STALL: Duration = Duration::from_millis(8);

/// Cost of a stalled target.
const STALL_PENALTY: Duration = Duration::from_millis(150);

/// The outcome of a sub-request to a target, as far as the statistics need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The target responded. The value is its latency divided by the median of the route.
    Answered(f64),
    /// The target returned a server error or refused the request.
    Failed,
    /// The target could not be reached, another process has its address, or no valid response arrived.
    NoResponse,
}

/// Statistics of one target on this host: moving averages of the latency ratio and the failure rate, and the requests
/// in flight.
#[derive(Clone, Debug)]
pub struct TargetStats {
    /// Latency relative to the median of the route.
    latency_ratio: f64,
    failure_rate: f64,
    /// Consecutive sub-requests without a response.
    missing_responses: u32,
    last_missing: Option<Instant>,
    avoid_until: Option<Instant>,
    /// When the averages were last decayed.
    updated: Instant,
    /// When each sub-request in flight was sent.
    in_flight: Vec<Instant>,
    last_response: Instant,
}

impl TargetStats {
    /// Starts with neutral values: median latency and no failures.
    pub fn new(now: Instant) -> Self {
        Self {
            latency_ratio: 1.0,
            failure_rate: 0.0,
            missing_responses: 0,
            last_missing: None,
            avoid_until: None,
            updated: now,
            in_flight: Vec::new(),
            last_response: now,
        }
    }

    /// Records that a sub-request was sent.
    pub fn start_request(&mut self, now: Instant) {
        self.in_flight.push(now);
    }

    /// Records that the sub-request sent at `started` has ended or was cancelled.
    pub fn end_request(&mut self, started: Instant) {
        if let Some(at) = self.in_flight.iter().position(|it| *it == started) {
            self.in_flight.swap_remove(at);
        }
    }

    /// Number of sub-requests that this host has in flight at the target.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Updates the statistics with the outcome of a sub-request.
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
                self.last_missing = Some(now);
            }
        }
    }

    /// Expected latency of a sub-request on a route with this median latency, without the network round trip, plus
    /// penalties for failures, missing responses and a stall.
    pub fn cost(&self, median: Duration, slots: u32, now: Instant) -> Duration {
        let decay_factor = self.decay_factor(now);
        let latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay_factor;
        // A quadratic term: a sub-request has to queue only if all slots are taken, and other hosts use the slots too.
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

    /// Whether the target has not responded lately and need not be asked before other targets have been tried.
    pub fn is_down(&self, now: Instant) -> bool {
        let is_recent = |it: Instant| now.saturating_duration_since(it) < DOWN_PERIOD;
        self.missing_responses >= DOWN_MISSING_RESPONSES && self.last_missing.is_some_and(is_recent)
    }

    /// Whether the target has requests in flight but has not responded to any for longer than expected.
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

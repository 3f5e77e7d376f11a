//! Latency estimates of a route's sub-requests: the median, and the threshold from which a sub-request is late.

use std::time::Duration;

/// The quantile above which a sub-request is late.
const LATE_QUANTILE: f64 = 0.94;

/// The median, to which the latencies of targets are compared.
const MEDIAN_QUANTILE: f64 = 0.5;

/// How far one sample moves an estimate, as a share of the estimate.
const STEP_RATIO: f64 = 0.05;

/// Lower bound of an estimate, in seconds. Steps are relative, so they would vanish near 0.
const MIN_ESTIMATE_S: f64 = 0.000_5;

/// Upper bound of an estimate, in seconds. Expected latencies are multiples of an estimate, which must not exceed the range
/// of [`Duration`], whatever objective an operator has set.
const MAX_ESTIMATE_S: f64 = 86_400.0;

/// Streaming estimates of two quantiles. Each sample moves them by a small step.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    median_s: f64,
    late_s: f64,
}

impl LatencyEstimate {
    /// Starts with fixed shares of the route's objective.
    pub fn new(objective: Duration) -> Self {
        let objective_s = objective.as_secs_f64();
        Self {
            median_s: (objective_s / 10.0).clamp(MIN_ESTIMATE_S, MAX_ESTIMATE_S),
            late_s: (objective_s / 4.0).clamp(MIN_ESTIMATE_S, MAX_ESTIMATE_S),
        }
    }

    /// Adds the latency of a target, without the network round trip.
    pub fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        self.median_s = adjusted(self.median_s, took_s, MEDIAN_QUANTILE);
        self.late_s = adjusted(self.late_s, took_s, LATE_QUANTILE).max(self.median_s);
    }

    /// The estimated median latency.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_s)
    }

    /// The latency above which a sub-request is late.
    pub fn late_threshold(&self) -> Duration {
        Duration::from_secs_f64(self.late_s)
    }
}

/// Moves the estimate up by the step times `quantile` if the sample is above it, otherwise down by the step times
/// `1 - quantile`. In equilibrium a share `quantile` of the samples is below the estimate.
fn adjusted(estimate_s: f64, sample_s: f64, quantile: f64) -> f64 {
    let direction = if sample_s > estimate_s { quantile } else { quantile - 1.0 };
    (estimate_s * (1.0 + STEP_RATIO * direction)).clamp(MIN_ESTIMATE_S, MAX_ESTIMATE_S)
}

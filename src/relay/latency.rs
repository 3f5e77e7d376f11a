//! The usual time of a route's sub-requests, and the time after which one is late.

use std::time::Duration;

/// The quantile after which a sub-request counts as late.
const LATE_QUANTILE: f64 = 0.94;

/// The median, against which targets are compared.
const MEDIAN_QUANTILE: f64 = 0.5;

/// How much one sample moves an estimate, as a share of the estimate.
const STEP_RATIO: f64 = 0.05;

/// The shortest estimate, in seconds, so that steps never vanish.
const MIN_ESTIMATE_S: f64 = 0.000_5;

/// Estimates of two quantiles, each moved by a small step with each sample.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    median_s: f64,
    late_s: f64,
}

impl LatencyEstimate {
    /// Starts with a share of the time within which the whole request should be answered.
    pub fn new(objective: Duration) -> Self {
        let objective_s = objective.as_secs_f64();
        Self {
            median_s: (objective_s / 10.0).max(MIN_ESTIMATE_S),
            late_s: (objective_s / 4.0).max(MIN_ESTIMATE_S),
        }
    }

    /// Records the time that a target took, without the way there and back.
    pub fn record(&mut self, took: Duration) {
        let took_s = took.as_secs_f64();
        self.median_s = adjusted(self.median_s, took_s, MEDIAN_QUANTILE);
        self.late_s = adjusted(self.late_s, took_s, LATE_QUANTILE).max(self.median_s);
    }

    /// The median.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_s)
    }

    /// The time after which a sub-request is late.
    pub fn late_threshold(&self) -> Duration {
        Duration::from_secs_f64(self.late_s)
    }
}

/// Up by `quantile` steps if the sample is above, else down by the rest: at rest both happen as often as the quantile
/// says.
fn adjusted(estimate_s: f64, sample_s: f64, quantile: f64) -> f64 {
    let direction = if sample_s > estimate_s { quantile } else { quantile - 1.0 };
    (estimate_s * (1.0 + STEP_RATIO * direction)).max(MIN_ESTIMATE_S)
}

//! Decisions about a rollout: whether the new version is bad, and when which stage follows.

mod schedule;
mod verdict;

pub use schedule::{LEASE_MS, SILENCE_MS, Situation, finishing_ms, next, trial_ppm};
pub use verdict::{BAD_NATS, DOUBT_NATS, Trail, Verdict, judge};

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of latency buckets. The last one has no upper bound.
pub const BUCKETS: usize = 64;

/// Upper bound of the first latency bucket, in microseconds.
const FIRST_BOUND_US: f64 = 250.0;

/// Ratio of the upper bounds of neighbouring buckets: four buckets double the latency, and the bound of the last but one
/// is 14 s.
const BUCKET_RATIO: f64 = 1.189_207_115_002_721;

/// Cumulative counts of the answers of one side on one route.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of answers, failures included. An exchange that ends without an answer counts as a failure if the request
    /// was sent; one that was refused without being run does not count.
    pub answers: u64,
    /// Number of failures: status 5xx other than a refusal, an invalid answer, or none.
    pub failures: u64,
    /// Number of answers by latency bucket, see [`bucket`]; short if the last buckets are empty. Only answers that are no
    /// failures and come from targets that are not cold.
    pub latencies: Vec<u64>,
}

impl Counts {
    /// Records an answer, or its absence as a failure. `latency` is none if it says nothing about the version: that of a
    /// failure or of a cold target.
    pub fn record(&mut self, failed: bool, latency: Option<Duration>) {
        self.answers += 1;
        self.failures += u64::from(failed);
        let Some(latency) = latency else { return };
        let bucket = bucket(latency);
        if self.latencies.len() <= bucket {
            self.latencies.resize(bucket + 1, 0);
        }
        self.latencies[bucket] += 1;
    }

    /// Adds the counts of another host.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        if self.latencies.len() < other.latencies.len() {
            self.latencies.resize(other.latencies.len().min(BUCKETS), 0);
        }
        for (sum, it) in self.latencies.iter_mut().zip(&other.latencies) {
            *sum += it;
        }
    }

    /// The counts since an earlier state.
    pub fn since(&self, earlier: &Self) -> Self {
        let latencies = self.latencies.iter().enumerate();
        let before = |bucket: usize| earlier.latencies.get(bucket).copied().unwrap_or(0);
        Self {
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            latencies: latencies.map(|(at, it)| it.saturating_sub(before(at))).collect(),
        }
    }
}

/// The latency bucket of an answer.
pub fn bucket(latency: Duration) -> usize {
    let us = latency.as_secs_f64() * 1e6;
    if us <= FIRST_BOUND_US {
        return 0;
    }
    let bucket = (us / FIRST_BOUND_US).log(BUCKET_RATIO).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

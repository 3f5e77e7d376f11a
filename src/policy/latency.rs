//! Recent latency of the sub-requests of a group.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The length of a window. A reading covers the last one to two windows.
pub const WINDOW: Duration = Duration::from_secs(10);

/// The percentile is computed again after this many samples, so that its cost per sample is small.
pub const REFRESH_SAMPLES: u64 = 64;

/// The quantile that starts a hedge. It lies above 1 minus the default hedge budget of 3%: below that, ordinary late
/// sub-requests use the budget up before real stragglers are due.
pub const TAIL_QUANTILE: f64 = 0.98;

/// With fewer samples than this a 98th percentile is mostly chance.
pub const MIN_SAMPLES: u64 = 50;

/// The longest latency that is told apart, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Two digits keep the error under 1% at about 20 KB for a histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The 98th percentile over two overlapping windows: both record each sample, the older one is read and cleared in
/// turn.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    newer_since: Instant,
    tail: Option<Duration>,
    unseen: u64,
}

impl LatencyWindow {
    /// Makes an empty history.
    pub fn new(now: Instant) -> Self {
        let empty = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("valid bounds");
        Self { older: empty.clone(), newer: empty, newer_since: now, tail: None, unseen: 0 }
    }

    /// Records one latency.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        self.older.saturating_record(us);
        self.newer.saturating_record(us);
        self.unseen += 1;
        if self.unseen >= REFRESH_SAMPLES || self.older.len() <= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// The 98th percentile as of the last [`REFRESH_SAMPLES`] samples; `None` with fewer than [`MIN_SAMPLES`].
    pub fn tail(&mut self, now: Instant) -> Option<Duration> {
        self.rotate(now);
        self.tail
    }

    /// Swaps the windows once for each window length that has passed. Two cover the whole history.
    fn rotate(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.newer_since).as_nanos() / WINDOW.as_nanos();
        if passed == 0 {
            return;
        }
        for _ in 0..passed.min(2) {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
        self.newer_since += WINDOW * u32::try_from(passed).unwrap_or(u32::MAX);
        self.refresh();
    }

    fn refresh(&mut self) {
        self.unseen = 0;
        let enough = self.older.len() >= MIN_SAMPLES;
        self.tail =
            enough.then(|| Duration::from_micros(self.older.value_at_quantile(TAIL_QUANTILE)));
    }
}

//! The tail latency of a group's recent sub-requests, from which the hedge delay is derived.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The length of a window. The percentile covers the samples of the last one to two windows.
pub const WINDOW: Duration = Duration::from_secs(10);

/// The percentile is recomputed after this many samples, to amortise its cost; while a window has fewer, after each.
pub const REFRESH_SAMPLES: u64 = 64;

/// The quantile that is used as the hedge delay. It must exceed 0.97, which is 1 minus the default hedge budget of 3%:
/// at a lower quantile, sub-requests that are only somewhat slow exhaust the budget before real stragglers are due.
pub const TAIL_QUANTILE: f64 = 0.98;

/// With fewer samples than this, the 98th percentile is mostly noise.
pub const MIN_SAMPLES: u64 = 50;

/// The highest latency that the histograms track, in microseconds. Longer ones are recorded as this value.
const MAX_US: u64 = 60_000_000;

/// The precision of the histograms: two digits keep the error under 1% at about 20 KB per histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// The 98th percentile over a sliding window.
///
/// Two overlapping histograms record each sample. The percentile is read from the older one. After each [`WINDOW`] the
/// older one is cleared and the two change places.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    older: Histogram<u32>,
    newer: Histogram<u32>,
    newer_since: Instant,
    tail: Option<Duration>,
    since_refresh: u64,
}

impl LatencyWindow {
    /// Creates a window without samples.
    pub fn new(now: Instant) -> Self {
        let empty = Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS).expect("valid bounds");
        Self { older: empty.clone(), newer: empty, newer_since: now, tail: None, since_refresh: 0 }
    }

    /// Records a sample.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        self.older.saturating_record(us);
        self.newer.saturating_record(us);
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_SAMPLES || self.older.len() <= REFRESH_SAMPLES {
            self.refresh();
        }
    }

    /// The 98th percentile, at most [`REFRESH_SAMPLES`] samples out of date. `None` with fewer than [`MIN_SAMPLES`]
    /// samples.
    pub fn tail(&mut self, now: Instant) -> Option<Duration> {
        self.rotate(now);
        self.tail
    }

    /// Swaps and clears the histograms once for each window that has passed. Two swaps clear both, so more are skipped.
    fn rotate(&mut self, now: Instant) {
        let windows =
            now.saturating_duration_since(self.newer_since).as_nanos() / WINDOW.as_nanos();
        if windows == 0 {
            return;
        }
        for _ in 0..windows.min(2) {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
        self.newer_since += WINDOW * u32::try_from(windows).unwrap_or(u32::MAX);
        self.refresh();
    }

    fn refresh(&mut self) {
        self.since_refresh = 0;
        let enough = self.older.len() >= MIN_SAMPLES;
        self.tail =
            enough.then(|| Duration::from_micros(self.older.value_at_quantile(TAIL_QUANTILE)));
    }
}

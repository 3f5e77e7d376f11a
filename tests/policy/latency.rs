use std::time::{Duration, Instant};

use gentianpass::policy::{
    hedge::DelayBounds,
    latency::{LatencyWindow, MIN_SAMPLES, REFRESH_SAMPLES, WINDOW},
};
use proptest::prelude::*;

/// A reference implementation that keeps all samples, as times in milliseconds and latencies in microseconds, and sorts
/// them for each percentile.
struct Reference {
    samples: Vec<(u64, u64)>,
    since_refresh: u64,
    window_index: u64,
    tail: Option<u64>,
}

impl Reference {
    fn refresh(&mut self) {
        self.since_refresh = 0;
        let mut recent: Vec<u64> = self.recent().collect();
        recent.sort_unstable();
        let rank = (recent.len() * 98).div_ceil(100).max(1);
        let enough = recent.len() as u64 >= MIN_SAMPLES;
        self.tail = enough.then(|| recent[rank - 1]);
    }

    fn recent(&self) -> impl Iterator<Item = u64> {
        let window = WINDOW.as_millis() as u64;
        self.samples.iter().filter(move |it| it.0 / window + 1 >= self.window_index).map(|it| it.1)
    }

    fn rotate(&mut self, now_ms: u64) {
        let window_index = now_ms / WINDOW.as_millis() as u64;
        if window_index != self.window_index {
            self.window_index = window_index;
            self.refresh();
        }
    }

    fn record(&mut self, us: u64, now_ms: u64) {
        self.rotate(now_ms);
        self.samples.push((now_ms, us));
        self.since_refresh += 1;
        if self.since_refresh >= REFRESH_SAMPLES || self.recent().count() as u64 <= REFRESH_SAMPLES
        {
            self.refresh();
        }
    }
}

proptest! {
    #![proptest_config(crate::cases(200))]

    /// Guards against percentiles that include outdated samples or are off by more than 1%.
    #[test]
    fn tail_matches_reference(
        steps in prop::collection::vec((0..400_u64, 1..200_000_u64, 0..40_u32), 1..400),
    ) {
        let start = Instant::now();
        let mut latency = LatencyWindow::new(start);
        let mut reference =
            Reference { samples: Vec::new(), since_refresh: 0, window_index: 0, tail: None };
        let mut now_ms = 0;
        for (wait, us, long) in steps {
            now_ms += if long == 0 { wait * 60 } else { wait };
            let now = start + Duration::from_millis(now_ms);
            latency.record(Duration::from_micros(us), now);
            reference.record(us, now_ms);
            let found = latency.tail(now).map(|it| it.as_micros() as u64);
            prop_assert_eq!(found.is_some(), reference.tail.is_some());
            let (found, expected) = (found.unwrap_or(0), reference.tail.unwrap_or(0));
            prop_assert!(found.abs_diff(expected) * 100 <= expected, "{} {}", found, expected);
        }
    }
}

/// Guards against a hedge delay that stays high long after a slow period has ended.
#[test]
fn tail_expires() {
    let start = Instant::now();
    let mut latency = LatencyWindow::new(start);
    for _ in 0..1_000 {
        latency.record(Duration::from_millis(900), start);
    }
    assert!(latency.tail(start) > Some(Duration::from_millis(880)));
    assert_eq!(latency.tail(start + 2 * WINDOW), None);
}

/// Guards against hedges that are sent at once or never because the percentile is extreme or unknown.
#[test]
fn delay_bounds() {
    let bounds = DelayBounds::default();
    let ms = Duration::from_millis;
    assert_eq!(bounds.delay(None), bounds.cap);
    assert_eq!(bounds.delay(Some(Duration::from_micros(10))), bounds.floor);
    assert_eq!(bounds.delay(Some(ms(40))), ms(40));
    assert_eq!(bounds.delay(Some(ms(4_000))), bounds.cap);
}

//! Statistics of targets and the cost that is derived from them.

use std::time::{Duration, Instant};

use gentianpass::relay::{LatencyEstimate, Observation, TargetStats};

const MEDIAN: Duration = Duration::from_millis(10);
const SLOTS: u32 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a single slow response that sends the following requests to another region.
#[test]
fn one_slow_answer_raises_cost_little() {
    let now = Instant::now();
    let mut stats = TargetStats::new(now);
    stats.record(Observation::Answered(5.0), now);
    assert!(stats.cost(MEDIAN, SLOTS, now) < ms(16));
}

#[test]
fn slow_target_cost_decays() {
    let now = Instant::now();
    let mut stats = TargetStats::new(now);
    (0..30).for_each(|_| stats.record(Observation::Answered(8.0), now));
    assert!(stats.cost(MEDIAN, SLOTS, now) > ms(60));
    let later = now + Duration::from_secs(60);
    assert!(
        stats.cost(MEDIAN, SLOTS, later) < ms(12),
        "the statistics decay, so it is tried again"
    );
}

/// Guards against sending requests to a paused target, and against taking an idle target for a paused one.
#[test]
fn stalled_only_with_requests_in_flight() {
    let start = Instant::now();
    let mut stats = TargetStats::new(start);
    assert!(!stats.is_stalled(MEDIAN, start + ms(500)), "no request in flight");
    stats.start_request(start + ms(500));
    assert!(!stats.is_stalled(MEDIAN, start + ms(510)));
    assert!(stats.is_stalled(MEDIAN, start + ms(540)));
    stats.start_request(start + ms(530));
    stats.end_request(start + ms(530));
    stats.record(Observation::Answered(1.0), start + ms(541));
    assert!(!stats.is_stalled(MEDIAN, start + ms(545)), "it responds to other requests");
}

#[test]
fn avoided_longer_after_each_timeout() {
    let now = Instant::now();
    let mut stats = TargetStats::new(now);
    stats.record(Observation::NoResponse, now);
    assert!(stats.cost(MEDIAN, SLOTS, now + ms(100)) > Duration::from_secs(1));
    assert!(stats.cost(MEDIAN, SLOTS, now + ms(300)) < Duration::from_secs(1));
    stats.record(Observation::NoResponse, now + ms(300));
    assert!(
        stats.cost(MEDIAN, SLOTS, now + ms(700)) > Duration::from_secs(1),
        "avoided longer each time"
    );
    stats.record(Observation::Answered(1.0), now + ms(701));
    assert!(stats.cost(MEDIAN, SLOTS, now + ms(702)) < Duration::from_secs(1));
}

/// Guards against estimates that do not converge to the quantiles of the samples.
#[test]
fn estimates_converge_to_quantiles() {
    let mut latency = LatencyEstimate::new(Duration::from_millis(150));
    for round in 0..200u64 {
        for sample in 0..100u64 {
            latency.record(ms(1 + (sample * 37 + round) % 100));
        }
    }
    assert!((40..=60).contains(&latency.median().as_millis()), "{:?}", latency.median());
    assert!(
        (85..=100).contains(&latency.late_threshold().as_millis()),
        "{:?}",
        latency.late_threshold()
    );
}

#[test]
fn target_down_and_probed() {
    let now = Instant::now();
    let mut stats = TargetStats::new(now);
    stats.record(Observation::NoResponse, now);
    assert!(!stats.is_down(now), "one missing response may have other causes");
    stats.record(Observation::NoResponse, now);
    assert!(stats.is_down(now));
    assert!(!stats.is_down(now + ms(600)), "probed again");
    stats.record(Observation::Answered(1.0), now);
    assert!(!stats.is_down(now));
}

/// Guards against requests that fail because the cost of a busy target exceeds the range of durations. An operator may set
/// any objective.
#[test]
fn cost_endless_objective() {
    let now = Instant::now();
    let median = LatencyEstimate::new(ms(u64::MAX)).median();
    let mut stats = TargetStats::new(now);
    (0..30).for_each(|_| stats.record(Observation::Answered(50.0), now));
    (0..64).for_each(|_| stats.start_request(now));
    assert!(stats.cost(median, 1, now) > ms(1_000));
    assert!(!stats.is_stalled(median, now));
}

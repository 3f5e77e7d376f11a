//! What is learned about a target, and what a sub-request there would take.

use std::time::{Duration, Instant};

use gentianpass::relay::{Observed, Standing, Typical};

const USUAL: Duration = Duration::from_millis(10);
const SLOTS: u32 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against one slow answer that sends the next requests to another region.
#[test]
fn cost_one_slow_answer() {
    let now = Instant::now();
    let mut standing = Standing::new(now);
    standing.learn(Observed::Answered(5.0), now);
    assert!(standing.cost(USUAL, SLOTS, now) < ms(16));
}

#[test]
fn cost_slow_target() {
    let now = Instant::now();
    let mut standing = Standing::new(now);
    (0..30).for_each(|_| standing.learn(Observed::Answered(8.0), now));
    assert!(standing.cost(USUAL, SLOTS, now) > ms(60));
    let later = now + Duration::from_secs(60);
    assert!(standing.cost(USUAL, SLOTS, later) < ms(12), "it is tried again");
}

/// Guards against requests that are sent to a target which pauses, and against calling an idle one paused.
#[test]
fn stalled_while_silent() {
    let start = Instant::now();
    let mut standing = Standing::new(start);
    assert!(!standing.is_stalled(USUAL, start + ms(500)), "nothing runs");
    standing.start(start + ms(500));
    assert!(!standing.is_stalled(USUAL, start + ms(510)));
    assert!(standing.is_stalled(USUAL, start + ms(540)));
    standing.start(start + ms(530));
    standing.end(start + ms(530));
    standing.learn(Observed::Answered(1.0), start + ms(541));
    assert!(!standing.is_stalled(USUAL, start + ms(545)), "it answers others");
}

#[test]
fn avoided_after_silence() {
    let now = Instant::now();
    let mut standing = Standing::new(now);
    standing.learn(Observed::Silent, now);
    assert!(standing.cost(USUAL, SLOTS, now + ms(100)) > Duration::from_secs(1));
    assert!(standing.cost(USUAL, SLOTS, now + ms(300)) < Duration::from_secs(1));
    standing.learn(Observed::Silent, now + ms(300));
    assert!(
        standing.cost(USUAL, SLOTS, now + ms(700)) > Duration::from_secs(1),
        "longer each time"
    );
    standing.learn(Observed::Answered(1.0), now + ms(701));
    assert!(standing.cost(USUAL, SLOTS, now + ms(702)) < Duration::from_secs(1));
}

/// The estimates must come to rest near the quantiles of the samples.
#[test]
fn typical_quantiles() {
    let mut typical = Typical::new(Duration::from_millis(150));
    for round in 0..200u64 {
        for sample in 0..100u64 {
            typical.record(ms(1 + (sample * 37 + round) % 100));
        }
    }
    assert!((40..=60).contains(&typical.median().as_millis()), "{:?}", typical.median());
    assert!((85..=100).contains(&typical.late().as_millis()), "{:?}", typical.late());
}

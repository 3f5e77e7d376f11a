//! The planned stop of a relay.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    event::{Event, Kind},
    relay::host::Host,
};

/// The part of the grace after which connections of callers are ended.
const SERVE_DIVISOR: u32 = 2;

/// Until the other hosts know that this one leaves.
const SPREAD: Duration = Duration::from_millis(300);

/// The last part of the grace in which the process ends by itself, so that it is not killed.
const EXIT_DIVISOR: u32 = 12;

/// How often running requests are looked at.
const PAUSE: Duration = Duration::from_millis(20);

/// Leaves the list of hosts, serves until callers know, ends connections and waits for running requests.
pub(super) async fn run(host: &Arc<Host>) {
    let start = Instant::now();
    let grace = host.cfg.grace;
    host.leave();
    host.poll_now.notify_one();
    host.events.record(Event::new(Kind::Stopping, "signal"));
    let end = start + grace - grace / EXIT_DIVISOR;
    let known = host.cfg.list_ttl;
    sleep(known.min(grace / SERVE_DIVISOR)).await;
    while Instant::now() < end {
        host.closing.notify_waiters();
        let spread = Instant::now() >= start + known + SPREAD;
        if spread && host.running.load(Ordering::Relaxed) == 0 {
            break;
        }
        sleep(PAUSE).await;
    }
    let running = host.running.load(Ordering::Relaxed);
    let cause = format!("stopped after {} ms, {running} requests cut", start.elapsed().as_millis());
    host.events.record(Event::new(Kind::Stopping, cause));
}

//! The planned stop of a relay.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::{task::AbortHandle, time::sleep};

use crate::{
    event::{Event, Kind},
    relay::host::Host,
};

/// The part of the grace after which connections of callers are ended, in percent.
const SERVE_PERCENT: u32 = 50;

/// The part of the grace after which no connection is accepted any more, in percent. The rest is for the requests that
/// have arrived until then.
const ACCEPT_PERCENT: u32 = 60;

/// The time in which a connection that was accepted last carries its first request.
const SPREAD: Duration = Duration::from_millis(300);

/// The part of the grace after which the process ends by itself, in percent, so that it is not killed.
const EXIT_PERCENT: u32 = 92;

/// How often running requests are looked at.
const PAUSE: Duration = Duration::from_millis(20);

/// Leaves the list of hosts, serves until callers know, ends connections and waits for running requests.
pub(super) async fn run(host: &Arc<Host>, listening: &AbortHandle) {
    let start = Instant::now();
    let grace = host.cfg.grace_period;
    host.leave();
    host.poll_now.notify_one();
    host.events.record(Event::new(Kind::Stopping, "signal"));
    sleep(host.cfg.address_ttl.min(grace * SERVE_PERCENT / 100)).await;
    let accept_until = start + grace * ACCEPT_PERCENT / 100;
    let end = start + grace * EXIT_PERCENT / 100;
    while Instant::now() < end {
        host.closing.notify_waiters();
        if Instant::now() >= accept_until {
            listening.abort();
        }
        let idle = host.running.load(Ordering::Relaxed) == 0;
        if idle && Instant::now() >= accept_until + SPREAD {
            break;
        }
        sleep(PAUSE).await;
    }
    let running = host.running.load(Ordering::Relaxed);
    let cause = format!("stopped after {} ms, {running} requests cut", start.elapsed().as_millis());
    host.events.record(Event::new(Kind::Stopping, cause));
}

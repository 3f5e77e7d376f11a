//! Graceful shutdown of a relay.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    event::{Event, Kind},
    relay::host::Host,
};

/// The latest point in the grace period at which connections of callers start to be closed, in percent.
const CLOSE_PERCENT: u32 = 50;

/// The point in the grace period from which no connection is accepted, in percent. The remaining time is for requests
/// that have arrived by then.
const ACCEPT_PERCENT: u32 = 60;

/// How long the process waits for the first request on connections that were accepted last.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// The point in the grace period at which requests that are still running get their final answer, in percent.
const ANSWER_PERCENT: u32 = 92;

/// The point in the grace period at which the process exits even if answers are still being sent, in percent. It exits
/// before it is killed.
const EXIT_PERCENT: u32 = 96;

/// How often running requests are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Marks this host as leaving and serves until callers have stopped using its address. Then closes connections and
/// waits for running requests, and for connections on which a part of a request has arrived.
pub(super) async fn run(host: &Arc<Host>, cause: &str) {
    let start = Instant::now();
    let grace = host.cfg.grace_period;
    host.start_leaving(start + grace * ANSWER_PERCENT / 100);
    host.submit_now.notify_one();
    host.events.record(Event::new(Kind::Stopping, cause));
    sleep(host.cfg.address_ttl.min(grace * CLOSE_PERCENT / 100)).await;
    let accept_until = start + grace * ACCEPT_PERCENT / 100;
    let end = start + grace * EXIT_PERCENT / 100;
    while Instant::now() < end {
        if host.answer_by().is_some_and(|it| it <= Instant::now()) {
            host.end_requests();
        }
        host.close_connections.notify_waiters();
        if Instant::now() >= accept_until {
            host.stop_accepting.notify_one();
        }
        let idle = host.running.load(Ordering::Relaxed) == 0
            && host.connections.load(Ordering::Relaxed) == 0;
        if idle && Instant::now() >= accept_until + FIRST_REQUEST_WAIT {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    let running = host.running.load(Ordering::Relaxed);
    let cause = format!(
        "stopped after {} ms with {running} requests unanswered",
        start.elapsed().as_millis()
    );
    host.events.record(Event::new(Kind::Stopping, cause));
}

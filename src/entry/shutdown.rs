//! A planned stop: interrupts no request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    entry::{host::Host, owners::Owners, poll, request_tracker::ShutdownPhase},
    event::{Event, Kind as EventKind},
    state::Change,
};

/// How long the commit that this host leaves is tried. Without a quorum the host serves nobody anyway.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two attempts.
const LEAVE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long the removal of this host is tried; the control hosts expire it otherwise.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long new requests are still answered, with a rejection, before connections are closed. A request that was on
/// its way when the host began to reject gets an answer.
const REJECT_PERIOD: Duration = Duration::from_millis(500);

/// How long requests in progress may take: longer than the longest deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(65);

/// Leaves the list of entry hosts, serves until no caller holds an old list, then finishes what runs.
pub(super) async fn drain<O: Owners>(host: &Host<O>) {
    host.record(Event::new(EventKind::Stopping, "planned stop"));
    host.requests.advance(ShutdownPhase::Leaving);
    let left = leave(host).await;
    // Another entry host may hand out an old list for as long as its lease lasts.
    let cfg = &host.context.cfg;
    let list_lifetime = Duration::from_millis(cfg.entries_ttl_ms + cfg.lease_ms);
    if left {
        sleep(list_lifetime).await;
    }
    host.requests.advance(ShutdownPhase::Rejecting);
    sleep(REJECT_PERIOD).await;
    if tokio::time::timeout(DRAIN_TIMEOUT, host.requests.wait_idle()).await.is_err() {
        log::warn!("action=stop result=\"requests still run after {DRAIN_TIMEOUT:?}\"");
    }
}

/// Releases the targets and removes this host from the control state.
pub(super) async fn release<O: Owners>(host: &Arc<Host<O>>) {
    host.owners.stop().await;
    let name = host.context.cfg.name.clone();
    let change = Change::RemoveNode { name, incarnation: host.context.incarnation };
    if let Err(err) = host.context.control.submit(None, change, REMOVE_TIMEOUT).await {
        log::warn!("action=remove_node result={err:?}");
    }
}

async fn leave<O: Owners>(host: &Host<O>) -> bool {
    let deadline = Instant::now() + LEAVE_TIMEOUT;
    while Instant::now() < deadline {
        match poll::join(host).await {
            Ok(()) => return true,
            Err(err) => log::warn!("action=leave result={err:?}"),
        }
        sleep(LEAVE_RETRY_PAUSE).await;
    }
    false
}

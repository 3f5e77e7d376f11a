//! The planned stop, which interrupts no request.
//!
//! The host has itself removed from the list of entry hosts and serves until all copies of the old list have expired.
//! It then rejects new requests, finishes the running ones, and leaves the control state.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time::sleep;

use crate::{
    entry::{
        dispatch::SETTLE_TIMEOUT, host::Host, owners::Owners, poll, query::MAX_DEADLINE_MS,
        request_tracker::ShutdownPhase,
    },
    event::{Event, Kind as EventKind},
    state::Change,
};

/// How long the host tries to commit that it leaves. Without a quorum its lease expires and it cannot serve anyway.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The pause between two attempts to commit that the host leaves.
const LEAVE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long the host tries to remove itself from the control state. If that fails, the control hosts expire it.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long new requests are rejected before connections are closed, so that a request that was in transit when the
/// host began to reject is answered too.
const REJECT_PERIOD: Duration = Duration::from_millis(500);

/// How long to wait for requests in progress: the longest deadline of a caller, after which the outcome of a dispatch may
/// still have to be recorded, and some time for the last responses.
const DRAIN_TIMEOUT: Duration =
    Duration::from_millis(MAX_DEADLINE_MS + 5_000).saturating_add(SETTLE_TIMEOUT);

/// Leaves the list of entry hosts, serves until no caller holds an old list, then rejects new requests and waits for
/// those in progress.
pub(super) async fn drain<O: Owners>(host: &Host<O>) {
    host.record(Event::new(EventKind::Stopping, "planned stop"));
    host.requests.advance(ShutdownPhase::Leaving);
    let left = leave(host).await;
    // Another entry host may hand out the old list until its lease expires, and a caller uses it for `entries_ttl_ms`.
    let cfg = &host.context.cfg;
    let list_lifetime = Duration::from_millis(cfg.entries_ttl_ms + cfg.lease_ms);
    if left {
        sleep(list_lifetime).await;
    }
    host.requests.advance(ShutdownPhase::Rejecting);
    sleep(REJECT_PERIOD).await;
    if tokio::time::timeout(DRAIN_TIMEOUT, host.requests.wait_idle()).await.is_err() {
        log::warn!("action=stop result=\"requests still in progress after {DRAIN_TIMEOUT:?}\"");
    }
}

/// Hands over the targets and removes this host from the control state.
pub(super) async fn release<O: Owners>(host: &Arc<Host<O>>) {
    host.owners.stop().await;
    let name = host.context.cfg.name.clone();
    let change = Change::RemoveNode { name, incarnation: host.context.incarnation };
    if let Err(err) = host.context.control.submit(None, change, REMOVE_TIMEOUT).await {
        log::warn!("action=remove_node result={err:?}");
    }
}

/// Commits that this host leaves. Returns whether that succeeded in time.
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

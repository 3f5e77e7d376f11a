//! Sends the requests of a fan-out to the owners, and passes their answers and the timers back to it.

use std::sync::Arc;

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::sleep_until;
use tracing::{Instrument, info_span};

use crate::{
    entry::{fan_out::FanOut, host::Host, owner_request::OwnerRequest, owners::Owners},
    error::Result,
    trace,
    wire::owner::{BatchId, Progress},
};

/// Runs a fan-out until none of its sub-requests is running or deferred.
pub(super) async fn run<O: Owners>(
    host: &Arc<Host<O>>,
    fan_out: &mut FanOut<O>,
    first: Vec<OwnerRequest>,
) {
    let mut calls = FuturesUnordered::new();
    let mut requests = first;
    loop {
        for request in requests {
            match request {
                OwnerRequest::Cancel(..) => {
                    let host = host.clone();
                    tokio::spawn(async move { cancel(&host, vec![request]).await });
                }
                request => calls.push(call(host, request)),
            }
        }
        if fan_out.is_idle() {
            return;
        }
        requests = tokio::select! {
            Some((id, answer)) = calls.next() => fan_out.handle_progress(id, answer),
            () = sleep_until(fan_out.next_timer().into()) =>
                fan_out.handle_timer(std::time::Instant::now()),
        };
    }
}

/// Sends the cancellations among these requests; ignores the others.
pub(super) async fn cancel<O: Owners>(host: &Host<O>, requests: Vec<OwnerRequest>) {
    for request in requests {
        if let OwnerRequest::Cancel(peer, id, shards) = request {
            host.owners.cancel(&peer, id, shards).await;
        }
    }
}

async fn call<O: Owners>(host: &Host<O>, request: OwnerRequest) -> (BatchId, Result<Progress>) {
    match request {
        OwnerRequest::Exec(peer, mut batch) => {
            let span = info_span!("owner_call", owner = %peer.name, subs = batch.items.len());
            batch.traceparent = trace::traceparent(&span);
            let id = batch.id;
            (id, host.owners.exec(&peer, *batch).instrument(span).await)
        }
        OwnerRequest::Collect { peer, id, pause, wait } => {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let span = info_span!("owner_collect", owner = %peer.name);
            (id, host.owners.collect(&peer, id, wait).instrument(span).await)
        }
        OwnerRequest::Cancel(_, id, _) => (id, Ok(Progress::default())),
    }
}

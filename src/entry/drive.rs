//! Carries the messages of a fan-out to the owners and their answers back.

use std::sync::Arc;

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::sleep_until;
use tracing::{Instrument, info_span};

use crate::{
    entry::{fan::Fan, host::Host, owners::Owners, step::Step},
    error::Result,
    trace,
    wire::owner::{BatchId, Progress},
};

/// Runs a fan-out until nothing of it is in progress.
pub(super) async fn run<O: Owners>(host: &Arc<Host<O>>, fan: &mut Fan<O>, first: Vec<Step>) {
    let mut calls = FuturesUnordered::new();
    let mut steps = first;
    loop {
        for step in steps {
            match step {
                Step::Cancel(..) => {
                    let host = host.clone();
                    tokio::spawn(async move { cancel(&host, vec![step]).await });
                }
                step => calls.push(call(host, step)),
            }
        }
        if fan.idle() {
            return;
        }
        steps = tokio::select! {
            Some((id, answer)) = calls.next() => fan.progress(id, answer),
            () = sleep_until(fan.next_tick().into()) => fan.tick(std::time::Instant::now()),
        };
    }
}

/// Sends cancellations; other steps are ignored.
pub(super) async fn cancel<O: Owners>(host: &Host<O>, steps: Vec<Step>) {
    for step in steps {
        if let Step::Cancel(peer, id, shards) = step {
            host.owners.cancel(&peer, id, shards).await;
        }
    }
}

async fn call<O: Owners>(host: &Host<O>, step: Step) -> (BatchId, Result<Progress>) {
    match step {
        Step::Exec(peer, mut batch) => {
            let span = info_span!("owner_call", owner = %peer.name, subs = batch.items.len());
            batch.traceparent = trace::traceparent(&span);
            let id = batch.id;
            (id, host.owners.exec(&peer, *batch).instrument(span).await)
        }
        Step::Collect { peer, id, pause, wait } => {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let span = info_span!("owner_collect", owner = %peer.name);
            (id, host.owners.collect(&peer, id, wait).instrument(span).await)
        }
        Step::Cancel(_, id, _) => (id, Ok(Progress::default())),
    }
}

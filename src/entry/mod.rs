//! The entry host: accepts requests of callers over HTTP and sends them on to the targets.
//!
//! A query is idempotent. The entry host that receives it is its root: it fans the query out to one replica of each
//! shard and merges the rows. A dispatch runs at most once, at one target. Each target has one owner, the entry host
//! that holds the connections to it; the root reaches a target only through its owner, which may be another host.

mod announce;
mod body;
mod canary;
mod dispatch;
mod driver;
mod entry_list;
mod fan_out;
mod host;
mod http;
mod metrics;
mod owner_request;
mod owner_router;
mod owners;
mod policy_state;
mod poll;
mod query;
mod replica;
mod reply;
mod request_tracker;
mod retry;
mod serve;
mod shard;
mod stop;

use std::sync::Arc;

use eyre::WrapErr;
use tokio::{net::TcpListener, sync::watch};

pub use host::HostContext;
pub use owner_router::OwnerRouter;
pub use owners::{Owners, Peer};
pub use query::MAX_DEADLINE_MS;

use crate::{
    error::{Error, Result},
    event::{Event, Kind as EventKind},
    owner::Owner,
    peer::Peers,
    settings, trace,
};

/// Runs an entry host with the owner of its targets. Drains and stops it when `shutdown` completes.
pub async fn run(mut cfg: settings::Entry, shutdown: impl Future) -> eyre::Result<()> {
    let http = bind(cfg.listen_http).await?;
    let rpc = bind(cfg.listen_rpc).await?;
    cfg.listen_http = http.local_addr()?;
    cfg.listen_rpc = rpc.local_addr()?;
    let _trace = trace::init(&cfg.name, cfg.trace_file.as_deref(), cfg.trace_one_in)?;
    let context = HostContext::new(cfg);
    let peers = Arc::new(Peers::new());
    let owner = Owner::new(
        &context.cfg,
        context.incarnation,
        context.control.clone(),
        context.lease.clone(),
        peers.clone(),
        context.events.clone(),
        &context.metrics,
    );
    let (stop_rpc, rpc_stop) = tokio::sync::oneshot::channel::<()>();
    let rpc_server = tokio::spawn(owner.clone().serve(rpc, rpc_stop));
    let owners = OwnerRouter::new(&context.cfg.name, context.incarnation, owner, peers);
    let served = serve(context, owners, http, shutdown).await;
    drop(stop_rpc);
    rpc_server.await??;
    Ok(served?)
}

/// Serves callers and targets until `shutdown` completes, then drains the host and removes it from the control state.
/// Fails with [`crate::error::Kind::Conflict`] if a newer process with this host's name has joined.
pub async fn serve<O: Owners>(
    context: HostContext,
    owners: O,
    listener: TcpListener,
    shutdown: impl Future,
) -> Result<()> {
    let host = Arc::new(host::Host::new(context, owners));
    host.record(Event::new(EventKind::Started, format!("http={}", host.context.cfg.listen_http)));
    let (closing, closed) = watch::channel(false);
    let accept = serve::run(host.clone(), listener, http::router(host.clone()), closed);
    let accept = tokio::spawn(accept);
    let lease = AbortOnDrop(tokio::spawn(poll::watch_lease(host.clone())));
    let mut poll = AbortOnDrop(tokio::spawn(poll::run(host.clone())));
    let drained = async {
        shutdown.await;
        stop::drain(&host).await;
    };
    let superseded = tokio::select! {
        () = drained => None,
        ended = &mut poll.0 => Some(ended.unwrap_or_else(|err| join_error(&err))),
    };
    closing.send_replace(true);
    accept.await.map_err(|err| join_error(&err))?;
    if let Some(err) = superseded {
        host.record(Event::new(EventKind::Stopping, err.to_string()));
        return Err(err);
    }
    drop(poll);
    stop::release(&host).await;
    drop(lease);
    Ok(())
}

/// A task that is aborted when this handle is dropped.
struct AbortOnDrop<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn join_error(err: &tokio::task::JoinError) -> Error {
    Error::new(crate::error::Kind::Internal, err.to_string())
}

async fn bind(addr: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
}

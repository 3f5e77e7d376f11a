//! The entry host: callers' HTTP API, root of queries, dispatch, announcements, and the process around them.

mod announce;
mod body;
mod canary;
mod decide;
mod dispatch;
mod drive;
mod fan;
mod fleet;
mod gate;
mod host;
mod http;
mod list;
mod metrics;
mod owners;
mod poll;
mod query;
mod replica;
mod reply;
mod retry;
mod serve;
mod shard;
mod step;
mod stop;

use std::sync::Arc;

use eyre::WrapErr;
use tokio::{net::TcpListener, sync::watch};

pub use fleet::Fleet;
pub use host::Parts;
pub use owners::{Owners, Peer};
pub use query::MAX_DEADLINE_MS;

use crate::{
    error::{Error, Result},
    event::{Event, Kind as EventKind},
    owner::Owner,
    peer::Peers,
    settings, trace,
};

/// Runs an entry host until `shutdown` completes.
pub async fn run(mut cfg: settings::Entry, shutdown: impl Future) -> eyre::Result<()> {
    let http = bind(cfg.listen_http).await?;
    let rpc = bind(cfg.listen_rpc).await?;
    cfg.listen_http = http.local_addr()?;
    cfg.listen_rpc = rpc.local_addr()?;
    let _trace = trace::init(&cfg.name, cfg.trace_file.as_deref(), cfg.trace_one_in)?;
    let parts = Parts::new(cfg);
    let peers = Arc::new(Peers::new());
    let owner = Owner::new(
        &parts.cfg,
        parts.incarnation,
        parts.control.clone(),
        parts.lease.clone(),
        peers.clone(),
        parts.events.clone(),
        &parts.metrics,
    );
    let (stopped, stop) = tokio::sync::oneshot::channel::<()>();
    let rpc = tokio::spawn(owner.clone().serve(rpc, stop));
    let fleet = Fleet::new(&parts.cfg.name, parts.incarnation, owner, peers);
    let served = serve(parts, fleet, http, shutdown).await;
    drop(stopped);
    rpc.await??;
    Ok(served?)
}

/// Serves callers and targets until `shutdown` completes and the planned stop after it is done. It fails if a newer
/// process with this host's name takes over.
pub async fn serve<O: Owners>(
    parts: Parts,
    owners: O,
    listener: TcpListener,
    shutdown: impl Future,
) -> Result<()> {
    let host = Arc::new(host::Host::new(parts, owners));
    host.record(Event::new(EventKind::Started, format!("http={}", host.parts.cfg.listen_http)));
    let (closing, closed) = watch::channel(false);
    let accept = serve::run(host.clone(), listener, http::router(host.clone()), closed);
    let accept = tokio::spawn(accept);
    let lease = Task(tokio::spawn(poll::watch_lease(host.clone())));
    let mut poll = Task(tokio::spawn(poll::run(host.clone())));
    let drained = async {
        shutdown.await;
        stop::drain(&host).await;
    };
    let superseded = tokio::select! {
        () = drained => None,
        ended = &mut poll.0 => Some(ended.unwrap_or_else(|err| internal(&err))),
    };
    closing.send_replace(true);
    accept.await.map_err(|err| internal(&err))?;
    if let Some(err) = superseded {
        host.record(Event::new(EventKind::Stopping, err.to_string()));
        return Err(err);
    }
    drop(poll);
    stop::release(&host).await;
    drop(lease);
    Ok(())
}

/// A task that ends with its owner.
struct Task<T>(tokio::task::JoinHandle<T>);

impl<T> Drop for Task<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn internal(err: &tokio::task::JoinError) -> Error {
    Error::new(crate::error::Kind::Internal, err.to_string())
}

async fn bind(addr: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
}

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
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
};

pub use host::HostContext;
pub use owner_router::OwnerRouter;
pub use owners::{Owners, Peer};
pub use query::MAX_DEADLINE_MS;

use crate::{
    error::{Error, Result},
    event::{Event, Kind as EventKind},
    owner::Owner,
    peer::Peers,
    settings,
    supervise::Tasks,
    trace,
};

/// The tasks that accept requests of other entry hosts, accept those of callers and poll the control hosts, in logs.
const RPC_TASK: &str = "rpc";
const ACCEPT_TASK: &str = "accept";
const POLL_TASK: &str = "poll";

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
    let (stop_rpc, rpc_stop) = oneshot::channel::<()>();
    let mut tasks = Tasks::default();
    tasks.spawn(RPC_TASK, owner.clone().serve(rpc, rpc_stop));
    let owners = OwnerRouter::new(&context.cfg.name, context.incarnation, owner, peers);
    let mut failure = None;
    let stop = async {
        tokio::select! {
            _ = shutdown => {}
            it = tasks.ended() => failure = Some(it),
        }
    };
    let served = serve(context, owners, http, stop).await;
    drop(stop_rpc);
    tasks.wait(RPC_TASK).await?;
    served?;
    failure.map_or(Ok(()), |it| Err(it.into()))
}

/// Serves callers and targets until `shutdown` completes or an essential task ends, then drains the host and removes it
/// from the control state. Fails if a task has ended, and with [`crate::error::Kind::Conflict`] if a newer process with
/// this host's name has joined.
pub async fn serve<O: Owners>(
    context: HostContext,
    owners: O,
    listener: TcpListener,
    shutdown: impl Future,
) -> Result<()> {
    let host = Arc::new(host::Host::new(context, owners));
    host.record(Event::new(EventKind::Started, format!("http={}", host.context.cfg.listen_http)));
    let (closing, closed) = watch::channel(false);
    let (superseded_tx, superseded) = oneshot::channel();
    let mut tasks = Tasks::default();
    let router = http::router(host.clone());
    tasks.spawn(ACCEPT_TASK, serve::run(host.clone(), listener, router, closed));
    tasks.spawn("lease", poll::watch_lease(host.clone()));
    tasks.spawn(POLL_TASK, poll_until_superseded(host.clone(), superseded_tx));
    let mut failure = None;
    let drained = async {
        tokio::select! {
            _ = shutdown => {}
            it = tasks.ended() => failure = Some(it),
        }
        stop::drain(&host).await;
    };
    let superseded = tokio::select! {
        () = drained => None,
        Ok(err) = superseded => Some(err),
    };
    closing.send_replace(true);
    let accepted = tasks.wait(ACCEPT_TASK).await;
    if let Some(err) = superseded {
        host.record(Event::new(EventKind::Stopping, err.to_string()));
        return Err(err);
    }
    tasks.abort(POLL_TASK);
    stop::release(&host).await;
    match failure.or(accepted.err()) {
        Some(failure) => Err(Error::new(crate::error::Kind::Internal, failure.to_string())),
        None => Ok(()),
    }
}

/// Polls the control hosts for ever. Sends the error after which this host must stop at once.
async fn poll_until_superseded<O: Owners>(host: Arc<host::Host<O>>, tx: oneshot::Sender<Error>) {
    let _ = tx.send(poll::run(host).await);
    std::future::pending::<()>().await;
}

async fn bind(addr: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("cannot listen on {addr}"))
}

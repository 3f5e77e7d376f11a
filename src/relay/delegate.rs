//! Server for other relays. Runs the shards that they delegate to this relay and merges the results.

use std::{
    io,
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use hyper::Request;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep_until, timeout},
};

use crate::{
    inbound::{Connections, FrameStream, Listener, Slot},
    relay::{
        call,
        gather::ShardResults,
        host::Host,
        neighbour,
        peer::{self, PeerConnection},
        records::merge_records,
        request::{CallerConnection, Query},
        sender::Origin,
        view::ServiceKey,
    },
    route::To,
    wire::relay::{Delegation, Message, Progress, Reply, Sender},
};

/// A connection without a message for this time is closed: the other relay no longer uses it, or is gone.
const IDLE_TIMEOUT: Duration = peer::IDLE_TIMEOUT.saturating_mul(2);

/// Accepts connections until the future is dropped. Connections that are already open keep running.
pub(super) async fn serve(host: Arc<Host>, listener: TcpListener) {
    let mut listener = Listener::new(listener);
    let connections = Arc::new(Connections::new("relays", host.cfg.max_relay_connections()));
    loop {
        let (stream, addr) = listener.accept().await;
        let Some(slot) = connections.admit_from(addr.ip(), Instant::now()) else { continue };
        let host = host.clone();
        tokio::spawn(async move {
            if let Err(err) = serve_connection(&host, &slot, stream, addr.ip()).await {
                log::debug!("event=peer_closed cause={err:?}");
            }
        });
    }
}

async fn serve_connection(
    host: &Arc<Host>,
    slot: &Slot,
    stream: TcpStream,
    peer: IpAddr,
) -> io::Result<()> {
    let stream = FrameStream::new(stream, peer, host.memory.clone());
    let mut conn = PeerConnection::accepted(stream)?;
    loop {
        let message = tokio::select! {
            biased;
            message = timeout(IDLE_TIMEOUT, conn.receive()) => message??,
            () = slot.close_requested() => return Ok(()),
        };
        let _guard = slot.start_request();
        match message {
            Message::Ping => conn.send(&Reply::Accepted).await?,
            Message::Detach => return Ok(()),
            Message::Compare(it) => {
                host.neighbours.record(host, &it);
                conn.send(&Reply::Standing(neighbour::standing(host, Duration::ZERO))).await?;
            }
            Message::Fetch(revision) => {
                conn.send(&Reply::Config(neighbour::newer_config(host, revision))).await?;
            }
            Message::Quota(it) => conn.send(&Reply::Quota(host.quotas.serve(host, &it))).await?,
            Message::Delegate(it) => run_delegation(host, &mut conn, *it, peer, None).await?,
            Message::DelegateFor(sender, it) => {
                run_delegation(host, &mut conn, *it, peer, Some(&sender)).await?;
            }
        }
    }
}

async fn run_delegation(
    host: &Arc<Host>,
    conn: &mut PeerConnection<FrameStream>,
    delegation: Delegation,
    peer: IpAddr,
    sender: Option<&Sender>,
) -> io::Result<()> {
    match accept_delegation(host, delegation, peer, sender) {
        Ok((query, keys, top)) => run_shards(host, conn, &query, &keys, top).await,
        Err(cause) => {
            log::info!("event=delegation_refused cause={cause}");
            conn.send(&Reply::Refused(cause.to_owned())).await
        }
    }
}

/// Resolves the request, its shards and its number of records. The error is the reason why this relay refuses the
/// delegation.
fn accept_delegation(
    host: &Host,
    delegation: Delegation,
    peer: IpAddr,
    sender: Option<&Sender>,
) -> Result<(Arc<Query>, Vec<ServiceKey>, usize), &'static str> {
    let arrived = Instant::now();
    let view = host.view();
    if host.is_leaving() {
        return Err("leaving");
    }
    // A response must not mix results of two versions of the routing table.
    if view.table.version != delegation.version {
        return Err("another_version");
    }
    let mut request =
        Request::builder().method(delegation.method.as_str()).uri(delegation.uri.as_str());
    for (name, value) in &delegation.headers {
        request = request.header(name.as_str(), value.as_slice());
    }
    let (head, ()) = request.body(()).map_err(|_| "bad_request")?.into_parts();
    let body = host.memory.hold_message(peer, delegation.body).ok_or("memory_short")?;
    let mut query = Query::resolve(
        host,
        view,
        CallerConnection::Reused,
        head,
        body,
        arrived,
        &Origin::Relay(sender),
    )
    .map_err(|denial| denial.cause)?;
    query.soft_deadline = arrived + Duration::from_micros(delegation.partial_after_us);
    let To::Shards(shards) = &query.route().config.to else { return Err("no_shards") };
    let top = shards.top;
    let key = |at: &u16| query.route().services.get(usize::from(*at)).copied();
    let keys = delegation.shards.iter().map(key).collect::<Option<_>>().ok_or("no_shard")?;
    Ok((Arc::new(query), keys, top))
}

/// Runs the delegated shards and reports the results to the relay that delegated them. Results are held back and merged
/// until all shards have ended, the soft deadline has passed or a shard has failed.
async fn run_shards(
    host: &Arc<Host>,
    conn: &mut PeerConnection<FrameStream>,
    query: &Arc<Query>,
    keys: &[ServiceKey],
    top: usize,
) -> io::Result<()> {
    let _guard = host.track_request();
    conn.send(&Reply::Accepted).await?;
    let attempts = query.max_attempts();
    let mut calls: FuturesUnordered<_> =
        keys.iter().map(|key| call::call(host, query, *key, attempts)).collect();
    let mut results = ShardResults::default();
    let mut reported = 0;
    let soft_deadline = sleep_until(query.soft_deadline.into());
    let hard_deadline = sleep_until(query.hard_deadline.into());
    tokio::pin!(soft_deadline, hard_deadline);
    let mut soft_passed = false;
    while reported < keys.len() {
        tokio::select! {
            // Checks for cancellation first. After a pause of this process the delegating relay may already have closed
            // the connection, and then nothing must be sent to targets.
            biased;
            message = conn.receive() => return abort(query, message),
            Some(result) = calls.next() => results.record_call(result),
            () = &mut soft_deadline, if !soft_passed => soft_passed = true,
            () = &mut hard_deadline => {
                let pending = keys.len() - reported - results.ended();
                results.record_lost(pending, "timeout");
            }
        }
        let all_ended = reported + results.ended() == keys.len();
        if results.ended() > 0 && (all_ended || soft_passed || results.has_failed()) {
            reported += results.ended();
            let progress = std::mem::take(&mut results).into_progress(host, top);
            conn.send(&Reply::Progress(progress)).await?;
        }
    }
    query.detach.set();
    Ok(())
}

/// Ends a delegation because the other relay sent a message or closed the connection. After `Detach` running exchanges
/// may finish, otherwise they are aborted.
fn abort(query: &Query, message: io::Result<Message>) -> io::Result<()> {
    if let Message::Detach = message? {
        query.detach.set();
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

impl ShardResults {
    /// Merges the results into a message for the relay that delegated the shards.
    fn into_progress(self, host: &Host, top: usize) -> Progress {
        let signature = &host.cfg.headers.signature;
        let signatures = self.responses.iter().filter_map(|it| it.headers.get(signature));
        let leaving = self.responses.iter().filter_map(|it| it.leaving.clone()).collect();
        let records = merge_records(self.responses.iter().map(|it| &it.body[..]), top);
        Progress {
            signatures: signatures.map(|it| it.as_bytes().to_vec()).collect(),
            records,
            failed: self.failed,
            leaving,
        }
    }
}

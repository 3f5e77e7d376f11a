//! The listener for other relays: asks the shards that they delegate, and merges the parts.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use hyper::Request;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep_until,
};

use crate::{
    relay::{
        call, front,
        gather::{Parts, merge},
        host::Host,
        link::Link,
        request::{Connection, Query},
        view::ServiceKey,
    },
    route::To,
    wire::relay::{Delegation, Message, Progress, Reply},
};

/// Accepts connections until it is dropped. Connections that are open go on.
pub(super) async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        let stream = front::accept(&listener).await;
        let host = host.clone();
        tokio::spawn(async move {
            if let Err(err) = connection(&host, stream).await {
                log::debug!("event=peer_closed cause={err:?}");
            }
        });
    }
}

async fn connection(host: &Arc<Host>, stream: TcpStream) -> io::Result<()> {
    let mut link = Link::new(stream)?;
    loop {
        match link.receive().await? {
            Message::Ping => link.send(&Reply::Accepted).await?,
            Message::Detach => return Ok(()),
            Message::Delegate(it) => match open(host, *it) {
                Ok((query, keys, top)) => answer(host, &mut link, &query, &keys, top).await?,
                Err(cause) => {
                    log::info!("event=delegation_refused cause={cause}");
                    link.send(&Reply::Refused(cause.to_owned())).await?;
                }
            },
        }
    }
}

/// The request and its shards, or why this relay cannot take them.
fn open(
    host: &Host,
    delegation: Delegation,
) -> Result<(Arc<Query>, Vec<ServiceKey>, usize), &'static str> {
    let arrived = Instant::now();
    let view = host.view();
    if host.is_leaving() {
        return Err("leaving");
    }
    // All parts of an answer belong to one table of routes.
    if view.routes.version != delegation.version {
        return Err("another_version");
    }
    let mut request =
        Request::builder().method(delegation.method.as_str()).uri(delegation.uri.as_str());
    for (name, value) in &delegation.headers {
        request = request.header(name.as_str(), value.as_slice());
    }
    let (head, ()) = request.body(()).map_err(|_| "bad_request")?.into_parts();
    let mut query =
        Query::resolve(host, view, Connection::Kept, head, delegation.body.into(), arrived)?;
    query.stop_at = arrived + Duration::from_micros(delegation.partial_after_us);
    let To::Shards(shards) = &query.path().route.to else { return Err("no_shards") };
    let top = shards.top;
    let key = |at: &u16| query.path().to.get(usize::from(*at)).copied();
    let keys = delegation.shards.iter().map(key).collect::<Option<_>>().ok_or("no_shard")?;
    Ok((Arc::new(query), keys, top))
}

/// Asks the shards. Says what has become of them once all have ended or it is time to stop, and at once if one fails.
async fn answer(
    host: &Arc<Host>,
    link: &mut Link,
    query: &Arc<Query>,
    keys: &[ServiceKey],
    top: usize,
) -> io::Result<()> {
    let _counted = host.count();
    link.send(&Reply::Accepted).await?;
    let attempts = query.max_attempts();
    let mut calls: FuturesUnordered<_> =
        keys.iter().map(|key| call::call(host, query, *key, attempts)).collect();
    let mut parts = Parts::default();
    let mut ended = 0;
    let stop = sleep_until(query.stop_at.into());
    let give_up = sleep_until(query.give_up.into());
    tokio::pin!(stop, give_up);
    let mut stopping = false;
    while ended < keys.len() {
        tokio::select! {
            // The relay that asked may be gone since before this process could read the message.
            biased;
            message = link.receive() => return cancelled(query, message),
            Some(answer) = calls.next() => parts.take(answer),
            () = &mut stop, if !stopping => stopping = true,
            () = &mut give_up => {
                let left = keys.len() - ended - parts.ended();
                parts.lose(left, "timeout");
            }
        }
        let all = ended + parts.ended() == keys.len();
        if parts.ended() > 0 && (all || stopping || parts.has_failed()) {
            ended += parts.ended();
            let progress = std::mem::take(&mut parts).into_progress(host, top);
            link.send(&Reply::Progress(progress)).await?;
        }
    }
    query.leash.release();
    Ok(())
}

fn cancelled(query: &Query, message: io::Result<Message>) -> io::Result<()> {
    if let Message::Detach = message? {
        query.leash.release();
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

impl Parts {
    /// The parts as a delegate sends them.
    fn into_progress(self, host: &Host, top: usize) -> Progress {
        let signature = &host.cfg.headers.signature;
        let signatures = self.answers.iter().filter_map(|it| it.headers.get(signature));
        let records = merge(self.answers.iter().map(|it| &it.body[..]), top);
        Progress {
            signatures: signatures.map(|it| it.as_bytes().to_vec()).collect(),
            records,
            failed: self.failed,
        }
    }
}

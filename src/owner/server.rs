//! The RPC service of an owner for other entry hosts.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, future::Either};
use tarpc::{
    context::Context,
    serde_transport,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
    tokio_util::codec::LengthDelimitedCodec,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
};

use crate::{
    error::{Error, Result},
    event::{self, Event},
    owner::Owner,
    wire::{
        MAX_FRAME_BYTES,
        owner::{Batch, BatchId, Dispatch, Dispatched, Progress, Release, Service},
        target::Announcement,
    },
};

/// How many connections of other hosts may be open at once; each host needs one.
const MAX_CONNECTIONS: usize = 4_096;

/// How many calls of one connection may run at once.
const MAX_CALLS_PER_CONNECTION: usize = 8_192;

/// How long to wait after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often shutdown checks whether the running batches have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Owner {
    /// Serves other entry hosts until `shutdown` completes, and then until the running batches have been returned.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        shutdown: impl Future,
    ) -> Result<()> {
        let mut shutdown = pin!(shutdown);
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                _ = &mut shutdown => break,
                Some(_) = connections.join_next() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                self.reject_peer(peer, "too many connections");
                continue;
            };
            let owner = self.clone();
            connections.spawn(async move {
                owner.serve_peer(stream, peer).await;
                drop(permit);
            });
        }
        drop(listener);
        let end = Instant::now() + self.max_handover_wait();
        while Instant::now() < end && !self.batches.lock().is_empty() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        connections.shutdown().await;
        Ok(())
    }

    async fn serve_peer(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = serde_transport::new(framed, Bincode::default());
        let channel =
            BaseChannel::with_defaults(transport).max_concurrent_requests(MAX_CALLS_PER_CONNECTION);
        let mut requests = pin!(channel.requests());
        let mut calls = JoinSet::new();
        loop {
            let next = {
                let finished = pin!(calls.join_next());
                match futures::future::select(requests.next(), finished).await {
                    Either::Left((request, _)) => request,
                    Either::Right((Some(_), _)) => continue,
                    Either::Right((None, request)) => request.await,
                }
            };
            match next {
                Some(Ok(request)) => {
                    calls.spawn(request.execute(Server(self.clone()).serve()));
                }
                Some(Err(err)) => return self.reject_peer(peer, &err.to_string()),
                None => return,
            }
        }
    }

    fn reject_peer(&self, peer: SocketAddr, cause: &str) {
        let cause = format!("{peer}: {cause}");
        self.shared.events.record(Event::new(event::Kind::PeerRejected, cause));
    }
}

#[derive(Clone)]
struct Server(Arc<Owner>);

impl Service for Server {
    async fn exec(self, _: Context, batch: Batch) -> Result<Progress, Error> {
        self.0.exec(batch).await
    }

    async fn collect(self, _: Context, id: BatchId, wait_ms: u64) -> Result<Progress, Error> {
        self.0.collect(id, Duration::from_millis(wait_ms)).await
    }

    async fn cancel(self, _: Context, id: BatchId, shards: Vec<u32>) {
        self.0.cancel(id, shards).await;
    }

    async fn dispatch(self, _: Context, dispatch: Dispatch) -> Result<Dispatched, Error> {
        self.0.dispatch(dispatch).await
    }

    async fn release(self, _: Context, release: Release) -> Result<(), Error> {
        self.0.release(release)
    }

    async fn renew(self, _: Context, announcement: Announcement) -> Result<(), Error> {
        self.0.renew(announcement)
    }
}

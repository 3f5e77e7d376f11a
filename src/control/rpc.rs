//! RPC server of a control host, for entry hosts and for other control hosts.

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures::StreamExt;
use socket2::{SockRef, TcpKeepalive};
use tarpc::{
    ChannelError,
    context::Context,
    server::{BaseChannel, Channel},
    tokio_serde::{self, formats::Bincode},
};
use tokio::{net::TcpListener, task::JoinSet};
use tokio_util::codec::Framed;

use crate::{
    control::{driver::Input, host::Host, roll_call::Link},
    error::Result,
    event::{Event, Kind},
    inbound::{Connections, FrameCodec, FrameStream, Listener, Slot},
    raft::{Index, Message},
    state::Reply,
    wire::{
        MAX_FRAME_BYTES,
        control::{
            Evidence, Identity, JoinReply, MemberEndpoint, Poll, ProcessId, Service,
            ServiceRequest, ServiceResponse, Standing, Submit, Update,
        },
    },
};

/// Idle time before TCP keepalive probes check whether the peer still exists.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

type Codec = Bincode<tarpc::ClientMessage<ServiceRequest>, tarpc::Response<ServiceResponse>>;

type Connection = tokio_serde::Framed<
    Framed<FrameStream, FrameCodec>,
    tarpc::ClientMessage<ServiceRequest>,
    tarpc::Response<ServiceResponse>,
    Codec,
>;

#[derive(Clone)]
struct Server {
    host: Arc<Host>,
    link: Arc<Link>,
}

impl Service for Server {
    async fn poll(self, _: Context, poll: Poll) -> Result<Update> {
        self.link.record_poll(&poll.process());
        self.host.poll(poll).await.map(Update::packed)
    }

    async fn submit(self, _: Context, submit: Submit) -> Result<Reply> {
        self.host.submit(submit).await
    }

    async fn members(self, _: Context) -> Vec<MemberEndpoint> {
        self.host.member_addresses()
    }

    async fn identity(self, _: Context) -> Identity {
        self.host.identity()
    }

    async fn join(self, _: Context, identity: Identity) -> JoinReply {
        self.host.call_driver(|tx| Input::Join(identity, tx)).await.unwrap_or(JoinReply::Retry)
    }

    async fn raft(self, _: Context, from: SocketAddr, messages: Vec<Message>) {
        for message in messages {
            self.host.notify_driver(Input::Message(from, message));
        }
    }

    async fn read_index(self, _: Context, heartbeats: Vec<ProcessId>) -> Result<Index> {
        self.host.call_driver(|tx| Input::Read(heartbeats, tx)).await
    }

    async fn propose(self, _: Context, submit: Submit) -> Result<Reply> {
        self.host.propose(submit).await
    }

    async fn standing(self, _: Context) -> Standing {
        self.host.standing()
    }

    async fn record_evidence(self, _: Context, evidence: Evidence, forwarded: bool) -> Result<()> {
        self.host.record_evidence(evidence, forwarded).await
    }
}

/// Accepts connections until the future is dropped, which also cancels their requests.
pub async fn serve(host: Arc<Host>, listen: SocketAddr) -> io::Result<()> {
    let mut listener = Listener::new(TcpListener::bind(listen).await?);
    let connections = Arc::new(Connections::new("rpc", host.cfg.max_rpc_connections()));
    let mut tasks = JoinSet::new();
    loop {
        let (stream, addr) = listener.accept().await;
        let Some(slot) = connections.admit_from(addr.ip(), Instant::now()) else { continue };
        let stream = FrameStream::new(stream, addr.ip(), host.memory.clone());
        let framed = Framed::new(stream, FrameCodec { max_bytes: MAX_FRAME_BYTES });
        let connection = Connection::new(framed, Codec::default());
        drop(tasks.spawn(serve_connection(host.clone(), slot, addr, connection)));
        while tasks.try_join_next().is_some() {}
    }
}

async fn serve_connection(host: Arc<Host>, slot: Slot, addr: SocketAddr, connection: Connection) {
    let stream = connection.get_ref().get_ref().get_ref();
    let _ = stream.set_nodelay(true);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
    let link = Arc::new(Link::new(host.clone()));
    let server = Server { host: host.clone(), link };
    let mut requests = pin!(BaseChannel::with_defaults(connection).requests());
    let mut running = JoinSet::new();
    loop {
        tokio::select! {
            // Writes responses, so it goes before the end of the connection.
            biased;
            request = requests.next() => match request {
                Some(Ok(request)) => {
                    slot.set_busy(true);
                    drop(running.spawn(request.execute(server.clone().serve())));
                }
                Some(Err(err)) => return record_invalid_data(&host, addr, &err),
                None => return,
            },
            Some(_) = running.join_next() => {
                if running.is_empty() {
                    slot.set_busy(false);
                }
            }
            () = slot.close_requested(), if running.is_empty() => return,
        }
    }
}

/// Records an event if the peer sent invalid data. Broken connections are not recorded.
fn record_invalid_data(host: &Host, addr: SocketAddr, err: &ChannelError<io::Error>) {
    let ChannelError::Read(err) = err else { return };
    if err.kind() == io::ErrorKind::InvalidData {
        let cause = err.to_string();
        host.events
            .record(Event::new(Kind::PeerRejected, format!("invalid data from {addr}: {cause}")));
    }
}

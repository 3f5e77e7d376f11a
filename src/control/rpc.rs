//! The RPC listener of a control host.

use std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures::StreamExt;
use socket2::{SockRef, TcpKeepalive};
use tarpc::{
    ChannelError,
    context::Context,
    serde_transport::{Transport, tcp},
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{net::TcpStream, task::JoinSet};

use crate::{
    control::{driver::Input, host::Host},
    error::Result,
    event::{Event, Kind},
    raft::{Index, Message},
    state::Reply,
    wire::{
        MAX_FRAME_BYTES,
        control::{
            Identity, JoinReply, MemberEndpoint, Poll, ProcessId, Service, ServiceRequest,
            ServiceResponse, Submit, Update,
        },
    },
};

/// After this silence the system checks whether the peer still exists.
const KEEPALIVE: Duration = Duration::from_secs(10);

type Codec = Bincode<tarpc::ClientMessage<ServiceRequest>, tarpc::Response<ServiceResponse>>;

type Peer = Transport<
    TcpStream,
    tarpc::ClientMessage<ServiceRequest>,
    tarpc::Response<ServiceResponse>,
    Codec,
>;

#[derive(Clone)]
struct Server {
    host: Arc<Host>,
}

impl Service for Server {
    async fn poll(self, _: Context, poll: Poll) -> Result<Update> {
        self.host.poll(poll).await
    }

    async fn submit(self, _: Context, submit: Submit) -> Result<Reply> {
        self.host.submit(submit).await
    }

    async fn members(self, _: Context) -> Vec<MemberEndpoint> {
        self.host.seats()
    }

    async fn identity(self, _: Context) -> Identity {
        self.host.identity()
    }

    async fn join(self, _: Context, identity: Identity) -> JoinReply {
        self.host.ask(|tx| Input::Join(identity, tx)).await.unwrap_or(JoinReply::Retry)
    }

    async fn raft(self, _: Context, from: SocketAddr, messages: Vec<Message>) {
        for message in messages {
            self.host.tell(Input::Message(from, message));
        }
    }

    async fn read_index(self, _: Context, heard: Vec<ProcessId>) -> Result<Index> {
        self.host.ask(|tx| Input::Read(heard, tx)).await
    }

    async fn propose(self, _: Context, submit: Submit) -> Result<Reply> {
        self.host.propose(submit).await
    }
}

/// Accepts connections until it is dropped, which also ends their requests.
pub async fn serve(host: Arc<Host>, listen: SocketAddr) -> io::Result<()> {
    let mut incoming = tcp::listen(listen, Codec::default).await?;
    incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let mut connections = JoinSet::new();
    while let Some(accepted) = incoming.next().await {
        match accepted {
            Ok(peer) => drop(connections.spawn(serve_peer(host.clone(), peer))),
            Err(err) => log::warn!("event=accept_failed cause={:?}", err.to_string()),
        }
        while connections.try_join_next().is_some() {}
    }
    Ok(())
}

async fn serve_peer(host: Arc<Host>, peer: Peer) {
    let addr = peer.peer_addr();
    let _ = peer.get_ref().set_nodelay(true);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE);
    let _ = SockRef::from(peer.get_ref()).set_tcp_keepalive(&keepalive);
    let server = Server { host: host.clone() };
    let mut requests = pin!(BaseChannel::with_defaults(peer).requests());
    let mut running = JoinSet::new();
    while let Some(request) = requests.next().await {
        match request {
            Ok(request) => drop(running.spawn(request.execute(server.clone().serve()))),
            Err(err) => return note_failure(&host, addr.ok(), &err),
        }
        while running.try_join_next().is_some() {}
    }
}

/// Records a peer that sent invalid data. A connection that broke is no event.
fn note_failure(host: &Host, addr: Option<SocketAddr>, err: &ChannelError<io::Error>) {
    let ChannelError::Read(err) = err else { return };
    // The transport wraps the error of the codec.
    let wrapped = err.get_ref().and_then(|it| it.downcast_ref::<io::Error>());
    let err = wrapped.unwrap_or(err);
    if err.kind() == io::ErrorKind::InvalidData {
        let addr = addr.map_or_else(|| "?".into(), |it| it.to_string());
        let cause = err.to_string();
        host.events.record(Event::new(Kind::PeerRejected, format!("peer {addr}: {cause}")));
    }
}

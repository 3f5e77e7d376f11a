//! Server for stand-in control hosts in tests: accepts tarpc connections of entry hosts over the real wire protocol
//! and passes their calls to a handler. Calls between control hosts get an empty answer or an error.

use std::net::SocketAddr;

use futures::StreamExt;
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};

use crate::{
    error::{Error, Kind, Result},
    raft::{Index, Message},
    state::Reply,
    wire::{
        MAX_FRAME_BYTES,
        control::{
            Evidence, Identity, JoinReply, MemberEndpoint, Poll, ProcessId, Service, Standing,
            Submit, Update,
        },
    },
};

/// Answers the calls of entry hosts in place of a control host.
pub trait ControlHandler: Clone + Send + Sync + 'static {
    /// Answers a poll for the state.
    fn poll(&self, poll: Poll) -> impl Future<Output = Result<Update>> + Send;
    /// Answers a submitted change.
    fn submit(&self, submit: Submit) -> impl Future<Output = Result<Reply>> + Send;
    /// Records evidence about rollouts. By default it is dropped.
    fn record_evidence(&self, _: Evidence) {}
    /// Describes the local state. By default it is empty, so that it is never newer than that of another host.
    fn standing(&self) -> Standing {
        Standing {
            name: "stand-in".into(),
            cluster: None,
            applied: 0,
            revision: 0,
            version: 0,
            digest: 0,
        }
    }
}

/// Serves the handler on a free loopback port and returns the address.
pub async fn serve<C: ControlHandler>(handler: C) -> std::io::Result<SocketAddr> {
    let mut listener = tcp::listen("127.0.0.1:0", Bincode::default).await?;
    listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let addr = listener.local_addr();
    let server = Server(handler);
    tokio::spawn(listener.filter_map(|it| async { it.ok() }).for_each(move |it| {
        let calls = BaseChannel::with_defaults(it).execute(server.clone().serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
        async {}
    }));
    Ok(addr)
}

#[derive(Clone)]
struct Server<C>(C);

impl<C: ControlHandler> Service for Server<C> {
    async fn poll(self, _: Context, poll: Poll) -> Result<Update> {
        self.0.poll(poll).await.map(Update::packed)
    }

    async fn submit(self, _: Context, submit: Submit) -> Result<Reply> {
        self.0.submit(submit).await
    }

    async fn members(self, _: Context) -> Vec<MemberEndpoint> {
        Vec::new()
    }

    async fn identity(self, _: Context) -> Identity {
        Identity {
            id: Default::default(),
            name: "stand-in".into(),
            zone: "none".into(),
            rpc: SocketAddr::from(([127, 0, 0, 1], 0)),
            cluster: None,
        }
    }

    async fn join(self, _: Context, _: Identity) -> JoinReply {
        JoinReply::Retry
    }

    async fn raft(self, _: Context, _: SocketAddr, _: Vec<Message>) {}

    async fn read_index(self, _: Context, _: Vec<ProcessId>) -> Result<Index> {
        Err(no_quorum())
    }

    async fn propose(self, _: Context, _: Submit) -> Result<Reply> {
        Err(no_quorum())
    }

    async fn standing(self, _: Context) -> Standing {
        self.0.standing()
    }

    async fn record_evidence(self, _: Context, evidence: Evidence, _: bool) -> Result<()> {
        self.0.record_evidence(evidence);
        Ok(())
    }
}

fn no_quorum() -> Error {
    Error::new(Kind::NoQuorum, "the stand-in control host has no other members")
}

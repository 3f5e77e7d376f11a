//! What the tasks of a control host share.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::SyncSender},
    time::Duration,
};

use parking_lot::Mutex;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

use crate::{
    control::{
        confirm,
        driver::Input,
        machine::Machine,
        metrics::{self, Metrics},
        peer::Peers,
    },
    error::{Error, Kind, Result},
    event::Ring,
    raft::{Index, MemberId, Membership, Role},
    settings,
    state::{Change, Reply, Revision, Tables},
    wire::control::{Identity, MemberEndpoint, Poll, ProcessId, ServiceClient, Submit, Update},
};

/// The longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// How long a request waits for a leader to become known.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a request waits until this host is confirmed to be current. An entry host must have time left to poll
/// another control host within its lease.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a commit may take before the sender is told to try again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest change, in bytes. It must fit into a frame together with its envelope.
const MAX_CHANGE_BYTES: u64 = 256 << 10;

/// The longest table of routes, in bytes: it holds the operators' document besides the routes.
const MAX_ROUTES_BYTES: u64 = 512 << 10;

/// What this host knows about the cluster.
#[derive(Clone, Debug)]
pub struct Standing {
    /// The role of this host.
    pub role: Role,
    /// The leader and its address.
    pub leader: Option<(MemberId, SocketAddr)>,
    /// The cluster that the host belongs to.
    pub cluster: Option<u128>,
    /// The newest membership.
    pub membership: Arc<Membership>,
}

/// A control host.
pub struct Host {
    /// The settings of the process.
    pub cfg: settings::Control,
    /// The member identity.
    pub id: MemberId,
    /// Recent events of the process.
    pub events: Ring,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Connections to other control hosts.
    pub peers: Peers,
    /// The tables.
    pub machine: Mutex<Machine>,
    /// The last index applied.
    pub applied: watch::Sender<Index>,
    /// The revision of the configuration.
    pub revision: watch::Sender<Revision>,
    /// What is known about the cluster.
    pub standing: watch::Sender<Standing>,
    inputs: SyncSender<Input>,
    confirms: mpsc::Sender<confirm::Request>,
}

impl Host {
    /// Makes a host that passes its inputs on to these channels.
    pub fn new(
        cfg: settings::Control,
        id: MemberId,
        inputs: SyncSender<Input>,
        confirms: mpsc::Sender<confirm::Request>,
    ) -> Self {
        let standing = Standing {
            role: Role::Follower,
            leader: None,
            cluster: None,
            membership: Arc::default(),
        };
        Self {
            events: Ring::new(cfg.name.clone()),
            cfg,
            id,
            metrics: Metrics::default(),
            peers: Peers::default(),
            machine: Mutex::default(),
            applied: watch::Sender::new(0),
            revision: watch::Sender::new(0),
            standing: watch::Sender::new(standing),
            inputs,
            confirms,
        }
    }

    /// Waits for newer configuration than the polled one. The answer is given only after a quorum confirmed the leader
    /// after the poll arrived.
    pub async fn poll(&self, poll: Poll) -> Result<Update> {
        let result = self.poll_unmeasured(poll).await;
        self.metrics.polls.with_label_values(&[metrics::label(&result)]).inc();
        result
    }

    async fn poll_unmeasured(&self, poll: Poll) -> Result<Update> {
        let heard = ProcessId { process_name: poll.node, incarnation: poll.incarnation };
        self.confirm(vec![heard]).await?;
        let wait = Duration::from_millis(poll.wait_ms).min(MAX_POLL_WAIT);
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let _ = timeout(wait, newer).await;
        let machine = self.machine.lock();
        machine.history.update(&machine.tables.config, poll.revision)
    }

    /// Waits until this host has applied everything that was committed when the call started.
    /// Passes on who was heard from.
    pub async fn confirm(&self, heard: Vec<ProcessId>) -> Result<()> {
        let confirmed = timeout(CONFIRM_TIMEOUT, self.confirm_unlimited(heard)).await;
        confirmed.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not confirmed in time")))
    }

    async fn confirm_unlimited(&self, heard: Vec<ProcessId>) -> Result<()> {
        let (tx, rx) = oneshot::channel();
        let request = confirm::Request { heard, tx };
        self.confirms.try_send(request).map_err(|_| overloaded())?;
        let index = rx.await.map_err(|_| stopping())??;
        let mut applied = self.applied.subscribe();
        applied.wait_for(|it| *it >= index).await.map_err(|_| stopping())?;
        Ok(())
    }

    /// Waits shortly until this host has applied a revision.
    pub async fn reach(&self, revision: Revision) {
        let mut reached = self.revision.subscribe();
        let _ = timeout(CONFIRM_TIMEOUT, reached.wait_for(|it| *it >= revision)).await;
    }

    /// Commits a change through the leader.
    pub async fn submit(&self, submit: Submit) -> Result<Reply> {
        let result = self.submit_unmeasured(submit).await;
        self.metrics.changes.with_label_values(&[metrics::label(&result)]).inc();
        result
    }

    async fn submit_unmeasured(&self, submit: Submit) -> Result<Reply> {
        if let Change::PatchRoutes(_) = submit.change {
            return Err(Error::new(Kind::BadRequest, "routes are changed as a whole table"));
        }
        let bytes = bincode::serialized_size(&submit).unwrap_or(u64::MAX);
        let allowed = match submit.change {
            Change::PutRoutes(_) => MAX_ROUTES_BYTES,
            _ => MAX_CHANGE_BYTES,
        };
        if bytes > allowed {
            let message = format!("the change has {bytes} bytes, allowed are {allowed}");
            return Err(Error::new(Kind::TooLarge, message));
        }
        let (leader, addr) = self.leader().await?;
        if leader == self.id {
            return self.propose(submit).await;
        }
        let call = async |client: &ServiceClient, context| client.propose(context, submit).await;
        self.peers.at(addr).call(COMMIT_TIMEOUT, call).await?
    }

    /// Commits a change if this host leads.
    pub async fn propose(&self, submit: Submit) -> Result<Reply> {
        let committed = timeout(COMMIT_TIMEOUT, self.ask(|tx| Input::Propose(submit, tx))).await;
        committed.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not committed in time")))
    }

    /// Waits shortly for a leader to become known.
    pub async fn leader(&self) -> Result<(MemberId, SocketAddr)> {
        let mut standing = self.standing.subscribe();
        let known = standing.wait_for(|it| it.leader.is_some());
        let leader = match timeout(LEADER_TIMEOUT, known).await {
            Ok(Ok(standing)) => standing.leader,
            _ => None,
        };
        leader.ok_or_else(|| Error::new(Kind::NoQuorum, "there is no known leader"))
    }

    /// Puts a question to the consensus thread.
    pub async fn ask<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T>>) -> Input,
    ) -> Result<T> {
        let (tx, rx) = oneshot::channel();
        self.inputs.try_send(input(tx)).map_err(|_| overloaded())?;
        rx.await.map_err(|_| Error::new(Kind::NoQuorum, "this host no longer leads"))?
    }

    /// Passes something on to the consensus thread; it is dropped if too much waits.
    pub fn tell(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }

    /// Reads the tables.
    pub fn read<T>(&self, f: impl FnOnce(&Tables) -> T) -> T {
        f(&self.machine.lock().tables)
    }

    /// What is known about the cluster.
    pub fn standing(&self) -> Standing {
        self.standing.borrow().clone()
    }

    /// Where the control hosts are.
    pub fn seats(&self) -> Vec<MemberEndpoint> {
        let standing = self.standing.borrow();
        let members = standing.membership.members.values();
        members.map(|it| MemberEndpoint { zone: it.zone.clone(), rpc: it.rpc }).collect()
    }

    /// Who this host is.
    pub fn identity(&self) -> Identity {
        Identity {
            id: self.id,
            name: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            rpc: self.cfg.listen_rpc,
            cluster: self.standing.borrow().cluster,
        }
    }
}

fn overloaded() -> Error {
    Error::new(Kind::Overloaded, "too many requests wait at this control host")
}

fn stopping() -> Error {
    Error::new(Kind::NoQuorum, "this control host stops")
}

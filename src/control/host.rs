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
        driver::Input,
        metrics::{self, Metrics},
        peer::Peers,
        read_index,
        state_machine::StateMachine,
    },
    error::{Error, Kind, Result},
    event::Ring,
    raft::{Index, MemberId, Membership, Role},
    settings,
    state::{Change, Reply, Revision, Tables},
    wire::control::{Heard, Identity, Poll, Seat, ServiceClient, Submit, Update},
};

/// The longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// How long a request waits for a leader to become known.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a request waits until this host is confirmed to be current. An entry host must have time left to poll
/// another control host within its lease.
const READ_BARRIER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a commit may take before the sender is told to try again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest change, in bytes. It must fit into a frame together with its envelope.
const MAX_CHANGE_BYTES: u64 = 256 << 10;

/// The longest table of routes, in bytes: it holds the operators' document besides the routes.
const MAX_ROUTES_BYTES: u64 = 512 << 10;

/// What this host knows about the cluster.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
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
    pub state_machine: Mutex<StateMachine>,
    /// The last index applied_index.
    pub applied_index: watch::Sender<Index>,
    /// The revision of the configuration.
    pub revision: watch::Sender<Revision>,
    /// What is known about the cluster.
    pub cluster_status: watch::Sender<ClusterStatus>,
    inputs: SyncSender<Input>,
    read_requests: mpsc::Sender<read_index::Request>,
}

impl Host {
    /// Makes a host that passes its inputs on to these channels.
    pub fn new(
        cfg: settings::Control,
        id: MemberId,
        inputs: SyncSender<Input>,
        read_requests: mpsc::Sender<read_index::Request>,
    ) -> Self {
        let cluster_status = ClusterStatus {
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
            state_machine: Mutex::default(),
            applied_index: watch::Sender::new(0),
            revision: watch::Sender::new(0),
            cluster_status: watch::Sender::new(cluster_status),
            inputs,
            read_requests,
        }
    }

    /// Waits for newer configuration than the polled one. The answer is given only after a quorum confirmed the leader
    /// after the poll arrived.
    pub async fn poll(&self, poll: Poll) -> Result<Update> {
        let result = self.poll_inner(poll).await;
        self.metrics.polls.with_label_values(&[metrics::result_label(&result)]).inc();
        result
    }

    async fn poll_inner(&self, poll: Poll) -> Result<Update> {
        let process = Heard { node: poll.node, incarnation: poll.incarnation };
        self.read_barrier(vec![process]).await?;
        let wait = Duration::from_millis(poll.wait_ms).min(MAX_POLL_WAIT);
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let _ = timeout(wait, newer).await;
        let state_machine = self.state_machine.lock();
        state_machine.history.update_since(&state_machine.tables.config, poll.revision)
    }

    /// Waits until this host has applied_index everything that was committed when the call started.
    /// Passes on who was heartbeats from.
    pub async fn read_barrier(&self, heartbeats: Vec<Heard>) -> Result<()> {
        let result = timeout(READ_BARRIER_TIMEOUT, self.read_barrier_inner(heartbeats)).await;
        result.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not confirmed in time")))
    }

    async fn read_barrier_inner(&self, heartbeats: Vec<Heard>) -> Result<()> {
        let (tx, rx) = oneshot::channel();
        let request = read_index::Request { heartbeats, tx };
        self.read_requests.try_send(request).map_err(|_| overloaded())?;
        let index = rx.await.map_err(|_| stopping())??;
        let mut applied_index = self.applied_index.subscribe();
        applied_index.wait_for(|it| *it >= index).await.map_err(|_| stopping())?;
        Ok(())
    }

    /// Waits shortly until this host has applied_index a revision.
    pub async fn wait_for_revision(&self, revision: Revision) {
        let mut current = self.revision.subscribe();
        let _ = timeout(READ_BARRIER_TIMEOUT, current.wait_for(|it| *it >= revision)).await;
    }

    /// Commits a change through the leader.
    pub async fn submit(&self, submit: Submit) -> Result<Reply> {
        let result = self.submit_inner(submit).await;
        self.metrics.changes.with_label_values(&[metrics::result_label(&result)]).inc();
        result
    }

    async fn submit_inner(&self, submit: Submit) -> Result<Reply> {
        if let Change::PatchRoutes(_) = submit.change {
            return Err(Error::new(Kind::BadRequest, "routes are changed as a whole table"));
        }
        let bytes = bincode::serialized_size(&submit).unwrap_or(u64::MAX);
        let max_bytes = match submit.change {
            Change::PutRoutes(_) => MAX_ROUTES_BYTES,
            _ => MAX_CHANGE_BYTES,
        };
        if bytes > max_bytes {
            let message = format!("the change has {bytes} bytes, allowed are {max_bytes}");
            return Err(Error::new(Kind::TooLarge, message));
        }
        let (leader, addr) = self.leader().await?;
        if leader == self.id {
            return self.propose(submit).await;
        }
        let call = async |client: &ServiceClient, context| client.propose(context, submit).await;
        self.peers.get(addr).call(COMMIT_TIMEOUT, call).await?
    }

    /// Commits a change if this host leads.
    pub async fn propose(&self, submit: Submit) -> Result<Reply> {
        let result =
            timeout(COMMIT_TIMEOUT, self.call_driver(|tx| Input::Propose(submit, tx))).await;
        result.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "not committed in time")))
    }

    /// Waits shortly for a leader to become known.
    pub async fn leader(&self) -> Result<(MemberId, SocketAddr)> {
        let mut cluster_status = self.cluster_status.subscribe();
        let known = cluster_status.wait_for(|it| it.leader.is_some());
        let leader = match timeout(LEADER_TIMEOUT, known).await {
            Ok(Ok(cluster_status)) => cluster_status.leader,
            _ => None,
        };
        leader.ok_or_else(|| Error::new(Kind::NoQuorum, "there is no known leader"))
    }

    /// Puts a question to the consensus thread.
    pub async fn call_driver<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T>>) -> Input,
    ) -> Result<T> {
        let (tx, rx) = oneshot::channel();
        self.inputs.try_send(input(tx)).map_err(|_| overloaded())?;
        rx.await.map_err(|_| Error::new(Kind::NoQuorum, "this host no longer leads"))?
    }

    /// Passes something on to the consensus thread; it is dropped if too much waits.
    pub fn notify_driver(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }

    /// Reads the tables.
    pub fn with_tables<T>(&self, f: impl FnOnce(&Tables) -> T) -> T {
        f(&self.state_machine.lock().tables)
    }

    /// What is known about the cluster.
    pub fn cluster_status(&self) -> ClusterStatus {
        self.cluster_status.borrow().clone()
    }

    /// Where the control hosts are.
    pub fn member_addresses(&self) -> Vec<Seat> {
        let cluster_status = self.cluster_status.borrow();
        let members = cluster_status.membership.members.values();
        members.map(|it| Seat { zone: it.zone.clone(), rpc: it.rpc }).collect()
    }

    /// Who this host is.
    pub fn identity(&self) -> Identity {
        Identity {
            id: self.id,
            name: self.cfg.name.clone(),
            zone: self.cfg.zone.clone(),
            rpc: self.cfg.listen_rpc,
            cluster: self.cluster_status.borrow().cluster,
        }
    }
}

fn overloaded() -> Error {
    Error::new(Kind::Overloaded, "too many requests wait at this control host")
}

fn stopping() -> Error {
    Error::new(Kind::NoQuorum, "this control host stops")
}

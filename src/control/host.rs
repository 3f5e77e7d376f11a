//! State shared by the tasks of a control host, and the operations that its RPC and HTTP servers offer: polls, changes
//! and linearizable reads.

use std::{
    fmt,
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
        metrics::{self, Metrics},
        peer::Peers,
        roll_call::Visit,
        roster::Roster,
        state_machine::StateMachine,
    },
    error::{Error, Kind, Result},
    event::Ring,
    memory::{self, Account},
    raft::{Index, MemberId, Membership, Role},
    settings,
    state::{Change, Reply, Revision, Tables},
    wire::control::{
        Evidence, Identity, MemberEndpoint, Poll, ProcessId, ServiceClient, Standing, Submit,
        Update,
    },
};

/// Maximum time that a poll waits for a newer revision.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// How long a request waits until a leader is known.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a read barrier, and of the wait for a revision. After a failed poll an entry host must have time to poll
/// another control host before its lease expires.
const READ_BARRIER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a commit. The submitter then gets an error and may retry under the same id.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum encoded size of a change, in bytes. It must fit into an RPC frame together with its envelope.
const MAX_CHANGE_BYTES: u64 = 256 << 10;

/// Maximum encoded size of a route table, in bytes. It is larger because the table contains the operators' document
/// besides the routes.
const MAX_ROUTES_BYTES: u64 = 512 << 10;

/// The Raft cluster as this host sees it.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
    /// The role of this host.
    pub role: Role,
    /// The leader and its RPC address, if known.
    pub leader: Option<(MemberId, SocketAddr)>,
    /// The id of the cluster; none before the host has joined or bootstrapped one.
    pub cluster: Option<u128>,
    /// The newest membership, committed or not.
    pub membership: Arc<Membership>,
}

/// What a host knows of the cluster at one time. Written as fields of a log line.
#[derive(Clone, Debug)]
pub struct Position {
    /// The role of the host.
    pub role: Role,
    /// The name of the leader, if it is known.
    pub leader: Option<String>,
    /// The last log index that the host has applied.
    pub applied: Index,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { role, leader, applied } = self;
        let leader = leader.as_deref().unwrap_or("-");
        write!(f, "role={role} leader={leader} applied={applied}")
    }
}

/// A control host: the state that its tasks share.
pub struct Host {
    /// The settings of the process.
    pub cfg: settings::Control,
    /// The Raft member id.
    pub id: MemberId,
    /// Recent events of the process.
    pub events: Ring,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// Connections to other control hosts.
    pub peers: Peers,
    /// What requests hold: bodies, and responses that their senders have not taken.
    pub memory: Arc<Account>,
    /// The replicated tables and the change history. The consensus thread writes, other tasks read.
    pub state_machine: Mutex<StateMachine>,
    /// The last log index that the state machine has applied.
    pub applied_index: watch::Sender<Index>,
    /// The revision of the configuration; polls wait for it to change.
    pub revision: watch::Sender<Revision>,
    /// The Raft cluster as this host sees it.
    pub cluster_status: watch::Sender<ClusterStatus>,
    /// The processes that poll this host.
    pub roster: Mutex<Roster>,
    /// The digest of the configuration at a revision. Locked while `state_machine` is locked.
    digest: Mutex<Option<(Revision, u64)>>,
    inputs: SyncSender<Input>,
    read_requests: mpsc::Sender<confirm::Request>,
}

impl Host {
    /// Creates a host. `inputs` leads to the consensus thread, `read_requests` to the task that obtains read indices.
    pub fn new(
        cfg: settings::Control,
        id: MemberId,
        inputs: SyncSender<Input>,
        read_requests: mpsc::Sender<confirm::Request>,
    ) -> Self {
        let cluster_status = ClusterStatus {
            role: Role::Follower,
            leader: None,
            cluster: None,
            membership: Arc::default(),
        };
        let metrics = Metrics::default();
        let max_held = memory::account_bytes(cfg.memory_mb);
        Self {
            events: Ring::new(cfg.name.clone()),
            cfg,
            id,
            memory: Arc::new(Account::new(max_held, &metrics.registry)),
            metrics,
            peers: Peers::default(),
            state_machine: Mutex::default(),
            applied_index: watch::Sender::new(0),
            revision: watch::Sender::new(0),
            cluster_status: watch::Sender::new(cluster_status),
            roster: Mutex::default(),
            digest: Mutex::default(),
            inputs,
            read_requests,
        }
    }

    /// Answers a poll: waits until the revision differs from the polled one, at most for the time in the poll. Before
    /// the wait a read barrier ensures that the response is at least as new as any commit before the poll arrived.
    pub async fn poll(&self, poll: Poll) -> Result<Update> {
        let visit = Visit::begin(self, poll.process(), poll.revision);
        let result = self.poll_inner(poll).await;
        visit.end(&result);
        self.metrics.polls.with_label_values(&[metrics::result_label(&result)]).inc();
        result
    }

    async fn poll_inner(&self, poll: Poll) -> Result<Update> {
        self.read_barrier(vec![poll.process()]).await?;
        let wait = Duration::from_millis(poll.wait_ms).min(MAX_POLL_WAIT);
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let _ = timeout(wait, newer).await;
        let state_machine = self.state_machine.lock();
        state_machine.history.update_since(&state_machine.tables.config, poll.revision)
    }

    /// Linearizable read barrier: waits until this host has applied every change that was committed when the call
    /// started. Obtains a read index from the leader, confirmed by a quorum. The heartbeats travel to the leader with
    /// this request.
    pub async fn read_barrier(&self, heartbeats: Vec<ProcessId>) -> Result<()> {
        let result = timeout(READ_BARRIER_TIMEOUT, self.read_barrier_inner(heartbeats)).await;
        result.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "read not confirmed in time")))
    }

    async fn read_barrier_inner(&self, heartbeats: Vec<ProcessId>) -> Result<()> {
        let (tx, rx) = oneshot::channel();
        let request = confirm::Request { heartbeats, tx };
        self.read_requests.try_send(request).map_err(|_| overloaded())?;
        let index = rx.await.map_err(|_| stopping())??;
        let mut applied_index = self.applied_index.subscribe();
        applied_index.wait_for(|it| *it >= index).await.map_err(|_| stopping())?;
        Ok(())
    }

    /// Waits until this host has applied a revision, or until the timeout; both return normally.
    pub async fn wait_for_revision(&self, revision: Revision) {
        let mut current = self.revision.subscribe();
        let _ = timeout(READ_BARRIER_TIMEOUT, current.wait_for(|it| *it >= revision)).await;
    }

    /// Commits a change: proposes it here if this host leads, else forwards it to the leader.
    pub async fn submit(&self, submit: Submit) -> Result<Reply> {
        let result = self.submit_inner(submit).await;
        self.metrics.changes.with_label_values(&[metrics::result_label(&result)]).inc();
        result
    }

    async fn submit_inner(&self, submit: Submit) -> Result<Reply> {
        if let Change::PatchRoutes(_) = submit.change {
            return Err(Error::new(
                Kind::BadRequest,
                "a route patch cannot be submitted; submit the complete route table",
            ));
        }
        let bytes = bincode::serialized_size(&submit).unwrap_or(u64::MAX);
        let max_bytes = match submit.change {
            Change::PutRoutes(_) => MAX_ROUTES_BYTES,
            _ => MAX_CHANGE_BYTES,
        };
        if bytes > max_bytes {
            let message = format!("the change has {bytes} bytes; the limit is {max_bytes}");
            return Err(Error::new(Kind::TooLarge, message));
        }
        let (leader, addr) = self.leader().await?;
        if leader == self.id {
            return self.propose(submit).await;
        }
        let call = async |client: &ServiceClient, context| client.propose(context, submit).await;
        self.peers.get(addr).call(COMMIT_TIMEOUT, call).await?
    }

    /// Commits a change if this host leads; fails otherwise.
    pub async fn propose(&self, submit: Submit) -> Result<Reply> {
        let result =
            timeout(COMMIT_TIMEOUT, self.call_driver(|tx| Input::Propose(submit, tx))).await;
        result.unwrap_or_else(|_| Err(Error::new(Kind::NoQuorum, "change not committed in time")))
    }

    /// Returns the leader and its RPC address. Waits for a short time if no leader is known.
    pub async fn leader(&self) -> Result<(MemberId, SocketAddr)> {
        let mut cluster_status = self.cluster_status.subscribe();
        let known = cluster_status.wait_for(|it| it.leader.is_some());
        let leader = match timeout(LEADER_TIMEOUT, known).await {
            Ok(Ok(cluster_status)) => cluster_status.leader,
            _ => None,
        };
        leader.ok_or_else(|| Error::new(Kind::NoQuorum, "no leader is known"))
    }

    /// Sends a request to the consensus thread and waits for its result. Fails at once if the queue is full, and when
    /// the thread drops the request because this host has lost leadership.
    pub async fn call_driver<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Result<T>>) -> Input,
    ) -> Result<T> {
        let (tx, rx) = oneshot::channel();
        self.inputs.try_send(input(tx)).map_err(|_| overloaded())?;
        rx.await
            .map_err(|_| Error::new(Kind::NoQuorum, "this control host is no longer the leader"))?
    }

    /// Sends a message to the consensus thread without waiting; drops it if the queue is full.
    pub fn notify_driver(&self, input: Input) {
        let _ = self.inputs.try_send(input);
    }

    /// Calls `f` with the replicated tables, which stay locked meanwhile.
    pub fn with_tables<T>(&self, f: impl FnOnce(&Tables) -> T) -> T {
        f(&self.state_machine.lock().tables)
    }

    /// Returns the current view of the Raft cluster.
    pub fn cluster_status(&self) -> ClusterStatus {
        self.cluster_status.borrow().clone()
    }

    /// Returns what this host knows of the cluster.
    pub fn position(&self) -> Position {
        let applied = *self.applied_index.borrow();
        let cluster_status = self.cluster_status.borrow();
        let name = |(id, addr): (MemberId, SocketAddr)| {
            let member = cluster_status.membership.members.get(&id);
            member.map_or_else(|| addr.to_string(), |it| it.name.clone())
        };
        Position { role: cluster_status.role, leader: cluster_status.leader.map(name), applied }
    }

    /// The zones and RPC addresses of all cluster members, voters first: a learner may be a host that was replaced and is
    /// gone, and whoever reads the list tries the first one of a zone first.
    pub fn member_addresses(&self) -> Vec<MemberEndpoint> {
        let cluster_status = self.cluster_status.borrow();
        let mut members: Vec<_> = cluster_status.membership.members.values().collect();
        members.sort_by_key(|it| !it.voter);
        members
            .into_iter()
            .map(|it| MemberEndpoint { zone: it.zone.clone(), rpc: it.rpc })
            .collect()
    }

    /// Keeps evidence of a relay if this host leads, else forwards it to the leader. It is forwarded only once: two hosts
    /// may each take the other one for the leader.
    pub async fn record_evidence(&self, evidence: Evidence, forwarded: bool) -> Result<()> {
        let (leader, addr) = self.leader().await?;
        if leader == self.id {
            self.notify_driver(Input::Evidence(evidence));
            return Ok(());
        }
        if forwarded {
            return Err(Error::new(Kind::NoQuorum, "this control host is not the leader"));
        }
        let call = async |client: &ServiceClient, context| {
            client.record_evidence(context, evidence, true).await
        };
        self.peers.get(addr).call(READ_BARRIER_TIMEOUT, call).await?
    }

    /// Describes the local state, for relays that compare it with what other control hosts have told them.
    pub fn standing(&self) -> Standing {
        let cluster = self.cluster_status.borrow().cluster;
        let state_machine = self.state_machine.lock();
        let config = &state_machine.tables.config;
        let mut cached = self.digest.lock();
        let known = cached.filter(|(revision, _)| *revision == config.revision);
        let (revision, digest) = known.unwrap_or_else(|| (config.revision, config.digest()));
        *cached = Some((revision, digest));
        Standing {
            name: self.cfg.name.clone(),
            cluster,
            applied: state_machine.index,
            revision,
            version: config.routes.version,
            digest,
        }
    }

    /// The identity that this host reports to other control hosts.
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
    Error::new(Kind::Overloaded, "the request queue of this control host is full")
}

fn stopping() -> Error {
    Error::new(Kind::NoQuorum, "this control host is shutting down")
}

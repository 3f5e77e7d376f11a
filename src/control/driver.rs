//! The consensus thread. It owns the Raft core and the durable log: it passes messages, proposals, reads and clock
//! ticks to the core, and performs the actions that the core returns in their order. Periodic tasks are in
//! `upkeep`, the actions in `actions`.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError},
    },
    time::{Duration, Instant},
};

use rand::random;
use tokio::{runtime::Handle, sync::oneshot};

use crate::{
    control::{
        host::Host, liveness::Liveness, raft_transport::RaftTransport, rollout::Rollouts,
        state_machine,
    },
    error::{Error, Kind, Result},
    event::unix_ms,
    raft::{
        self, Core, Event, HardState, Index, Member, MemberChange, MemberId, Membership, Message,
        Options, Payload, Recovered, Role, Save, Term,
    },
    state::{ChangeId, Reply},
    store,
    wire::control::{Evidence, Identity, JoinReply, ProcessId, Submit},
};

/// Longest interval between two ticks of the Raft core, which drive its heartbeats and election timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of inputs per loop. Their proposals are appended together and so share one disk sync.
const MAX_BATCH_INPUTS: usize = 4_096;

/// Maximum size of the entries or of the snapshot part in a Raft message, in bytes. A single longer entry is sent
/// alone. Two such messages fit into an RPC frame.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// One part in this many of `snapshot_entries` and `snapshot_bytes` stays in the log before a snapshot, so that a
/// follower that is slightly behind gets entries instead of the snapshot.
pub(super) const TRAILING_DIVISOR: u64 = 4;

/// Sends the result of an input back to the task that waits for it.
pub type Responder<T> = oneshot::Sender<Result<T>>;

/// A request or message from another task to the consensus thread.
pub enum Input {
    /// A Raft message and the RPC address of its sender.
    Message(SocketAddr, Message),
    /// A change to commit. The reply follows when it has been applied here.
    Propose(Submit, Responder<Reply>),
    /// Asks for a read index: a commit index that a quorum confirms. Also carries the heartbeats that came with the
    /// read.
    Read(Vec<ProcessId>, Responder<Index>),
    /// Evidence of a relay about the running rollouts.
    Evidence(Evidence),
    /// A host that asks to be added to the membership as a learner, or whose name, zone or address changed.
    Join(Identity, Responder<JoinReply>),
    /// Creates a new cluster with these voters.
    Bootstrap(Vec<Identity>, Responder<()>),
    /// The process is shutting down: transfers leadership. Completes when this host is not the leader.
    Stop(Responder<()>),
}

/// A proposed change that has not been applied yet, with the tasks that wait for its reply.
pub(super) struct PendingProposal {
    pub(super) received_at: Instant,
    pub(super) responders: Vec<Responder<Reply>>,
}

/// State of the consensus thread.
pub struct Driver {
    pub(super) host: Arc<Host>,
    pub(super) core: Core,
    pub(super) log: store::Log,
    pub(super) transport: RaftTransport,
    /// RPC addresses from which members last sent a message. They are newer than the membership if a host moved.
    pub(super) last_addresses: HashMap<MemberId, SocketAddr>,
    pub(super) pending_proposals: HashMap<ChangeId, PendingProposal>,
    pub(super) pending_reads: HashMap<u64, Responder<Index>>,
    pub(super) node_liveness: Liveness,
    pub(super) target_liveness: Liveness,
    pub(super) rollouts: Rollouts,
    pub(super) schedule: super::upkeep::Schedule,
    /// The newest term in which this host became leader.
    pub(super) last_led_term: Term,
    /// When the loop last ran, to detect stalls of this thread.
    last_loop_ms: u64,
    last_read_token: u64,
    last_timestamp_ms: u64,
    stop_responders: Vec<Responder<()>>,
    started_at: Instant,
}

impl Driver {
    /// Creates the Raft core from the recovered log, and restores the state machine from the recovered snapshot.
    pub fn new(
        host: Arc<Host>,
        log: store::Log,
        recovered: Recovered,
        runtime: Handle,
    ) -> eyre::Result<Self> {
        if let Some(snapshot) = &recovered.snapshot {
            host.state_machine.lock().restore(snapshot.index, &snapshot.data)?;
            host.applied_index.send_replace(snapshot.index);
            host.revision.send_replace(host.with_tables(|it| it.config.revision));
        }
        // Half of the minimum election timeout: a connection that does not respond is replaced before the followers'
        // election timeouts expire.
        let call_timeout = Duration::from_millis(host.cfg.election_ms / 2);
        Ok(Self {
            core: Core::new(raft_options(&host), recovered, 0),
            transport: RaftTransport::new(runtime, host.cfg.listen_rpc, call_timeout),
            host,
            log,
            last_addresses: HashMap::new(),
            pending_proposals: HashMap::new(),
            pending_reads: HashMap::new(),
            node_liveness: Liveness::default(),
            target_liveness: Liveness::default(),
            rollouts: Rollouts::default(),
            schedule: super::upkeep::Schedule::default(),
            last_led_term: 0,
            last_loop_ms: 0,
            last_read_token: 0,
            last_timestamp_ms: 0,
            stop_responders: Vec::new(),
            started_at: Instant::now(),
        })
    }

    /// Runs until all senders of inputs are dropped, or until the durable state fails.
    pub fn run(mut self, rx: &Receiver<Input>) -> eyre::Result<()> {
        loop {
            match rx.recv_timeout(TICK_INTERVAL) {
                Ok(first) => self.process_inputs(std::iter::once(first).chain(rx.try_iter()))?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.reset_liveness_after_stall();
            self.step(Event::Tick)?;
            self.run_periodic_tasks()?;
            self.publish_cluster_status();
        }
    }

    /// Monotonic time since the start of this thread.
    pub(super) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(super) fn step(&mut self, event: Event) -> eyre::Result<()> {
        let actions = self.core.step(self.now_ms(), event);
        self.perform(actions)
    }

    /// Proposes a change on behalf of the leader itself. No task waits for its reply.
    pub(super) fn propose_internal(&mut self, change: crate::state::Change) -> eyre::Result<()> {
        let submit = Submit { id: random(), base: None, change };
        let at_ms = self.next_timestamp_ms();
        let data = state_machine::encode(submit.id, &submit, at_ms);
        self.step(Event::Propose(vec![data]))
    }

    fn process_inputs(&mut self, inputs: impl Iterator<Item = Input>) -> eyre::Result<()> {
        let mut proposals = Vec::new();
        for input in inputs.take(MAX_BATCH_INPUTS) {
            match input {
                Input::Message(from, message) => self.receive(from, message)?,
                Input::Propose(submit, tx) => self.propose(&submit, tx, &mut proposals),
                Input::Read(heartbeats, tx) => self.read(heartbeats, tx)?,
                Input::Evidence(evidence) => self.record_evidence(evidence),
                Input::Join(identity, tx) => self.join(identity, tx)?,
                Input::Bootstrap(initial_voters, tx) => self.bootstrap(initial_voters, tx)?,
                Input::Stop(tx) => {
                    self.stop_responders.push(tx);
                    self.step(Event::TransferLeadership)?;
                }
            }
        }
        if proposals.is_empty() {
            return Ok(());
        }
        if !self.core.accepts_proposals() {
            // Leadership was lost or is being transferred since these proposals were queued. Dropping the responders
            // makes the submitters retry under the same id.
            self.pending_proposals.clear();
            return Ok(());
        }
        self.step(Event::Propose(proposals))
    }

    fn receive(&mut self, from: SocketAddr, mut message: Message) -> eyre::Result<()> {
        self.last_addresses.insert(message.from, from);
        // The disk reserve is nearly used up and must be kept for votes. Without its payload the message acts as a
        // heartbeat: this member stores nothing, but does not start an election either.
        if self.log.is_reserve_exhausted() {
            match &mut message.body {
                raft::Body::Append { entries, .. } => entries.clear(),
                raft::Body::SnapshotPart { data, .. } => data.clear(),
                _ => {}
            }
        }
        self.step(Event::Receive(message))
    }

    fn propose(
        &mut self,
        submit: &Submit,
        responder: Responder<Reply>,
        proposals: &mut Vec<Vec<u8>>,
    ) {
        if !self.core.accepts_proposals() {
            let _ = responder.send(Err(not_leader()));
            return;
        }
        if self.log.is_disk_full() {
            let err = Error::new(Kind::Overloaded, "the leader's disk is full");
            let _ = responder.send(Err(err));
            return;
        }
        if let Some(pending) = self.pending_proposals.get_mut(&submit.id) {
            pending.responders.push(responder);
            return;
        }
        let pending = PendingProposal { received_at: Instant::now(), responders: vec![responder] };
        self.pending_proposals.insert(submit.id, pending);
        let at_ms = self.next_timestamp_ms();
        proposals.push(state_machine::encode(submit.id, submit, at_ms));
    }

    fn read(
        &mut self,
        heartbeats: Vec<ProcessId>,
        responder: Responder<Index>,
    ) -> eyre::Result<()> {
        let now_ms = self.now_ms();
        for it in heartbeats {
            self.target_liveness.record(it.clone(), now_ms);
            self.node_liveness.record(it, now_ms);
        }
        self.last_read_token += 1;
        self.pending_reads.insert(self.last_read_token, responder);
        self.step(Event::Read(self.last_read_token))
    }

    fn join(&mut self, identity: Identity, responder: Responder<JoinReply>) -> eyre::Result<()> {
        if self.core.role() != Role::Leader {
            let leader = self.core.leader().and_then(|it| self.address(it));
            let _ = responder.send(Ok(leader.map_or(JoinReply::Retry, JoinReply::Redirect)));
            return Ok(());
        }
        let id = identity.id;
        self.step(Event::ChangeMembership(MemberChange::AddLearner(
            id,
            new_member(identity, false),
        )))?;
        let known = self.core.membership().members.contains_key(&id);
        let _ = responder.send(Ok(if known { JoinReply::Accepted } else { JoinReply::Retry }));
        Ok(())
    }

    /// Creates a new cluster: writes a random cluster id and the initial membership, as entry 1 of term 1, to the log,
    /// and restarts the Raft core from them.
    fn bootstrap(
        &mut self,
        initial_voters: Vec<Identity>,
        responder: Responder<()>,
    ) -> eyre::Result<()> {
        if self.core.hard_state().cluster.is_some() {
            let _ = responder
                .send(Err(Error::new(Kind::Conflict, "this host already belongs to a cluster")));
            return Ok(());
        }
        let members = initial_voters.into_iter().map(|it| (it.id, new_member(it, true))).collect();
        let payload = Payload::Membership(Membership { members });
        let entry = raft::Entry { index: 1, term: 1, payload };
        let hard = HardState { term: 1, vote: None, cluster: Some(random()) };
        self.log.save(Save { hard: Some(hard), entries: vec![entry.clone()] })?;
        let recovered = Recovered { hard, snapshot: None, entries: vec![entry] };
        self.core = Core::new(raft_options(&self.host), recovered, self.now_ms());
        let _ = responder.send(Ok(()));
        Ok(())
    }

    /// Returns the RPC address from which a member last sent a message, else its address in the membership.
    pub(super) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        let member = self.core.membership().members.get(&id);
        self.last_addresses.get(&id).copied().or(member.map(|it| it.rpc))
    }

    /// Returns the wall-clock time for a new log entry. It is never earlier than that of an earlier entry, also after a
    /// change of the leader or a step of the clock.
    fn next_timestamp_ms(&mut self) -> u64 {
        let applied_ms = self.host.with_tables(|it| it.config.now_ms);
        self.last_timestamp_ms = unix_ms().max(self.last_timestamp_ms).max(applied_ms);
        self.last_timestamp_ms
    }

    /// Restarts the expiry of all processes, and the evidence about rollouts, after this thread stalled for longer than the minimum election timeout:
    /// their heartbeats may still be queued, so the time without one says nothing.
    fn reset_liveness_after_stall(&mut self) {
        let now_ms = self.now_ms();
        if now_ms > self.last_loop_ms + self.host.cfg.election_ms {
            self.node_liveness.reset();
            self.target_liveness.reset();
            self.rollouts.forget_evidence(now_ms);
        }
        self.last_loop_ms = now_ms;
    }

    /// Completes pending stop requests once this host is not the leader.
    pub(super) fn answer_stop_requests(&mut self) {
        if self.core.role() != Role::Leader {
            self.stop_responders.drain(..).for_each(|it| drop(it.send(Ok(()))));
        }
    }
}

fn not_leader() -> Error {
    Error::new(Kind::NoQuorum, "this control host is not the leader")
}

fn new_member(identity: Identity, voter: bool) -> Member {
    let Identity { name, zone, rpc, .. } = identity;
    Member { name, zone, rpc, voter, replaces: None }
}

fn raft_options(host: &Host) -> Options {
    Options {
        id: host.id,
        election_ms: host.cfg.election_ms,
        heartbeat_ms: host.cfg.heartbeat_ms,
        seed: random(),
        max_message_bytes: MAX_MESSAGE_BYTES,
        trailing_entries: host.cfg.snapshot_entries / TRAILING_DIVISOR,
        trailing_bytes: (host.cfg.snapshot_bytes / TRAILING_DIVISOR) as usize,
    }
}

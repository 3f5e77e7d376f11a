//! The consensus thread: feeds the core and performs its actions in order.

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
    control::{host::Host, link::Links, liveness::Liveness, machine},
    error::{Error, Kind, Result},
    event::unix_ms,
    raft::{
        self, Core, Event, HardState, Index, Member, MemberChange, MemberId, Membership, Message,
        Options, Payload, Recovered, Role, Save, Term,
    },
    state::{ChangeId, Reply},
    store,
    wire::control::{Identity, JoinReply, ProcessId, Submit},
};

/// The interval at which the core looks at the time.
const TICK: Duration = Duration::from_millis(10);

/// How many inputs are taken before the actions of all are performed.
const MAX_BATCH: usize = 4_096;

/// The longest message of the consensus, in bytes; a frame holds two of them.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// The share of `snapshot_entries` that is kept before a snapshot for slow followers.
const TRAILING_DIVISOR: u64 = 4;

/// A sender for the answer to an input.
pub type Answer<T> = oneshot::Sender<Result<T>>;

/// What other tasks pass to the consensus thread.
pub enum Input {
    /// A message of the consensus, and the RPC address of its sender.
    Message(SocketAddr, Message),
    /// A change to be committed.
    Propose(Submit, Answer<Reply>),
    /// Entry hosts that polled, and a read to be confirmed.
    Read(Vec<ProcessId>, Answer<Index>),
    /// A host that wants to become a member.
    Join(Identity, Answer<JoinReply>),
    /// The first voters of a new cluster.
    Bootstrap(Vec<Identity>, Answer<()>),
    /// The process stops: another host should lead. Answered when this one does not lead any more.
    Stop(Answer<()>),
}

/// A change that waits for its commit.
pub(super) struct Waiter {
    pub(super) since: Instant,
    pub(super) answers: Vec<Answer<Reply>>,
}

/// The consensus thread.
pub struct Driver {
    pub(super) host: Arc<Host>,
    pub(super) core: Core,
    pub(super) log: store::Log,
    pub(super) links: Links,
    pub(super) addresses: HashMap<MemberId, SocketAddr>,
    pub(super) waiters: HashMap<ChangeId, Waiter>,
    pub(super) reads: HashMap<u64, Answer<Index>>,
    pub(super) liveness: Liveness,
    pub(super) targets: Liveness,
    pub(super) due: super::upkeep::Due,
    /// The last term that this host led.
    pub(super) led: Term,
    last_ms: u64,
    next_read: u64,
    last_at_ms: u64,
    stopping: Vec<Answer<()>>,
    start: Instant,
}

impl Driver {
    /// Starts from what was found in the data folder.
    pub fn new(
        host: Arc<Host>,
        log: store::Log,
        recovered: Recovered,
        runtime: Handle,
    ) -> eyre::Result<Self> {
        if let Some(snapshot) = &recovered.snapshot {
            host.machine.lock().restore(snapshot.index, &snapshot.data)?;
            host.applied.send_replace(snapshot.index);
            host.revision.send_replace(host.read(|it| it.config.revision));
        }
        // Half of the shortest election timeout: a silent connection is replaced before followers give up the leader.
        let limit = Duration::from_millis(host.cfg.election_ms / 2);
        Ok(Self {
            core: Core::new(options(&host), recovered, 0),
            links: Links::new(runtime, host.cfg.listen_rpc, limit),
            host,
            log,
            addresses: HashMap::new(),
            waiters: HashMap::new(),
            reads: HashMap::new(),
            liveness: Liveness::default(),
            targets: Liveness::default(),
            due: super::upkeep::Due::default(),
            led: 0,
            last_ms: 0,
            next_read: 0,
            last_at_ms: 0,
            stopping: Vec::new(),
            start: Instant::now(),
        })
    }

    /// Runs until all senders of inputs are gone.
    pub fn run(mut self, rx: &Receiver<Input>) -> eyre::Result<()> {
        loop {
            match rx.recv_timeout(TICK) {
                Ok(first) => self.take(std::iter::once(first).chain(rx.try_iter()))?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            self.note_stall();
            self.step(Event::Tick)?;
            self.keep_up()?;
            self.publish();
        }
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub(super) fn step(&mut self, event: Event) -> eyre::Result<()> {
        let actions = self.core.step(self.now_ms(), event);
        self.perform(actions)
    }

    /// Proposes a change that nobody waits for.
    pub(super) fn propose_own(&mut self, change: crate::state::Change) -> eyre::Result<()> {
        let submit = Submit { id: random(), base: None, change };
        let at_ms = self.stamp();
        let data = machine::encode(submit.id, &submit, at_ms);
        self.step(Event::Propose(vec![data]))
    }

    fn take(&mut self, inputs: impl Iterator<Item = Input>) -> eyre::Result<()> {
        let mut proposals = Vec::new();
        for input in inputs.take(MAX_BATCH) {
            match input {
                Input::Message(from, message) => self.receive(from, message)?,
                Input::Propose(submit, answer) => self.propose(&submit, answer, &mut proposals),
                Input::Read(heard, answer) => self.read(heard, answer)?,
                Input::Join(identity, answer) => self.join(identity, answer)?,
                Input::Bootstrap(first, answer) => self.bootstrap(first, answer)?,
                Input::Stop(answer) => {
                    self.stopping.push(answer);
                    self.step(Event::Transfer)?;
                }
            }
        }
        if proposals.is_empty() {
            return Ok(());
        }
        if !self.core.takes_proposals() {
            // The leadership ended within this batch. Without an answer the senders try again under the same id.
            self.waiters.clear();
            return Ok(());
        }
        self.step(Event::Propose(proposals))
    }

    fn receive(&mut self, from: SocketAddr, mut message: Message) -> eyre::Result<()> {
        self.addresses.insert(message.from, from);
        // Without its entries the message is a heartbeat, so that this member neither fails nor disturbs the leader.
        if self.log.is_exhausted() {
            match &mut message.body {
                raft::Body::Append { entries, .. } => entries.clear(),
                raft::Body::Snapshot { data, .. } => data.clear(),
                _ => {}
            }
        }
        self.step(Event::Receive(message))
    }

    fn propose(&mut self, submit: &Submit, answer: Answer<Reply>, proposals: &mut Vec<Vec<u8>>) {
        if !self.core.takes_proposals() {
            let _ = answer.send(Err(not_leader()));
            return;
        }
        if self.log.is_full() {
            let full = Error::new(Kind::Overloaded, "the disk of the leader is full");
            let _ = answer.send(Err(full));
            return;
        }
        if let Some(waiter) = self.waiters.get_mut(&submit.id) {
            waiter.answers.push(answer);
            return;
        }
        let waiter = Waiter { since: Instant::now(), answers: vec![answer] };
        self.waiters.insert(submit.id, waiter);
        let at_ms = self.stamp();
        proposals.push(machine::encode(submit.id, submit, at_ms));
    }

    fn read(&mut self, heard: Vec<ProcessId>, answer: Answer<Index>) -> eyre::Result<()> {
        let now_ms = self.now_ms();
        for it in heard {
            self.targets.hear(it.clone(), now_ms);
            self.liveness.hear(it, now_ms);
        }
        self.next_read += 1;
        self.reads.insert(self.next_read, answer);
        self.step(Event::Read(self.next_read))
    }

    fn join(&mut self, identity: Identity, answer: Answer<JoinReply>) -> eyre::Result<()> {
        if self.core.role() != Role::Leader {
            let leader = self.core.leader().and_then(|it| self.address(it));
            let _ = answer.send(Ok(leader.map_or(JoinReply::Retry, JoinReply::Redirect)));
            return Ok(());
        }
        let id = identity.id;
        self.step(Event::Change(MemberChange::AddLearner(id, member(identity, false))))?;
        let known = self.core.membership().members.contains_key(&id);
        let _ = answer.send(Ok(if known { JoinReply::Accepted } else { JoinReply::Retry }));
        Ok(())
    }

    /// Writes the first membership as the first entry and starts from there.
    fn bootstrap(&mut self, first: Vec<Identity>, answer: Answer<()>) -> eyre::Result<()> {
        if self.core.hard().cluster.is_some() {
            let _ = answer.send(Err(Error::new(Kind::Conflict, "the host belongs to a cluster")));
            return Ok(());
        }
        let members = first.into_iter().map(|it| (it.id, member(it, true))).collect();
        let payload = Payload::Membership(Membership { members });
        let entry = raft::Entry { index: 1, term: 1, payload };
        let hard = HardState { term: 1, vote: None, cluster: Some(random()) };
        self.log.save(Save { hard: Some(hard), entries: vec![entry.clone()] })?;
        let recovered = Recovered { hard, snapshot: None, entries: vec![entry] };
        self.core = Core::new(options(&self.host), recovered, self.now_ms());
        let _ = answer.send(Ok(()));
        Ok(())
    }

    /// The address of a member: the one it last sent from, else the one in the membership.
    pub(super) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        let member = self.core.membership().members.get(&id);
        self.addresses.get(&id).copied().or(member.map(|it| it.rpc))
    }

    /// The leader's clock, which never runs backwards.
    fn stamp(&mut self) -> u64 {
        let applied = self.host.read(|it| it.config.now_ms);
        self.last_at_ms = unix_ms().max(self.last_at_ms).max(applied);
        self.last_at_ms
    }

    /// After a stall of this thread polls may wait unread, so that silence counts anew.
    fn note_stall(&mut self) {
        let now_ms = self.now_ms();
        if now_ms > self.last_ms + self.host.cfg.election_ms {
            self.liveness.restart();
            self.targets.restart();
        }
        self.last_ms = now_ms;
    }

    /// Answers those that wait for the end of this host's leadership.
    pub(super) fn answer_stopping(&mut self) {
        if self.core.role() != Role::Leader {
            self.stopping.drain(..).for_each(|it| drop(it.send(Ok(()))));
        }
    }
}

fn not_leader() -> Error {
    Error::new(Kind::NoQuorum, "this control host does not lead")
}

fn member(identity: Identity, voter: bool) -> Member {
    let Identity { name, zone, rpc, .. } = identity;
    Member { name, zone, rpc, voter, replaces: None }
}

fn options(host: &Host) -> Options {
    Options {
        id: host.id,
        election_ms: host.cfg.election_ms,
        heartbeat_ms: host.cfg.heartbeat_ms,
        seed: random(),
        max_message_bytes: MAX_MESSAGE_BYTES,
        trailing_entries: host.cfg.snapshot_entries / TRAILING_DIVISOR,
    }
}

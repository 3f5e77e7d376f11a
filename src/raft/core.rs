//! The Raft state machine of one member: takes events, returns actions.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use strum::Display;

use crate::raft::{
    Body, Entry, HardState, Index, MemberChange, MemberId, Membership, Message, Payload, Save,
    Snapshot, Term, log::Log, progress::Progress, read::ReadBatch, snapshot::IncomingSnapshot,
};

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct Options {
    /// Identity of this member.
    pub id: MemberId,
    /// Lower bound of the randomized election timeout; the upper bound is twice as long.
    pub election_ms: u64,
    /// Interval between heartbeats of the leader.
    pub heartbeat_ms: u64,
    /// Seed of the random number generator for election timeouts.
    pub seed: u64,
    /// Limit on the entries, or on the snapshot part, in one message. A single larger entry is still sent, alone.
    pub max_message_bytes: usize,
    /// Number of entries kept before a snapshot, so that slow followers need not receive the snapshot.
    pub trailing_entries: u64,
    /// Limit on the size of these entries, in bytes.
    pub trailing_bytes: usize,
}

/// The durable state of a member as read from disk at start.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// Term, vote and cluster.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot, possibly preceded by some that the snapshot contains.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Discards all entries if they do not continue the snapshot. This happens after a crash during the installation of
    /// a leader's snapshot, when the new snapshot is on disk but the old log has not been replaced yet. Returns whether
    /// entries were discarded; the caller must then replace the log on disk.
    pub fn discard_stale_entries(&mut self) -> bool {
        let base = self.snapshot.as_ref().map_or((0, 0), |it| (it.index, it.term));
        let continues = self.entries.first().is_none_or(|it| it.index == base.0 + 1)
            || self.entries.iter().any(|it| (it.index, it.term) == base);
        if !continues {
            self.entries.clear();
        }
        !continues
    }
}

/// Input of [`Core::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; sent at short, regular intervals to run the timers.
    Tick,
    /// A message arrived from another member.
    Receive(Message),
    /// Commands to append to the log. Dropped unless [`Core::accepts_proposals`].
    Propose(Vec<Vec<u8>>),
    /// A membership change. Dropped unless this member is a leader that accepts proposals and has committed both an
    /// entry of its own term and the previous change. Also dropped if it does not apply.
    ChangeMembership(MemberChange),
    /// Requests a linearizable read. Answered by [`Action::ReadReady`] or [`Action::ReadFailed`] with the same token.
    Read(u64),
    /// A serialized state machine for a new snapshot, after which older entries are dropped.
    Compact {
        /// The last entry applied to `data`.
        index: Index,
        /// The serialized state machine.
        data: Vec<u8>,
    },
    /// Makes a leader hand its leadership to a follower, for example because the process is about to stop.
    TransferLeadership,
}

/// Output of [`Core::step`], to be performed in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make hard state and entries durable before the next action.
    Save(Save),
    /// Make the snapshot durable, then replace the whole log by these entries, both before the next action.
    SaveSnapshot(Arc<Snapshot>, Vec<Entry>),
    /// Replace the state machine by the contents of the snapshot.
    Restore(Arc<Snapshot>),
    /// Send a message. Delivery may fail; the core resends what is needed.
    Send(Message),
    /// Apply committed entries to the state machine.
    Apply(Vec<Entry>),
    /// The read with this token is linearizable once the state machine has applied this index.
    ReadReady(u64, Index),
    /// The read with this token could not be confirmed, because this member is not the leader or stopped being it.
    ReadFailed(u64),
}

/// The role of a member. Candidates include those that only ask for pre-votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts entries from the leader.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
}

/// Replication state of one member as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// When the leader last received a reply from it, or began to track it, on the leader's clock.
    pub last_contact_ms: u64,
    /// The last entry known to be durable there and identical to the leader's.
    pub match_index: Index,
    /// Whether it lacks so few entries that a learner can be promoted.
    pub caught_up: bool,
}

/// State of one member for monitoring and for decisions on membership changes.
#[derive(Clone, Debug)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// The leader of the current term, if known.
    pub leader: Option<MemberId>,
    /// The last entry known to be committed.
    pub commit_index: Index,
    /// The last entry of the log.
    pub last_index: Index,
    /// The newest membership in the log, committed or not.
    pub membership: Membership,
    /// Whether the newest membership is committed.
    pub membership_committed: bool,
    /// Replication state of all members, this one included; empty unless it is the leader.
    pub members: BTreeMap<MemberId, MemberStatus>,
}

/// State that only a leader has; rebuilt after each election.
pub(super) struct Leader {
    /// Replication state of all members, this one included.
    pub(super) progress: BTreeMap<MemberId, Progress>,
    pub(super) next_heartbeat_ms: u64,
    /// The newest read round. Followers echo it, which confirms the leadership for the reads of the round.
    pub(super) round: u64,
    /// Tokens of reads that wait for the next read round.
    pub(super) queued_reads: Vec<u64>,
    /// The reads of the current round, until a quorum has answered it.
    pub(super) confirming_reads: Option<ReadBatch>,
    /// Target of a leadership transfer, and when the transfer is given up.
    pub(super) transfer: Option<(MemberId, u64)>,
}

/// The role with the state that belongs to it. A pre-candidate asks for pre-votes, still in the old term; a candidate
/// asks for votes in a new term.
pub(super) enum RoleState {
    Follower { leader: Option<MemberId> },
    PreCandidate { votes: BTreeSet<MemberId> },
    Candidate { votes: BTreeSet<MemberId> },
    Leader(Leader),
}

/// The Raft state machine of one member.
pub struct Core {
    pub(super) opts: Options,
    pub(super) hard_state: HardState,
    /// Whether the hard state changed in this step and must be saved.
    pub(super) hard_state_changed: bool,
    pub(super) log: Log,
    /// The first entry that this step added or replaced; it and all later ones must be saved.
    pub(super) first_unsaved: Option<Index>,
    /// The last entry known to be committed.
    pub(super) commit: Index,
    /// The last entry that the caller was told to apply.
    pub(super) applied: Index,
    pub(super) state: RoleState,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Actions that save or restore snapshots, collected during a step.
    pub(super) snapshot_actions: Vec<Action>,
    pub(super) election_deadline_ms: u64,
    /// When a leader was last heard from; none since the start of the process.
    pub(super) last_leader_contact_ms: Option<u64>,
    /// Number of expired election timeouts since the start of the process.
    pub(super) election_attempts: u64,
    /// Results of reads, collected during a step.
    pub(super) read_results: Vec<Action>,
    /// Messages that need not wait for this step's save.
    messages_before_save: Vec<Message>,
    /// Messages that may leave only when this step's save is durable.
    messages_after_save: Vec<Message>,
    rng: StdRng,
}

impl Core {
    /// Starts as a follower from durable state, of which stale entries have been discarded
    /// ([`Recovered::discard_stale_entries`]).
    pub fn new(opts: Options, recovered: Recovered, now_ms: u64) -> Self {
        let commit = recovered.snapshot.as_ref().map_or(0, |it| it.index);
        let mut core = Self {
            rng: StdRng::seed_from_u64(opts.seed),
            opts,
            hard_state: recovered.hard,
            hard_state_changed: false,
            log: Log::new(recovered.snapshot, recovered.entries),
            first_unsaved: None,
            commit,
            applied: commit,
            state: RoleState::Follower { leader: None },
            incoming_snapshot: None,
            snapshot_actions: Vec::new(),
            election_deadline_ms: 0,
            last_leader_contact_ms: None,
            election_attempts: 0,
            read_results: Vec::new(),
            messages_before_save: Vec::new(),
            messages_after_save: Vec::new(),
        };
        core.reset_election_timer(now_ms);
        core
    }

    /// Processes one event and returns the actions to perform, in order.
    pub fn step(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Receive(message) => self.receive(now_ms, message),
            Event::Propose(commands) => self.propose(now_ms, commands),
            Event::ChangeMembership(change) => self.change_membership(now_ms, &change),
            Event::Read(token) => self.read(token),
            Event::Compact { index, data } => self.compact(index, data),
            Event::TransferLeadership => self.transfer_leadership(now_ms),
        }
        self.collect_actions(now_ms)
    }

    /// The identity of this member.
    pub fn id(&self) -> MemberId {
        self.opts.id
    }

    /// The current role.
    pub fn role(&self) -> Role {
        match self.state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Whether this member is the leader and no leadership transfer is in progress.
    pub fn accepts_proposals(&self) -> bool {
        matches!(&self.state, RoleState::Leader(it) if it.transfer.is_none())
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            RoleState::Follower { leader } => *leader,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => None,
            RoleState::Leader(_) => Some(self.opts.id),
        }
    }

    /// Term, vote and cluster.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The last entry that the caller was told to apply.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The last entry contained in the newest snapshot, or 0 without a snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().map_or(0, |it| it.index)
    }

    /// The newest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// The state of this member, and on the leader that of its followers.
    pub fn status(&self) -> Status {
        let members = match &self.state {
            RoleState::Leader(leader) => {
                let status = |it: &Progress| MemberStatus {
                    last_contact_ms: it.last_contact_ms,
                    match_index: it.match_index,
                    caught_up: self.is_caught_up(it),
                };
                leader.progress.iter().map(|(id, it)| (*id, status(it))).collect()
            }
            _ => BTreeMap::new(),
        };
        Status {
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader(),
            commit_index: self.commit,
            last_index: self.log.last().0,
            membership: self.log.membership().clone(),
            membership_committed: self.log.membership_index() <= self.commit,
            members,
        }
    }

    /// Queues a message that leaves once everything that this step saves is durable.
    pub(super) fn send(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, body);
        self.messages_after_save.push(message);
    }

    /// Queues a message that may leave before the entries of this step are durable here.
    pub(super) fn send_before_save(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, body);
        self.messages_before_save.push(message);
    }

    /// Appends an entry of the current term to the leader's log.
    pub(super) fn append(&mut self, payload: Payload) {
        let index = self.log.last().0 + 1;
        self.first_unsaved.get_or_insert(index);
        self.log.push(Entry { index, term: self.hard_state.term, payload });
    }

    /// Restarts the election timer with a randomized timeout. Before the first contact with a leader since the start of
    /// the process, the timeout starts at one to two heartbeat intervals and grows with each attempt, up to the normal
    /// one, so that a cluster whose members all restarted elects a leader quickly. The short timeout cannot disturb a
    /// working leader, because its followers refuse pre-votes.
    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        let startup_timeout = self.opts.heartbeat_ms * (1 + self.election_attempts);
        let shortest_timeout = match self.last_leader_contact_ms {
            None => startup_timeout.min(self.opts.election_ms),
            Some(_) => self.opts.election_ms,
        };
        let extra = self.rng.random_range(0..shortest_timeout.max(1));
        self.election_deadline_ms = now_ms + shortest_timeout + extra;
    }

    pub(super) fn set_term(&mut self, term: Term, vote: Option<MemberId>) {
        if (term, vote) != (self.hard_state.term, self.hard_state.vote) {
            self.hard_state.term = term;
            self.hard_state.vote = vote;
            self.hard_state_changed = true;
        }
    }

    fn message(&self, to: MemberId, body: Body) -> Message {
        let cluster = self.hard_state.cluster.unwrap_or_default();
        Message { from: self.opts.id, to, cluster, term: self.hard_state.term, body }
    }

    /// Takes a snapshot at `index` and drops entries before it. Ignores an index that has not been applied.
    fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index > self.applied {
            return;
        }
        let Options { trailing_entries, trailing_bytes, .. } = self.opts;
        let compacted = self.log.compact(index, data, trailing_entries, trailing_bytes);
        if let Some((snapshot, entries)) = compacted {
            self.snapshot_actions.push(Action::SaveSnapshot(snapshot, entries));
        }
    }

    /// Puts the actions of a step in order. A leader sends new entries before they are durable on its own disk: it
    /// counts itself towards the quorum only after the save. All other messages wait for the save, and so do entries
    /// while the hard state has changed, because a term must be durable before the leader uses it.
    fn collect_actions(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.hard_state_changed {
            actions.extend(self.messages_before_save.drain(..).map(Action::Send));
        }
        actions.extend(self.take_save().map(Action::Save));
        actions.append(&mut self.snapshot_actions);
        let after_save =
            self.messages_before_save.drain(..).chain(self.messages_after_save.drain(..));
        actions.extend(after_save.map(Action::Send));
        self.mark_own_entries_durable(now_ms);
        self.advance_reads(now_ms);
        if self.commit > self.applied {
            let entries = self.log.slice(self.applied + 1, self.commit, usize::MAX);
            actions.push(Action::Apply(entries.unwrap_or_default()));
            self.applied = self.commit;
        }
        let caused_by_commit =
            self.messages_before_save.drain(..).chain(self.messages_after_save.drain(..));
        actions.extend(caused_by_commit.map(Action::Send));
        actions.append(&mut self.read_results);
        actions
    }

    /// The hard state and entries that this step must make durable, if any.
    fn take_save(&mut self) -> Option<Save> {
        let hard = mem::take(&mut self.hard_state_changed).then_some(self.hard_state);
        let last = self.log.last().0;
        let from = self.first_unsaved.take();
        let entries = from.and_then(|it| self.log.slice(it, last, usize::MAX)).unwrap_or_default();
        (hard.is_some() || !entries.is_empty()).then_some(Save { hard, entries })
    }
}

//! The state machine: events in, actions out.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::Arc,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::raft::{
    Body, Entry, HardState, Index, MemberChange, MemberId, Membership, Message, Payload, Save,
    Snapshot, Term, log::Log, progress::Progress, read::ReadBatch, snapshot::IncomingSnapshot,
};

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct Options {
    /// The identity of this member.
    pub id: MemberId,
    /// The shortest election timeout; the longest is twice as long.
    pub election_ms: u64,
    /// The leader's heartbeat interval.
    pub heartbeat_ms: u64,
    /// The seed of the election timeouts.
    pub seed: u64,
    /// The most entries, in bytes, and the longest part of a snapshot in one message.
    pub max_message_bytes: usize,
    /// How many entries before a snapshot are kept for slow followers.
    pub trailing_entries: u64,
}

/// What was found on disk.
#[derive(Clone, Debug, Default)]
pub struct Recovered {
    /// The hard state.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, and perhaps some before.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Drops entries that do not continue the snapshot. They are left when a crash interrupts an installation between
    /// the snapshot and the log. Returns whether there were any; the log on disk must then be rewritten.
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

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Receive(Message),
    /// Commands to be committed; dropped unless this member takes proposals.
    Propose(Vec<Vec<u8>>),
    /// A change of the membership; dropped unless this member leads and no other change is pending.
    ChangeMembership(MemberChange),
    /// Asks for an index at which a read is not stale. Answered with the same number.
    Read(u64),
    /// The state machine as of the applied index `index`, so that older entries can be dropped.
    Compact {
        /// The last entry contained.
        index: Index,
        /// The state machine.
        data: Vec<u8>,
    },
    /// A leader hands over, because its process stops.
    TransferLeadership,
}

/// What the caller must do, in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make this durable before any later action.
    Save(Save),
    /// Make the snapshot durable, then replace the log by these entries, before any later action.
    SaveSnapshot(Arc<Snapshot>, Vec<Entry>),
    /// Replace the state machine by the snapshot.
    Restore(Arc<Snapshot>),
    /// Send a message; it may get lost.
    Send(Message),
    /// Apply committed entries.
    Apply(Vec<Entry>),
    /// A read is not stale once the state machine has applied this index.
    ReadReady(u64, Index),
    /// A read could not be confirmed.
    ReadFailed(u64),
}

/// What a member does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes entries from a leader.
    Follower,
    /// Tries to become leader.
    Candidate,
    /// Leads.
    Leader,
}

/// A member as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// When it was last heard from.
    pub last_contact_ms: u64,
    /// Its last entry known to be durable.
    pub match_index: Index,
}

/// The condition of a member.
#[derive(Clone, Debug)]
pub struct Status {
    /// The role.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<MemberId>,
    /// The last committed entry.
    pub commit_index: Index,
    /// The last entry.
    pub last_index: Index,
    /// The newest membership.
    pub membership: Membership,
    /// Whether the newest membership is committed.
    pub membership_committed: bool,
    /// Each member as this one sees it; empty unless it leads.
    pub members: BTreeMap<MemberId, MemberStatus>,
}

pub(super) struct Leader {
    pub(super) progress: BTreeMap<MemberId, Progress>,
    pub(super) next_heartbeat_ms: u64,
    pub(super) round: u64,
    pub(super) queued_reads: Vec<u64>,
    pub(super) confirming_reads: Option<ReadBatch>,
    /// The member that is to lead next, and until when this one waits for it.
    pub(super) transfer: Option<(MemberId, u64)>,
}

pub(super) enum RoleState {
    Follower { leader: Option<MemberId> },
    PreCandidate { votes: BTreeSet<MemberId> },
    Candidate { votes: BTreeSet<MemberId> },
    Leader(Leader),
}

/// One member of the consensus.
pub struct Core {
    pub(super) opts: Options,
    pub(super) hard_state: HardState,
    pub(super) hard_state_changed: bool,
    pub(super) log: Log,
    pub(super) first_unsaved: Option<Index>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) state: RoleState,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) snapshot_actions: Vec<Action>,
    pub(super) election_deadline_ms: u64,
    pub(super) last_leader_contact_ms: Option<u64>,
    /// How many elections this member has started.
    pub(super) election_attempts: u64,
    pub(super) read_results: Vec<Action>,
    messages_before_save: Vec<Message>,
    messages_after_save: Vec<Message>,
    rng: StdRng,
}

impl Core {
    /// Makes a follower from what was found on disk, without stale entries.
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

    /// Takes an event and returns what must be done, in this order.
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

    /// The role at present.
    pub fn role(&self) -> Role {
        match self.state {
            RoleState::Follower { .. } => Role::Follower,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Whether commands are taken: this member leads and does not hand over.
    pub fn accepts_proposals(&self) -> bool {
        matches!(&self.state, RoleState::Leader(it) if it.transfer.is_none())
    }

    /// The leader, if known.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.state {
            RoleState::Follower { leader } => *leader,
            RoleState::PreCandidate { .. } | RoleState::Candidate { .. } => None,
            RoleState::Leader(_) => Some(self.opts.id),
        }
    }

    /// The hard state.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// The index that the caller was last told to apply.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The index of the newest snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot().map_or(0, |it| it.index)
    }

    /// The newest membership, committed or not.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Everything that may be shown.
    pub fn status(&self) -> Status {
        let members = match &self.state {
            RoleState::Leader(leader) => {
                leader.progress.iter().map(|(id, it)| (*id, it.into())).collect()
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

    /// Sends after everything that this step saves is durable.
    pub(super) fn send(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, body);
        self.messages_after_save.push(message);
    }

    /// Sends before the entries that this step saves are durable here.
    pub(super) fn send_before_save(&mut self, to: MemberId, body: Body) {
        let message = self.message(to, body);
        self.messages_before_save.push(message);
    }

    pub(super) fn append(&mut self, payload: Payload) {
        let index = self.log.last().0 + 1;
        self.first_unsaved.get_or_insert(index);
        self.log.push(Entry { index, term: self.hard_state.term, payload });
    }

    /// Sets when this member stops waiting for a leader. Until it has heard from one since its start, it waits a few
    /// heartbeats only, a little longer after each try: pre-votes protect a leader that is there, and after the loss of
    /// all members at once nobody has to wait for a whole election timeout.
    pub(super) fn reset_election_timer(&mut self, now_ms: u64) {
        let shortest = self.opts.heartbeat_ms * (1 + self.election_attempts);
        let least = match self.last_leader_contact_ms {
            None => shortest.min(self.opts.election_ms),
            Some(_) => self.opts.election_ms,
        };
        let extra = self.rng.random_range(0..least.max(1));
        self.election_deadline_ms = now_ms + least + extra;
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

    fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index > self.applied {
            return;
        }
        let compacted = self.log.compact(index, data, self.opts.trailing_entries);
        if let Some((snapshot, entries)) = compacted {
            self.snapshot_actions.push(Action::SaveSnapshot(snapshot, entries));
        }
    }

    /// Puts the actions of a step in order. Entries may leave before they are durable here, because the leader counts
    /// itself only afterwards; everything else waits, and so do entries of a term that is not durable yet.
    fn collect_actions(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.hard_state_changed {
            actions.extend(self.messages_before_save.drain(..).map(Action::Send));
        }
        actions.extend(self.take_save().map(Action::Save));
        actions.append(&mut self.snapshot_actions);
        let held = self.messages_before_save.drain(..).chain(self.messages_after_save.drain(..));
        actions.extend(held.map(Action::Send));
        self.mark_own_entries_durable(now_ms);
        self.advance_reads(now_ms);
        if self.commit > self.applied {
            let entries = self.log.slice(self.applied + 1, self.commit, usize::MAX);
            actions.push(Action::Apply(entries.unwrap_or_default()));
            self.applied = self.commit;
        }
        let sent = self.messages_before_save.drain(..).chain(self.messages_after_save.drain(..));
        actions.extend(sent.map(Action::Send));
        actions.append(&mut self.read_results);
        actions
    }

    fn take_save(&mut self) -> Option<Save> {
        let hard = mem::take(&mut self.hard_state_changed).then_some(self.hard_state);
        let last = self.log.last().0;
        let from = self.first_unsaved.take();
        let entries = from.and_then(|it| self.log.slice(it, last, usize::MAX)).unwrap_or_default();
        (hard.is_some() || !entries.is_empty()).then_some(Save { hard, entries })
    }
}

impl From<&Progress> for MemberStatus {
    fn from(progress: &Progress) -> Self {
        Self { last_contact_ms: progress.last_contact_ms, match_index: progress.match_index }
    }
}

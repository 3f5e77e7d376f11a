//! A simulated member: the Raft core, a state machine, and a disk that loses unsynced writes in a crash.

use std::collections::{BTreeMap, VecDeque};

use gentianpass::raft::{
    Action, Core, Entry, Event, HardState, Index, Member, MemberId, Membership, Message, Options,
    Payload, Recovered, Role, Save, Snapshot,
};
use rand::{RngExt, rngs::StdRng};

use crate::model::{Machine, Model, decode, encode};

/// A defect injected into the simulation, which the model's checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Saves are rarely synced, so that a crash loses recent ones.
    DropSync,
    /// Messages are sent before the save that they depend on.
    SendBeforeSave,
    /// Term and vote are lost in a crash.
    ForgetHardState,
    /// Leaders answer reads without confirmation by a quorum.
    UnconfirmedReads,
}

/// Contents of a disk.
#[derive(Clone, Default)]
pub struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// A simulated member.
pub struct Node {
    id: MemberId,
    defect: Defect,
    /// The core while the process runs; none after a crash.
    pub core: Option<Core>,
    /// Messages that arrived and are not processed yet.
    pub inbox: VecDeque<Message>,
    /// Until when the process is down or suspended.
    pub unavailable_until: u64,
    /// The state machine.
    pub machine: Machine,
    /// How far this member's clock is ahead of the simulation's.
    pub clock_offset_ms: u64,
    disk: Disk,
    /// The disk as a crash leaves it with [`Defect::DropSync`].
    synced: Disk,
}

/// A membership of voters with these identities.
pub fn membership(voters: impl IntoIterator<Item = MemberId>) -> Membership {
    Membership { members: voters.into_iter().map(|id| (id, member(true))).collect() }
}

/// A voter or a learner.
pub fn member(voter: bool) -> Member {
    let rpc = ([127, 0, 0, 1], 7_000).into();
    Member { name: "host".into(), zone: "zone".into(), rpc, voter, replaces: None }
}

impl Node {
    /// A member with an empty disk whose process does not run.
    pub fn new(id: MemberId, clock_offset_ms: u64, defect: Defect) -> Self {
        Self {
            id,
            defect,
            core: None,
            inbox: VecDeque::new(),
            unavailable_until: 0,
            machine: (0, 0),
            clock_offset_ms,
            disk: Disk::default(),
            synced: Disk::default(),
        }
    }

    /// Writes the bootstrap entry, which contains the first membership, to the disk.
    pub fn bootstrap(&mut self, voters: impl IntoIterator<Item = MemberId>) {
        self.bootstrap_with(membership(voters).members);
    }

    /// Like [`Self::bootstrap`], with the names and addresses of the voters.
    pub fn bootstrap_with(&mut self, members: BTreeMap<MemberId, Member>) {
        let payload = Payload::Membership(Membership { members });
        self.disk.hard = HardState { term: 1, vote: None, cluster: Some(1) };
        self.disk.entries = vec![Entry { index: 1, term: 1, payload }];
        self.synced = self.disk.clone();
    }

    /// Starts the process from what is on disk.
    pub fn start(&mut self, now: u64, seed: u64) {
        let Disk { hard, snapshot, entries } = self.disk.clone();
        let mut recovered = Recovered { hard, snapshot, entries };
        if recovered.discard_stale_entries() {
            self.disk.entries.clear();
        }
        self.machine = recovered
            .snapshot
            .as_ref()
            .map_or((0, 0), |it| decode(&it.data).expect("own snapshot"));
        let opts = Options {
            id: self.id,
            election_ms: 300,
            heartbeat_ms: 60,
            seed,
            max_message_bytes: 200,
            trailing_entries: 4,
            trailing_bytes: usize::MAX,
        };
        self.core = Some(Core::new(opts, recovered, now + self.clock_offset_ms));
    }

    /// Crashes the process, which loses its memory and, with some defects, part of its disk.
    pub fn crash(&mut self) {
        self.core = None;
        self.inbox.clear();
        if self.defect == Defect::DropSync {
            self.disk = self.synced.clone();
        }
        if self.defect == Defect::ForgetHardState {
            self.disk.hard = HardState { cluster: Some(1), ..HardState::default() };
        }
    }

    /// Processes an event and performs the resulting actions. With `crash_after`, the process crashes after that many
    /// actions, in the middle of the next one. Returns the messages that were sent.
    pub fn step(
        &mut self,
        now: u64,
        event: Event,
        crash_after: Option<usize>,
        model: &mut Model,
        rng: &mut StdRng,
    ) -> Result<Vec<Message>, String> {
        let Some(core) = &mut self.core else { return Ok(Vec::new()) };
        let mut actions = core.step(now + self.clock_offset_ms, event);
        if self.defect == Defect::SendBeforeSave {
            actions.sort_by_key(|it| !matches!(it, Action::Send(_)));
        }
        let mut sent = Vec::new();
        for (done, action) in actions.into_iter().enumerate() {
            if crash_after.is_some_and(|it| done >= it) {
                self.perform_partially(action, model, rng)?;
                self.crash();
                return Ok(sent);
            }
            self.perform(action, model, &mut sent)?;
        }
        if rng.random_bool(0.05) {
            self.synced = self.disk.clone();
        }
        self.check_leader(model)?;
        Ok(sent)
    }

    fn perform(
        &mut self,
        action: Action,
        model: &mut Model,
        sent: &mut Vec<Message>,
    ) -> Result<(), String> {
        match action {
            Action::Save(save) => self.save(save, model),
            Action::SaveSnapshot(snapshot, entries) => {
                self.disk.snapshot = Some(snapshot.as_ref().clone());
                self.disk.entries = entries;
                Ok(())
            }
            Action::Restore(snapshot) => model.restore(&mut self.machine, &snapshot),
            Action::Send(message) => {
                sent.push(message);
                Ok(())
            }
            Action::Apply(entries) => {
                let term = self.core.as_ref().map_or(0, |it| it.hard_state().term);
                entries.iter().try_for_each(|it| model.apply(term, &mut self.machine, it))
            }
            Action::ReadReady(token, index) => model.end_read(token, Some(index)),
            Action::ReadFailed(token) => model.end_read(token, None),
        }
    }

    /// Performs an action that a crash interrupts. A save may leave some of its entries on the disk, and a snapshot may
    /// be saved without the log being replaced.
    fn perform_partially(
        &mut self,
        action: Action,
        model: &mut Model,
        rng: &mut StdRng,
    ) -> Result<(), String> {
        match action {
            Action::Save(mut save) if rng.random_bool(0.5) => {
                save.entries.truncate(rng.random_range(0..=save.entries.len()));
                self.save(save, model)
            }
            Action::SaveSnapshot(snapshot, _) if rng.random_bool(0.5) => {
                self.disk.snapshot = Some(snapshot.as_ref().clone());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn save(&mut self, save: Save, model: &mut Model) -> Result<(), String> {
        self.disk.hard = save.hard.unwrap_or(self.disk.hard);
        let Some(first) = save.entries.first().map(|it| it.index) else { return Ok(()) };
        self.disk.entries.retain(|it| it.index < first);
        for entry in save.entries {
            let prev = entry.index - 1;
            let known = self.disk.entries.iter().rev().find(|it| it.index == prev);
            let snapshot = self.disk.snapshot.as_ref().filter(|it| it.index == prev);
            let prev_term = known.map(|it| it.term).or(snapshot.map(|it| it.term));
            model.record_write(&entry, prev_term.unwrap_or_default())?;
            self.disk.entries.push(entry);
        }
        Ok(())
    }

    /// Checks election safety and leader completeness if this member has just become leader.
    fn check_leader(&self, model: &mut Model) -> Result<(), String> {
        let Some(core) = &self.core else { return Ok(()) };
        if core.role() == Role::Leader && model.record_leader(core.hard_state().term, self.id)? {
            let snapshot = self.disk.snapshot.as_ref().map_or(0, |it| it.index);
            model.check_leader_completeness(
                core.hard_state().term,
                &self.disk.entries,
                snapshot,
            )?;
        }
        Ok(())
    }

    /// The event for a new snapshot, if enough entries were applied since the last one.
    pub fn compaction(&self) -> Option<Event> {
        const SNAPSHOT_ENTRIES: Index = 20;
        let core = self.core.as_ref()?;
        let due = core.applied() >= core.snapshot_index() + SNAPSHOT_ENTRIES;
        due.then(|| Event::Compact { index: self.machine.0, data: encode(self.machine) })
    }
}

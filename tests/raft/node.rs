//! A member with a disk that loses what was not synced.

use std::collections::VecDeque;

use gentianpass::raft::{
    Action, Core, Entry, Event, HardState, Index, Member, MemberId, Membership, Message, Options,
    Payload, Recovered, Role, Save, Snapshot,
};
use rand::{RngExt, rngs::StdRng};

use crate::model::{Machine, Model, decode, encode};

/// A defect that the checks must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No defect.
    None,
    /// Saves are not synced, so that a crash loses them.
    DropSync,
    /// Messages leave before the save that they depend on.
    SendBeforeSave,
    /// A restart forgets term and vote.
    ForgetHardState,
    /// Leaders answer reads without asking anybody.
    UnconfirmedReads,
}

/// What is on disk.
#[derive(Clone, Default)]
pub struct Disk {
    hard: HardState,
    snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
}

/// A member.
pub struct Node {
    id: MemberId,
    fault: Fault,
    /// The running process, if there is one.
    pub core: Option<Core>,
    /// Messages that arrived and wait to be read.
    pub inbox: VecDeque<Message>,
    /// Until when the process is down or stopped.
    pub away_until: u64,
    /// The state machine.
    pub machine: Machine,
    skew_ms: u64,
    disk: Disk,
    /// What a crash leaves if syncs are dropped.
    synced: Disk,
}

/// A membership whose voters have these identities.
pub fn membership(voters: impl IntoIterator<Item = MemberId>) -> Membership {
    Membership { members: voters.into_iter().map(|id| (id, member(true))).collect() }
}

/// A member of this kind.
pub fn member(voter: bool) -> Member {
    let rpc = ([127, 0, 0, 1], 7_000).into();
    Member { name: "host".into(), zone: "zone".into(), rpc, voter, replaces: None }
}

impl Node {
    /// Makes a member with an empty disk.
    pub fn new(id: MemberId, skew_ms: u64, fault: Fault) -> Self {
        Self {
            id,
            fault,
            core: None,
            inbox: VecDeque::new(),
            away_until: 0,
            machine: (0, 0),
            skew_ms,
            disk: Disk::default(),
            synced: Disk::default(),
        }
    }

    /// Writes the first membership.
    pub fn bootstrap(&mut self, voters: impl IntoIterator<Item = MemberId>) {
        let payload = Payload::Membership(membership(voters));
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
        };
        self.core = Some(Core::new(opts, recovered, now + self.skew_ms));
    }

    /// Kills the process.
    pub fn crash(&mut self) {
        self.core = None;
        self.inbox.clear();
        if self.fault == Fault::DropSync {
            self.disk = self.synced.clone();
        }
        if self.fault == Fault::ForgetHardState {
            self.disk.hard = HardState { cluster: Some(1), ..HardState::default() };
        }
    }

    /// Takes an event and performs the actions, at most `crash_after` of them if a crash interrupts.
    pub fn step(
        &mut self,
        now: u64,
        event: Event,
        crash_after: Option<usize>,
        model: &mut Model,
        rng: &mut StdRng,
    ) -> Result<Vec<Message>, String> {
        let Some(core) = &mut self.core else { return Ok(Vec::new()) };
        let mut actions = core.step(now + self.skew_ms, event);
        if self.fault == Fault::SendBeforeSave {
            actions.sort_by_key(|it| !matches!(it, Action::Send(_)));
        }
        let mut sent = Vec::new();
        for (done, action) in actions.into_iter().enumerate() {
            if crash_after.is_some_and(|it| done >= it) {
                self.tear(action, model, rng)?;
                self.crash();
                return Ok(sent);
            }
            self.perform(action, model, &mut sent)?;
        }
        if rng.random_bool(0.05) {
            self.synced = self.disk.clone();
        }
        self.check(model)?;
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

    /// A crash in the middle of a save leaves a part of it.
    fn tear(&mut self, action: Action, model: &mut Model, rng: &mut StdRng) -> Result<(), String> {
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
            model.write(&entry, prev_term.unwrap_or_default())?;
            self.disk.entries.push(entry);
        }
        Ok(())
    }

    fn check(&self, model: &mut Model) -> Result<(), String> {
        let Some(core) = &self.core else { return Ok(()) };
        if core.role() == Role::Leader && model.lead(core.hard_state().term, self.id)? {
            let snapshot = self.disk.snapshot.as_ref().map_or(0, |it| it.index);
            model.check_complete(core.hard_state().term, &self.disk.entries, snapshot)?;
        }
        Ok(())
    }

    /// Whether enough was applied since the newest snapshot.
    pub fn compaction(&self) -> Option<Event> {
        const SNAPSHOT_ENTRIES: Index = 20;
        let core = self.core.as_ref()?;
        let due = core.applied() >= core.snapshot_index() + SNAPSHOT_ENTRIES;
        due.then(|| Event::Compact { index: self.machine.0, data: encode(self.machine) })
    }
}

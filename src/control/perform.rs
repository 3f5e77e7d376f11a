//! Performs the actions of the core.

use std::{sync::Arc, time::Instant};

use eyre::WrapErr;

use crate::{
    control::{driver::Driver, host::Standing, machine::Outcome},
    error::{Error, Kind},
    event::{self, Event},
    raft::{Action, Entry, Index, Membership, Message, Payload, Role, Save, Snapshot},
    state::{Change, ObjectKind},
    store,
};

impl Driver {
    /// Performs actions in order. An error means that the durable state is unusable, so that the process must stop.
    pub(super) fn perform(&mut self, actions: Vec<Action>) -> eyre::Result<()> {
        for action in actions {
            match action {
                Action::Save(save) => self.save(save)?,
                Action::SaveSnapshot(snapshot, entries) => {
                    self.save_snapshot(&snapshot, entries)?;
                }
                Action::Restore(snapshot) => self.restore(&snapshot)?,
                Action::Send(message) => self.send(message),
                Action::Apply(entries) => self.apply(&entries)?,
                Action::ReadReady(token, index) => self.answer_read(token, Ok(index)),
                Action::ReadFailed(token) => {
                    let err = Error::new(Kind::NoQuorum, "this control host does not lead");
                    self.answer_read(token, Err(err));
                }
            }
        }
        Ok(())
    }

    fn save(&mut self, save: Save) -> eyre::Result<()> {
        let start = Instant::now();
        let was_full = self.log.is_disk_full();
        let saved = self.log.save(save);
        self.host
            .metrics
            .sync
            .with_label_values::<&str>(&[])
            .observe(start.elapsed().as_secs_f64());
        if self.log.is_disk_full() && !was_full {
            self.record(event::Kind::StorageFailed, "the disk is full: changes are rejected");
        }
        saved.wrap_err("save")
    }

    /// A snapshot that does not fit on the disk is left out: the log still holds everything. One that a leader sent is
    /// needed, and then the disk had space when the parts were taken.
    fn save_snapshot(&mut self, snapshot: &Snapshot, entries: Vec<Entry>) -> eyre::Result<()> {
        let own = self.host.machine.lock().index >= snapshot.index;
        match self.log.save_snapshot(snapshot, entries) {
            Err(store::Error::DiskFull { .. }) if own => {
                self.record(event::Kind::StorageFailed, "the disk has no space for a snapshot");
                Ok(())
            }
            result => result.wrap_err("save a snapshot"),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        let mut machine = self.host.machine.lock();
        machine.restore(snapshot.index, &snapshot.data).wrap_err("snapshot of the leader")?;
        let revision = machine.tables.config.revision;
        drop(machine);
        self.host.revision.send_replace(revision);
        self.host.applied.send_replace(snapshot.index);
        Ok(())
    }

    fn send(&mut self, message: Message) {
        let Some(addr) = self.address(message.to) else { return };
        let host = &self.host;
        self.links.send(addr, || host.peers.at(addr), message);
    }

    fn apply(&mut self, entries: &[Entry]) -> eyre::Result<()> {
        let mut outcomes = Vec::new();
        let mut machine = self.host.machine.lock();
        for entry in entries {
            outcomes.extend(machine.apply(entry).wrap_err("entry of the log")?);
        }
        let (index, revision) = (machine.index, machine.tables.config.revision);
        drop(machine);
        self.host.applied.send_replace(index);
        self.host.revision.send_if_modified(|it| std::mem::replace(it, revision) != revision);
        for outcome in outcomes {
            self.record_change(&outcome);
            self.answer_change(&outcome);
        }
        for entry in entries {
            if let Payload::Membership(membership) = &entry.payload {
                self.record(event::Kind::Membership, describe(membership));
            }
        }
        Ok(())
    }

    fn answer_change(&mut self, outcome: &Outcome) {
        let Some(waiter) = self.waiters.remove(&outcome.entry.id) else { return };
        let elapsed = waiter.since.elapsed().as_secs_f64();
        self.host.metrics.commit.with_label_values::<&str>(&[]).observe(elapsed);
        for answer in waiter.answers {
            let _ = answer.send(Ok(outcome.reply.clone()));
        }
    }

    fn answer_read(&mut self, token: u64, index: crate::error::Result<Index>) {
        if let Some(answer) = self.reads.remove(&token) {
            let _ = answer.send(index);
        }
    }

    fn record_change(&self, outcome: &Outcome) {
        if !outcome.changed {
            return;
        }
        let event = match &outcome.entry.change {
            Change::SetLabel { object, key, value } => {
                let cause = format!("operator set {object} {key}={value}");
                about(Event::new(event::Kind::ConfigApplied, cause), object.kind, &object.name)
            }
            Change::RemoveLabel { object, key } => {
                let cause = format!("operator removed {object} {key}");
                about(Event::new(event::Kind::ConfigApplied, cause), object.kind, &object.name)
            }
            Change::RemoveNode { name, .. } => {
                Event::new(event::Kind::NodeRemoved, format!("node {name} was removed"))
            }
            change if change.is_operator_change() => {
                Event::new(event::Kind::ConfigApplied, format!("operator: {change:?}"))
            }
            _ => return,
        };
        self.host.events.record(event);
    }

    pub(super) fn record(&self, kind: event::Kind, cause: impl Into<String>) {
        self.host.events.record(Event::new(kind, cause));
    }

    /// Tells the other tasks what changed in the cluster.
    pub(super) fn publish(&mut self) {
        let leader = self.core.leader();
        let new = Standing {
            role: self.core.role(),
            leader: leader.and_then(|it| Some((it, self.address(it)?))),
            cluster: self.core.hard_state().cluster,
            membership: Arc::default(),
        };
        let old = self.host.standing();
        self.note_role(old.role);
        let same_members = *old.membership == *self.core.membership();
        if (old.role, old.leader, old.cluster) != (new.role, new.leader, new.cluster)
            || !same_members
        {
            let membership = Arc::new(self.core.membership().clone());
            self.host.standing.send_replace(Standing { membership, ..new });
        }
        self.answer_stopping();
    }

    fn note_role(&mut self, old: Role) {
        let term = self.core.hard_state().term;
        if self.core.role() == Role::Leader && self.led != term {
            self.led = term;
            self.liveness.restart();
            self.targets.restart();
            self.record(event::Kind::Election, format!("became leader of term {term}"));
        }
        if self.core.role() != Role::Leader && old == Role::Leader {
            self.waiters.clear();
            self.record(event::Kind::Election, format!("stepped down in term {term}"));
        }
    }
}

fn about(event: Event, kind: ObjectKind, name: &str) -> Event {
    match kind {
        ObjectKind::Zone => event.zone(name),
        ObjectKind::Target => event.target(name),
        _ => event,
    }
}

fn describe(membership: &Membership) -> String {
    let names = |voter: bool| {
        let members = membership.members.values().filter(|it| it.voter == voter);
        members.map(|it| it.name.as_str()).collect::<Vec<_>>().join(",")
    };
    format!("voters {} learners {}", names(true), names(false))
}

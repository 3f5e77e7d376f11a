//! Performs the actions that the Raft core returns: disk writes, messages, applied entries, replies.

use std::{sync::Arc, time::Instant};

use eyre::WrapErr;

use crate::{
    control::{driver::Driver, host::ClusterStatus, state_machine::ApplyResult},
    error::{Error, Kind},
    event::{self, Event},
    raft::{
        Action, Entry, Index, MemberId, Membership, Message, Payload, Role, Save, Snapshot, Term,
    },
    state::{Change, ChangeId, ObjectKind, Reply, Revision},
    store,
};

impl Driver {
    /// Performs the actions in order. On an error the durable state cannot be relied on and the process must stop.
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
                    let err = Error::new(Kind::NoQuorum, "this control host is not the leader");
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
            .sync_seconds
            .with_label_values::<&str>(&[])
            .observe(start.elapsed().as_secs_f64());
        if self.log.is_disk_full() && !was_full {
            self.record_event(event::Kind::StorageFailed, "the disk is full; changes are rejected");
        }
        saved.wrap_err("cannot write to the Raft log")
    }

    /// Writes a snapshot and truncates the log. If the disk is full, a snapshot that this host made itself is skipped,
    /// because the log still holds every entry. A snapshot from the leader is needed, so a full disk is an error then;
    /// its parts are received only while the disk has space (see [`Self::receive`]).
    fn save_snapshot(&mut self, snapshot: &Snapshot, entries: Vec<Entry>) -> eyre::Result<()> {
        let own_snapshot = self.host.state_machine.lock().index >= snapshot.index;
        match self.log.save_snapshot(snapshot, entries) {
            Err(store::Error::DiskFull { .. }) if own_snapshot => {
                self.record_event(
                    event::Kind::StorageFailed,
                    "no disk space for a snapshot; the log is kept",
                );
                Ok(())
            }
            result => result.wrap_err("cannot write the snapshot"),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        let mut state_machine = self.host.state_machine.lock();
        state_machine
            .restore(snapshot.index, &snapshot.data)
            .wrap_err("cannot decode the snapshot from the leader")?;
        let revision = state_machine.tables.config.revision;
        drop(state_machine);
        self.host.revision.send_replace(revision);
        self.host.applied_index.send_replace(snapshot.index);
        Ok(())
    }

    fn send(&mut self, message: Message) {
        let Some(addr) = self.address(message.to) else { return };
        let host = &self.host;
        self.transport.send(addr, || host.peers.get(addr), message);
    }

    /// Applies committed entries and answers their submitters. Keeps only the replies until all are applied, not the
    /// decoded changes: after a restart the entries are the whole log.
    fn apply(&mut self, entries: &[Entry]) -> eyre::Result<()> {
        let mut replies = Vec::new();
        let mut orders = Vec::new();
        let mut state_machine = self.host.state_machine.lock();
        for entry in entries {
            let (index, term) = (entry.index, entry.term);
            let applied = state_machine.apply(entry).wrap_err("cannot decode a log entry")?;
            let Some(applied) = applied else { continue };
            self.record_change(&applied);
            // Those that nobody waits for here were committed under another leader, or before the start of the process.
            if self.pending_proposals.contains_key(&applied.entry.id)
                && let Reply::Applied { revision } = applied.reply
            {
                let order = Order::new(&applied.entry.change, revision, index, term);
                orders.extend(order);
            }
            replies.push((applied.entry.id, applied.reply));
        }
        let (index, revision) = (state_machine.index, state_machine.tables.config.revision);
        drop(state_machine);
        self.host.applied_index.send_replace(index);
        self.host.revision.send_if_modified(|it| std::mem::replace(it, revision) != revision);
        for (id, reply) in replies {
            self.answer_proposal(id, &reply);
        }
        self.record_orders(&orders);
        for entry in entries {
            if let Payload::Membership(membership) = &entry.payload {
                self.record_event(event::Kind::Membership, describe_membership(membership));
            }
        }
        Ok(())
    }

    /// Logs which voters were known to hold the orders when they were committed.
    fn record_orders(&self, orders: &[Order]) {
        if orders.is_empty() || self.core.role() != Role::Leader {
            return;
        }
        let status = self.core.status();
        for order in orders {
            let Order { kind, subject, revision, index, term } = order;
            let holds =
                |it: &MemberId| status.members.get(it).is_some_and(|it| it.match_index >= *index);
            let name = |it: MemberId| status.membership.members[&it].name.as_str();
            let voters = status.membership.voters();
            let held_by: Vec<_> = voters.filter(holds).map(name).collect();
            log::info!(
                "event=order_committed order={kind} {subject} revision={revision} index={index} \
                 term={term} voters={} held_by={} via={}",
                status.membership.voters().count(),
                held_by.join(","),
                self.host.cfg.name,
            );
            self.host.metrics.committed_orders.with_label_values(&[*kind]).inc();
        }
    }

    fn answer_proposal(&mut self, id: ChangeId, reply: &Reply) {
        let Some(pending) = self.pending_proposals.remove(&id) else { return };
        let elapsed = pending.received_at.elapsed().as_secs_f64();
        self.host.metrics.commit_seconds.with_label_values::<&str>(&[]).observe(elapsed);
        for responder in pending.responders {
            let _ = responder.send(Ok(reply.clone()));
        }
    }

    fn answer_read(&mut self, token: u64, index: crate::error::Result<Index>) {
        if let Some(responder) = self.pending_reads.remove(&token) {
            let _ = responder.send(index);
        }
    }

    fn record_change(&self, applied: &ApplyResult) {
        if !applied.changed {
            return;
        }
        let event = match &applied.entry.change {
            Change::SetLabel { object, key, value } => {
                let cause = format!("operator set {object} {key}={value}");
                with_object(
                    Event::new(event::Kind::ConfigApplied, cause),
                    object.kind,
                    &object.name,
                )
            }
            Change::RemoveLabel { object, key } => {
                let cause = format!("operator removed {object} {key}");
                with_object(
                    Event::new(event::Kind::ConfigApplied, cause),
                    object.kind,
                    &object.name,
                )
            }
            Change::RemoveNode { name, .. } => {
                Event::new(event::Kind::NodeRemoved, format!("host {name} was removed"))
            }
            change if change.is_operator_change() => {
                Event::new(event::Kind::ConfigApplied, format!("operator: {change:?}"))
            }
            Change::StartRollout(it) => {
                let cause = format!("rollout of {} to {:?} started", it.service, it.target_version);
                Event::new(event::Kind::ConfigApplied, cause)
            }
            Change::AdvanceRollout(it) => Event::new(
                event::Kind::ConfigApplied,
                format!(
                    "rollout of {} to {:?} is {}: {}",
                    it.service, it.target_version, it.stage, it.reason
                ),
            ),
            _ => return,
        };
        self.host.events.record(event);
    }

    pub(super) fn record_event(&self, kind: event::Kind, cause: impl Into<String>) {
        self.host.events.record(Event::new(kind, cause));
    }

    /// Publishes role, leader and membership to the other tasks, if they changed, and handles a change of the role.
    pub(super) fn publish_cluster_status(&mut self) {
        let leader = self.core.leader();
        let new = ClusterStatus {
            role: self.core.role(),
            leader: leader.and_then(|it| Some((it, self.address(it)?))),
            cluster: self.core.hard_state().cluster,
            membership: Arc::default(),
        };
        let old = self.host.cluster_status();
        self.handle_role_change(old.role);
        let same_members = *old.membership == *self.core.membership();
        if (old.role, old.leader, old.cluster) != (new.role, new.leader, new.cluster)
            || !same_members
        {
            let membership = Arc::new(self.core.membership().clone());
            self.host.cluster_status.send_replace(ClusterStatus { membership, ..new });
        }
        self.answer_stop_requests();
    }

    /// Resets the liveness of all processes when this host becomes leader, so that their silence counts from the
    /// election. Drops pending proposals when it steps down; their submitters get an error and retry under the same id.
    fn handle_role_change(&mut self, old: Role) {
        let term = self.core.hard_state().term;
        if self.core.role() == Role::Leader && self.last_led_term != term {
            self.last_led_term = term;
            self.node_liveness.reset();
            self.target_liveness.reset();
            self.rollouts.forget_evidence(self.now_ms());
            self.record_event(event::Kind::Election, format!("became leader in term {term}"));
        }
        if self.core.role() != Role::Leader && old == Role::Leader {
            self.pending_proposals.clear();
            self.record_event(event::Kind::Election, format!("stepped down in term {term}"));
        }
    }
}

/// A change that an operator ordered.
struct Order {
    kind: &'static str,
    /// What it is about, as fields of a log line.
    subject: String,
    revision: Revision,
    index: Index,
    term: Term,
}

impl Order {
    /// Returns none for a change that no operator orders.
    fn new(change: &Change, revision: Revision, index: Index, term: Term) -> Option<Self> {
        let (kind, subject) = match change {
            Change::PutRoutes(it) => ("routes", format!("version={}", it.version)),
            Change::SetLabel { object, key, value } => {
                ("label", format!("object={object} key={key} value={value:?}"))
            }
            Change::RemoveLabel { object, key } => ("label", format!("object={object} key={key}")),
            Change::StartRollout(it) => {
                ("rollout", format!("service={} version={:?}", it.service, it.target_version))
            }
            _ => return None,
        };
        Some(Self { kind, subject, revision, index, term })
    }
}

fn with_object(event: Event, kind: ObjectKind, name: &str) -> Event {
    match kind {
        ObjectKind::Zone => event.zone(name),
        ObjectKind::Target => event.target(name),
        _ => event,
    }
}

fn describe_membership(membership: &Membership) -> String {
    let names = |voter: bool| {
        let members = membership.members.values().filter(|it| it.voter == voter);
        members.map(|it| it.name.as_str()).collect::<Vec<_>>().join(",")
    };
    format!("voters {} learners {}", names(true), names(false))
}

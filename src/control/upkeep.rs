//! What a control host does at intervals: expiry of entry hosts, the clock of the log, repair, snapshots.

use crate::{
    control::{driver::Driver, repair},
    event,
    raft::{Event, MemberChange, Role},
    state::{Change, Phase},
    wire::control::ProcessId,
};

const LIVENESS_INTERVAL_MS: u64 = 100;
const REPAIR_INTERVAL_MS: u64 = 250;
const CLOCK_INTERVAL_MS: u64 = 60_000;
const SPACE_INTERVAL_MS: u64 = 1_000;
/// A leader with a full disk hands over this often; each time costs an election.
const HANDOVER_INTERVAL_MS: u64 = 10_000;
const METRICS_INTERVAL_MS: u64 = 1_000;
/// A target that left is forgotten after this many times the silence that removes one that serves.
const LEFT_TARGET_EXPIRIES: u64 = 6;

/// When each task is due.
#[derive(Default)]
pub struct Due {
    liveness: u64,
    repair: u64,
    clock: u64,
    space: u64,
    handover: u64,
    metrics: u64,
}

/// Whether the time has come; if so, sets the next one.
fn due(at: &mut u64, now_ms: u64, interval_ms: u64) -> bool {
    let due = *at <= now_ms;
    if due {
        *at = now_ms + interval_ms;
    }
    due
}

fn heard(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { process_name: name.to_owned(), incarnation }
}

impl Driver {
    pub(super) fn keep_up(&mut self) -> eyre::Result<()> {
        let now_ms = self.now_ms();
        if self.core.applied() >= self.core.snapshot_index() + self.host.cfg.snapshot_entries {
            self.compact()?;
        }
        if self.log.is_full() && due(&mut self.due.space, now_ms, SPACE_INTERVAL_MS) {
            self.look_for_space(now_ms)?;
        }
        if due(&mut self.due.metrics, now_ms, METRICS_INTERVAL_MS) {
            self.measure();
        }
        // A new leader is published first, so that silence counts from its election.
        if self.core.role() != Role::Leader || self.led != self.core.hard().term {
            return Ok(());
        }
        if due(&mut self.due.liveness, now_ms, LIVENESS_INTERVAL_MS) && !self.log.is_full() {
            self.expire_nodes(now_ms)?;
            self.expire_targets(now_ms)?;
        }
        if due(&mut self.due.clock, now_ms, CLOCK_INTERVAL_MS) && !self.log.is_full() {
            self.propose_own(Change::Tick)?;
        }
        if due(&mut self.due.repair, now_ms, REPAIR_INTERVAL_MS) && !self.log.is_full() {
            self.repair(now_ms)?;
        }
        Ok(())
    }

    fn compact(&mut self) -> eyre::Result<()> {
        let machine = self.host.machine.lock();
        let (index, data) = (machine.index, machine.snapshot());
        drop(machine);
        self.step(Event::Compact { index, data })
    }

    fn look_for_space(&mut self, now_ms: u64) -> eyre::Result<()> {
        self.log.look_for_space()?;
        if self.log.is_full() {
            let due = due(&mut self.due.handover, now_ms, HANDOVER_INTERVAL_MS);
            return if due { self.step(Event::Transfer) } else { Ok(()) };
        }
        self.record(
            event::Kind::StorageFailed,
            "over: the disk has space again: changes are taken",
        );
        Ok(())
    }

    fn expire_nodes(&mut self, now_ms: u64) -> eyre::Result<()> {
        let expiry_ms = self.host.cfg.node_expiry_ms;
        let known = self.host.read(|it| {
            let nodes = it.config.nodes.values();
            nodes.map(|it| (heard(&it.name, it.incarnation), expiry_ms)).collect()
        });
        for ProcessId { process_name, incarnation } in self.liveness.expired(now_ms, known) {
            let cause = format!("node {process_name} sent no poll for {expiry_ms} ms");
            self.record(event::Kind::NodeRemoved, cause);
            self.propose_own(Change::RemoveNode { name: process_name, incarnation })?;
        }
        Ok(())
    }

    /// Removes targets whose announcements nobody renews. Those that left stay known longer, so that an announcement
    /// which was under way for long does not bring them back.
    fn expire_targets(&mut self, now_ms: u64) -> eyre::Result<()> {
        let Some(expiry_ms) = self.host.cfg.target_expiry_ms else { return Ok(()) };
        let allowed = |phase| match phase {
            Phase::Serving => expiry_ms,
            Phase::Leaving => expiry_ms * LEFT_TARGET_EXPIRIES,
        };
        let known = self.host.read(|it| {
            let targets = it.config.targets.values();
            targets.map(|it| (heard(&it.name, it.incarnation), allowed(it.phase))).collect()
        });
        for ProcessId { process_name: name, incarnation } in self.targets.expired(now_ms, known) {
            let event = event::Event::new(event::Kind::TargetRemoved, "no renewal in time");
            self.host.events.record(event.target(&name));
            self.propose_own(Change::RemoveTarget { name, incarnation })?;
        }
        Ok(())
    }

    fn repair(&mut self, now_ms: u64) -> eyre::Result<()> {
        let status = self.core.status();
        let own = self.core.id();
        let after_ms = self.host.cfg.repair_after_ms;
        let wanted = self.host.cfg.voters as usize;
        let Some(change) = repair::next_change(&status, own, now_ms, after_ms, wanted) else {
            return Ok(());
        };
        let name = |id| status.membership.members.get(&id).map_or("?", |it| it.name.as_str());
        let cause = match &change {
            MemberChange::Promote { id, replaces: None } => {
                format!("learner {} is one more voter", name(*id))
            }
            MemberChange::Promote { id, replaces: Some(replaces) } => format!(
                "voter {} was silent for {after_ms} ms, learner {} takes its place",
                name(*replaces),
                name(*id)
            ),
            MemberChange::Demote(id) => format!("replaced voter {} becomes a learner", name(*id)),
            MemberChange::Remove(id) => format!("old identity of {} is removed", name(*id)),
            MemberChange::AddLearner(id, _) => format!("learner {} is added", name(*id)),
        };
        self.record(event::Kind::Repaired, cause);
        self.step(Event::Change(change))
    }

    fn measure(&self) {
        let status = self.core.status();
        let (revision, claims) = self.host.read(|it| (it.config.revision, it.claims.len()));
        let values = [
            ("term", status.term),
            ("commit_index", status.commit),
            ("last_index", status.last),
            ("applied_index", self.core.applied()),
            ("snapshot_index", self.core.snapshot_index()),
            ("revision", revision),
            ("claims", claims as u64),
            ("log_bytes", self.log.bytes()),
            ("leader", u64::from(status.role == Role::Leader)),
            ("voters", status.membership.voters().count() as u64),
            ("members", status.membership.members.len() as u64),
            ("disk_full", u64::from(self.log.is_full())),
        ];
        for (name, value) in values {
            self.host.metrics.gauges.with_label_values(&[name]).set(value as i64);
        }
    }
}

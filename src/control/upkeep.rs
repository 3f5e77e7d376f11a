//! Periodic tasks of the consensus thread. Every host compacts its log, checks a full disk and updates its gauges. The
//! leader also expires entry hosts and targets, advances the clock of the log and repairs the membership.

use crate::{
    control::{
        driver::{Driver, TRAILING_DIVISOR},
        repair,
    },
    event,
    raft::{Event, MemberChange, Role},
    state::{Change, Phase},
    wire::control::ProcessId,
};

const LIVENESS_INTERVAL_MS: u64 = 100;
const REPAIR_INTERVAL_MS: u64 = 250;
/// How often the leader commits a `Tick`, which removes expired suspects and claims also if nothing else changes.
const CLOCK_INTERVAL_MS: u64 = 60_000;
const DISK_CHECK_INTERVAL_MS: u64 = 1_000;
/// Shortest time between two attempts to make a snapshot while the disk is full.
const SNAPSHOT_INTERVAL_MS: u64 = 250;
/// How often a leader with a full disk tries to transfer leadership. Each transfer costs an election.
const LEADERSHIP_TRANSFER_INTERVAL_MS: u64 = 10_000;
const ROLLOUT_INTERVAL_MS: u64 = 200;
const METRICS_INTERVAL_MS: u64 = 1_000;
/// How often the leader looks for silent entry hosts.
const SILENCE_INTERVAL_MS: u64 = 1_000;
/// An entry host without a poll for this long is silent: a poll is held for at most a second. With the default
/// `node_expiry_ms` it is logged at least once before it is removed.
const SILENT_AFTER_MS: u64 = 1_800;
/// Maximum number of silent entry hosts in the log at once.
const MAX_SILENT_NAMED: usize = 10;
/// Leaving targets expire after this many times the expiry of serving ones.
const LEAVING_TARGET_EXPIRY_FACTOR: u64 = 6;

/// The next due time of each task, in milliseconds of the thread's clock.
#[derive(Default)]
pub struct Schedule {
    snapshot: u64,
    liveness: u64,
    repair: u64,
    clock: u64,
    disk_check: u64,
    leadership_transfer: u64,
    metrics: u64,
    rollouts: u64,
    silence: u64,
}

/// Whether a task is due; if so, also schedules its next run.
fn is_due(at: &mut u64, now_ms: u64, interval_ms: u64) -> bool {
    let due = *at <= now_ms;
    if due {
        *at = now_ms + interval_ms;
    }
    due
}

fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { process_name: name.to_owned(), incarnation }
}

impl Driver {
    /// Runs the tasks that are due. While the disk is full, the leader proposes nothing.
    pub(super) fn run_periodic_tasks(&mut self) -> eyre::Result<()> {
        let now_ms = self.now_ms();
        if self.needs_snapshot()
            && (!self.log.is_disk_full()
                || is_due(&mut self.schedule.snapshot, now_ms, SNAPSHOT_INTERVAL_MS))
        {
            self.compact()?;
        }
        if self.log.is_disk_full()
            && is_due(&mut self.schedule.disk_check, now_ms, DISK_CHECK_INTERVAL_MS)
        {
            self.check_disk_space(now_ms)?;
        }
        if is_due(&mut self.schedule.metrics, now_ms, METRICS_INTERVAL_MS) {
            self.update_state_gauges();
        }
        let rollouts_due = is_due(&mut self.schedule.rollouts, now_ms, ROLLOUT_INTERVAL_MS);
        if rollouts_due {
            self.follow_rollouts(now_ms);
        }
        // A new leader waits until `handle_role_change` has reset the liveness of all processes for its term.
        let hears_all =
            self.core.role() == Role::Leader && self.last_led_term == self.core.hard_state().term;
        if is_due(&mut self.schedule.silence, now_ms, SILENCE_INTERVAL_MS) {
            self.log_silent_nodes(now_ms, hears_all);
        }
        if !hears_all {
            return Ok(());
        }
        if is_due(&mut self.schedule.liveness, now_ms, LIVENESS_INTERVAL_MS)
            && !self.log.is_disk_full()
        {
            self.expire_nodes(now_ms)?;
            self.expire_targets(now_ms)?;
        }
        if rollouts_due && !self.log.is_disk_full() {
            self.advance_rollouts(now_ms)?;
        }
        if is_due(&mut self.schedule.clock, now_ms, CLOCK_INTERVAL_MS) && !self.log.is_disk_full() {
            self.propose_internal(Change::Tick)?;
        }
        if is_due(&mut self.schedule.repair, now_ms, REPAIR_INTERVAL_MS) && !self.log.is_disk_full()
        {
            self.repair_membership(now_ms)?;
        }
        Ok(())
    }

    /// Whether the log has reached its limit in entries or bytes. On a full disk, any log that a snapshot would
    /// shorten counts, because that may free enough space to continue.
    fn needs_snapshot(&self) -> bool {
        let cfg = &self.host.cfg;
        let new_entries = self.core.applied() - self.core.snapshot_index();
        let max_bytes = if self.log.is_disk_full() {
            cfg.snapshot_bytes / TRAILING_DIVISOR
        } else {
            cfg.snapshot_bytes
        };
        new_entries >= cfg.snapshot_entries
            || (new_entries > 0 && self.log.size_bytes() > max_bytes)
    }

    /// Takes a snapshot of the state machine, so that the core can drop older log entries.
    fn compact(&mut self) -> eyre::Result<()> {
        let state_machine = self.host.state_machine.lock();
        let (index, data) = (state_machine.index, state_machine.snapshot());
        drop(state_machine);
        self.step(Event::Compact { index, data })
    }

    /// Checks whether a full disk has space again. If not, a leader transfers leadership, since another disk may have
    /// space.
    fn check_disk_space(&mut self, now_ms: u64) -> eyre::Result<()> {
        self.log.check_disk_space()?;
        if self.log.is_disk_full() {
            let due = is_due(
                &mut self.schedule.leadership_transfer,
                now_ms,
                LEADERSHIP_TRANSFER_INTERVAL_MS,
            );
            return if due { self.step(Event::TransferLeadership) } else { Ok(()) };
        }
        self.record_event(
            event::Kind::StorageFailed,
            "recovered: the disk has space again; changes are accepted",
        );
        Ok(())
    }

    /// Removes entry hosts that have not polled within `node_expiry_ms`.
    fn expire_nodes(&mut self, now_ms: u64) -> eyre::Result<()> {
        let expiry_ms = self.host.cfg.node_expiry_ms;
        let known = self.host.with_tables(|it| {
            let nodes = it.config.nodes.values();
            nodes.map(|it| (process(&it.name, it.incarnation), expiry_ms)).collect()
        });
        for ProcessId { process_name, incarnation } in self.node_liveness.expired(now_ms, known) {
            let cause = format!("host {process_name} sent no poll for {expiry_ms} ms");
            self.record_event(event::Kind::NodeRemoved, cause);
            self.propose_internal(Change::RemoveNode { name: process_name, incarnation })?;
        }
        Ok(())
    }

    /// Logs the entry hosts that have polled no control host lately. Only the leader gets the heartbeats of all polls; on
    /// other hosts none is silent.
    fn log_silent_nodes(&self, now_ms: u64, hears_all: bool) {
        let mut silent = Vec::new();
        let newest = self.host.with_tables(|it| {
            for node in it.config.nodes.values().filter(|it| hears_all && !it.leaving) {
                let process = process(&node.name, node.incarnation);
                let silent_ms = self.node_liveness.silent_ms(&process, now_ms);
                if let Some(silent_ms) = silent_ms.filter(|it| *it >= SILENT_AFTER_MS) {
                    silent.push((silent_ms, process, node.zone.clone()));
                }
            }
            it.config.revision
        });
        let count = silent.len();
        self.host.metrics.silent_followers.with_label_values::<&str>(&[]).set(count as i64);
        silent.sort_by_key(|it| std::cmp::Reverse(it.0));
        for (silent_ms, process, zone) in silent.into_iter().take(MAX_SILENT_NAMED) {
            log::warn!(
                "event=relay_silent relay={} zone={zone} incarnation={} silent_ms={silent_ms} \
                 newest={newest} via={} silent={count}",
                process.process_name,
                process.incarnation,
                self.host.cfg.name,
            );
        }
    }

    /// Removes targets whose announcements are not renewed. Leaving targets are kept longer, so that a delayed
    /// announcement from before the leave does not add them again.
    fn expire_targets(&mut self, now_ms: u64) -> eyre::Result<()> {
        let Some(expiry_ms) = self.host.cfg.target_expiry_ms else { return Ok(()) };
        let max_silence_ms = |phase| match phase {
            Phase::Serving => expiry_ms,
            Phase::Leaving => expiry_ms * LEAVING_TARGET_EXPIRY_FACTOR,
        };
        let known = self.host.with_tables(|it| {
            let targets = it.config.targets.values();
            targets
                .map(|it| (process(&it.name, it.incarnation), max_silence_ms(it.phase)))
                .collect()
        });
        for ProcessId { process_name: name, incarnation } in
            self.target_liveness.expired(now_ms, known)
        {
            let event = event::Event::new(event::Kind::TargetRemoved, "no renewal in time");
            self.host.events.record(event.target(&name));
            self.propose_internal(Change::RemoveTarget { name, incarnation })?;
        }
        Ok(())
    }

    /// Proposes the next membership change that replaces a lost voter or reaches the configured number of voters.
    fn repair_membership(&mut self, now_ms: u64) -> eyre::Result<()> {
        let status = self.core.status();
        if !status.membership_committed {
            // The second step of a replacement must not wait for the next interval.
            self.schedule.repair = now_ms;
            return Ok(());
        }
        let own_id = self.core.id();
        let after_ms = self.host.cfg.repair_after_ms;
        let wanted = self.host.cfg.voters as usize;
        let Some(change) = repair::next_change(&status, own_id, now_ms, after_ms, wanted) else {
            return Ok(());
        };
        let name = |id| status.membership.members.get(&id).map_or("?", |it| it.name.as_str());
        let cause = match &change {
            MemberChange::Promote(id) => format!("promoting learner {} to voter", name(*id)),
            MemberChange::Replace { lost, successor } => format!(
                "voter {} was silent for {after_ms} ms or lost its disk; learner {} replaces it",
                name(*lost),
                name(*successor)
            ),
            MemberChange::Demote(id) => format!("demoting replaced voter {} to learner", name(*id)),
            MemberChange::Remove(id) => format!("removing the obsolete identity of {}", name(*id)),
            MemberChange::AddLearner(id, _) => format!("adding learner {}", name(*id)),
        };
        self.step(Event::ChangeMembership(change))?;
        // A new leader drops the change until it has committed an entry; it is proposed again then.
        if *self.core.membership() != status.membership {
            self.record_event(event::Kind::Repaired, cause);
            self.schedule.repair = now_ms;
        }
        Ok(())
    }

    fn update_state_gauges(&self) {
        let status = self.core.status();
        let (revision, claims) = self.host.with_tables(|it| (it.config.revision, it.claims.len()));
        let values = [
            ("term", status.term),
            ("commit_index", status.commit_index),
            ("last_index", status.last_index),
            ("applied_index", self.core.applied()),
            ("snapshot_index", self.core.snapshot_index()),
            ("revision", revision),
            ("claims", claims as u64),
            ("log_bytes", self.log.size_bytes()),
            ("leader", u64::from(status.role == Role::Leader)),
            ("voters", status.membership.voters().count() as u64),
            ("members", status.membership.members.len() as u64),
            ("disk_full", u64::from(self.log.is_disk_full())),
        ];
        for (name, value) in values {
            self.host.metrics.state_gauges.with_label_values(&[name]).set(value as i64);
        }
        self.update_rollout_gauges();
    }
}

//! Targets that have said that they leave. Their processes never serve again, whichever of their announcements is committed
//! later, and whether or not the configuration still has them.
//!
//! An announcement names a process by its incarnation. A leave names the target only, and may come from a process that
//! has never been heard. The incarnation is the start time of a process by its own clock, so that it tells whether a process
//! had started when the leave was taken, except around that time: clocks differ. A process from that time serves only if its
//! health check has succeeded after the leave, or once it cannot be the one that left. If no known process accounts for
//! the leave, those that may account for it do not serve until then at all.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{Change, Config, Phase};

/// Retention of a departure. Announcements are late by seconds, so that none arrives after it.
const RETENTION_MS: u64 = 3_600_000;

/// Time after a leave in which its process may still serve and its announcements may arrive.
const LEAVING_MS: u64 = 30_000;

/// Time within which a target repeats a leave that was not acknowledged.
const REPEAT_MS: u64 = 2_000;

/// Number of targets whose departures are kept; beyond it the oldest is dropped.
const MAX_TARGETS: usize = 16_384;

/// Number of processes of one target that are kept; beyond it the one that started first is dropped, because the
/// others are more likely to be late.
const MAX_PROCESSES: usize = 16;

/// A leave that names no process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leave {
    /// The log's clock when it was committed, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// The latest incarnation of a process that may have left.
    latest: u64,
    /// A process with this incarnation or an earlier one had started for sure.
    surely_before: u64,
}

impl Leave {
    /// Maximum difference between the clocks of two hosts when it was committed.
    fn max_clock_skew_ms(&self) -> u64 {
        self.at_ms.saturating_sub(self.surely_before)
    }

    /// The latest incarnation of a process that may have started before.
    fn possibly_before(&self) -> u64 {
        self.latest.max(self.at_ms + self.max_clock_skew_ms())
    }

    /// Whether no known process accounts for the leave.
    fn is_of_unheard(&self) -> bool {
        self.latest > self.at_ms
    }
}

/// What is known of a process that announces itself as serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has not left.
    Sound,
    /// It has left, or is taken for a process that has.
    Left,
    /// It may be a process that left.
    Uncertain {
        /// The last departure, by the log's clock in milliseconds since the Unix epoch.
        left_at_ms: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    /// The log's clock when it was last recorded, or somewhat more, as it differs from the one before.
    at_ms: u64,
    /// Incarnations of processes that have said that they leave.
    processes: BTreeSet<u64>,
    /// The last leave.
    leave: Option<Leave>,
}

/// Departures by the names of the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    records: BTreeMap<String, Departure>,
}

impl Departures {
    /// Judges a process that announces itself as serving. From [`LEAVING_MS`] after a departure on, announcements that cannot
    /// be told from those of the process that left can only be those of a successor. By the log's clock it takes longer:
    /// the next leader's may be ahead.
    pub fn standing(&self, name: &str, incarnation: u64, now_ms: u64) -> Standing {
        let Some(Departure { at_ms, processes, leave }) = self.records.get(name) else {
            return Standing::Sound;
        };
        let uncertain_ms = LEAVING_MS + leave.map_or(0, |it| it.max_clock_skew_ms());
        let is_taken_for_left = |it: &Leave| {
            incarnation <= it.surely_before
                || (it.is_of_unheard()
                    && incarnation <= it.latest
                    && now_ms <= it.at_ms + LEAVING_MS)
        };
        if processes.contains(&incarnation) || leave.as_ref().is_some_and(is_taken_for_left) {
            Standing::Left
        } else if now_ms <= at_ms + uncertain_ms {
            Standing::Uncertain { left_at_ms: *at_ms }
        } else {
            Standing::Sound
        }
    }

    /// Judges a process by its clock only, as in the logs of earlier releases. Returns false for a process that has left, and
    /// for one that cannot be told from it until [`LEAVING_MS`] after the leave.
    pub fn admits(&self, name: &str, incarnation: u64, now_ms: u64) -> bool {
        let Some(Departure { processes, leave, .. }) = self.records.get(name) else { return true };
        if processes.contains(&incarnation) {
            return false;
        }
        let Some(leave) = leave else { return true };
        incarnation > leave.latest
            || (incarnation > leave.surely_before && now_ms > leave.at_ms + LEAVING_MS)
    }

    /// Records what an applied change says about departures. `config` is the configuration after the change.
    pub(super) fn record(&mut self, change: &Change, config: &Config) {
        let now_ms = config.now_ms;
        match change {
            Change::PutTarget(target) | Change::Announce { target, .. }
                if target.phase == Phase::Leaving =>
            {
                self.record_process(&target.name, target.incarnation, now_ms);
            }
            Change::RetireTarget { name, incarnation } => {
                self.record_process(name, *incarnation, now_ms);
            }
            Change::Leave { name, max_clock_skew_ms } => {
                let known = config.targets.get(name).map(|it| it.incarnation);
                self.record_leave(name, known, now_ms, *max_clock_skew_ms);
            }
            Change::Depart { name, max_clock_skew_ms } => {
                let known = config.targets.get(name).map(|it| it.incarnation);
                self.record_departure(name, known, now_ms, *max_clock_skew_ms);
            }
            Change::Tick => self.records.retain(|_, it| it.at_ms + RETENTION_MS > now_ms),
            _ => {}
        }
    }

    /// Records that a process leaves.
    pub(super) fn record_process(&mut self, name: &str, incarnation: u64, now_ms: u64) {
        let processes = &mut self.record_of(name, now_ms).processes;
        processes.insert(incarnation);
        if processes.len() > MAX_PROCESSES {
            processes.pop_first();
        }
    }

    /// Records that a target leaves. A process that is known under its name leaves for sure. If none is known, the clock of
    /// the one that leaves may be ahead of the log's.
    fn record_leave(
        &mut self,
        name: &str,
        known: Option<u64>,
        now_ms: u64,
        max_clock_skew_ms: u64,
    ) {
        if let Some(known) = known {
            self.record_process(name, known, now_ms);
        }
        let latest = if known.is_some() { now_ms } else { now_ms + max_clock_skew_ms };
        let surely_before = now_ms.saturating_sub(max_clock_skew_ms);
        let leave = &mut self.record_of(name, now_ms).leave;
        let latest = latest.max(leave.map_or(0, |it| it.latest));
        *leave = Some(Leave { at_ms: now_ms, latest, surely_before });
    }

    /// Records that a target leaves, as [`Self::record_leave`]. If the known process had left before, another one leaves.
    fn record_departure(
        &mut self,
        name: &str,
        known: Option<u64>,
        now_ms: u64,
        max_clock_skew_ms: u64,
    ) {
        let last = self.records.get(name).and_then(|it| it.leave);
        let had_left = last.is_some_and(|last| {
            let processes = &self.records[name].processes;
            let accounts_for_last =
                |it: u64| processes.contains(&it) && it <= last.possibly_before();
            known.is_some_and(accounts_for_last) && now_ms > last.at_ms + REPEAT_MS
        });
        self.record_leave(name, known, now_ms, max_clock_skew_ms);
        if had_left && let Some(leave) = &mut self.record_of(name, now_ms).leave {
            leave.latest = leave.latest.max(now_ms + max_clock_skew_ms);
        }
    }

    fn record_of(&mut self, name: &str, now_ms: u64) -> &mut Departure {
        if !self.records.contains_key(name) && self.records.len() >= MAX_TARGETS {
            let oldest = self.records.iter().min_by_key(|(_, it)| it.at_ms);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.records.remove(&oldest);
            }
        }
        let record = self.records.entry(name.to_owned()).or_default();
        record.at_ms = now_ms.max(record.at_ms + 1);
        record
    }
}

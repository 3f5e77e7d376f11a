//! The state of each shard of a query: sub-requests, rows and the reason why it is missing.
//!
//! A shard is settled once it has rows or is given up.

use crate::{
    error::{Kind, Outcome},
    wire::{
        caller::{Missing, Row},
        owner::BatchId,
    },
};

/// One sub-request that was sent for a shard.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The target that was asked.
    pub(super) target: String,
    /// The incarnation of the owner through which it was asked.
    pub(super) owner_incarnation: u64,
    id: BatchId,
}

/// The state of one shard.
#[derive(Debug, Default)]
pub(super) struct Shard {
    /// The sub-requests that were sent.
    pub(super) attempts: Vec<Attempt>,
    /// Whether no usable target held it when the last one was chosen.
    pub(super) lost: bool,
    /// How often it was deferred because the ownership of its targets was moving.
    pub(super) deferrals: u32,
    rows: Option<Vec<Row>>,
    running: Vec<BatchId>,
    reason: Option<Kind>,
    settled: bool,
}

impl Shard {
    /// The reason to report after a failure with `kind`. An earlier failure stays the reason if the sub-request may
    /// have run, or if `kind` only says that there is no other target.
    pub(super) fn reason_after(&self, kind: Kind) -> Kind {
        match self.reason {
            Some(it) if it.outcome() == Outcome::Unknown || kind == Kind::NoTarget => it,
            _ => kind,
        }
    }
}

/// The state of all shards of one index version.
#[derive(Debug)]
pub(super) struct Shards {
    version: u64,
    shards: Vec<Shard>,
}

impl Shards {
    /// Creates the state of `total` shards that are not settled.
    pub(super) fn new(version: u64, total: usize) -> Self {
        let shards = std::iter::repeat_with(Shard::default).take(total).collect();
        Self { version, shards }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// How many shards the version has.
    pub(super) fn total(&self) -> usize {
        self.shards.len()
    }

    /// How many shards have rows, that is an answer, possibly an empty one.
    pub(super) fn covered(&self) -> usize {
        self.shards.iter().filter(|it| it.rows.is_some()).count()
    }

    /// Whether a shard without rows has no usable target with this version.
    pub(super) fn any_lost(&self) -> bool {
        self.shards.iter().any(|it| it.lost && it.rows.is_none())
    }

    /// The shards that are not settled.
    pub(super) fn unsettled(&self) -> Vec<u32> {
        let unsettled = self.shards.iter().enumerate().filter(|(_, it)| !it.settled);
        unsettled.map(|(i, _)| i as u32).collect()
    }

    /// How many copies of the shard's sub-request are running. `None` if the shard is settled.
    pub(super) fn running_copies(&self, number: u32) -> Option<u32> {
        let shard = self.shards.get(number as usize).filter(|it| !it.settled)?;
        Some(shard.running.len() as u32)
    }

    pub(super) fn get_mut(&mut self, number: u32) -> &mut Shard {
        &mut self.shards[number as usize]
    }

    /// Records that a sub-request was sent.
    pub(super) fn record_sent(
        &mut self,
        number: u32,
        id: BatchId,
        target: &str,
        owner_incarnation: u64,
    ) {
        let shard = self.get_mut(number);
        shard.attempts.push(Attempt { target: target.to_owned(), owner_incarnation, id });
        shard.running.push(id);
    }

    /// The target to which a batch sent the sub-request of a shard.
    pub(super) fn target_of(&self, number: u32, id: BatchId) -> Option<&str> {
        let attempts = self.shards.get(number as usize)?.attempts.iter();
        attempts.rev().find(|it| it.id == id).map(|it| it.target.as_str())
    }

    /// Records the rows of a shard, unless it is settled. Returns the batches whose copies were running, the one that
    /// succeeded included.
    pub(super) fn record_success(&mut self, number: u32, rows: Vec<Row>) -> Vec<BatchId> {
        let shard = self.get_mut(number);
        if !shard.settled {
            shard.rows = Some(rows);
            shard.settled = true;
        }
        std::mem::take(&mut shard.running)
    }

    /// Records a failed sub-request. Returns whether the shard needs no retry, because another copy is running or it is
    /// settled.
    pub(super) fn record_failure(&mut self, number: u32, id: BatchId, kind: Kind) -> bool {
        let shard = self.get_mut(number);
        shard.running.retain(|it| *it != id);
        shard.reason = Some(shard.reason_after(kind));
        shard.settled || !shard.running.is_empty()
    }

    /// Records that a sub-request could not be sent. Gives up the shard unless a copy is running.
    pub(super) fn record_not_sent(&mut self, number: u32, kind: Kind) {
        if self.get_mut(number).running.is_empty() {
            self.give_up(number, kind);
        }
    }

    /// Settles a shard without rows.
    pub(super) fn give_up(&mut self, number: u32, kind: Kind) {
        let shard = self.get_mut(number);
        shard.reason = Some(shard.reason_after(kind));
        shard.running.clear();
        shard.settled = true;
    }

    /// Why the shard has no rows, if a sub-request of it failed.
    pub(super) fn failure(&self, number: u32) -> Option<Kind> {
        let shard = self.shards.get(number as usize)?;
        shard.rows.is_none().then_some(shard.reason).flatten()
    }

    /// Whether a sub-request may have run at a target.
    pub(super) fn may_have_run(&self) -> bool {
        self.shards.iter().any(|it| {
            it.rows.is_some() || it.reason.is_some_and(|it| it.outcome() == Outcome::Unknown)
        })
    }

    /// The shards without rows, with the reason.
    pub(super) fn missing(&self) -> Vec<Missing> {
        let missing = self.shards.iter().enumerate().filter(|(_, it)| it.rows.is_none());
        missing
            .map(|(i, it)| Missing { shard: i as u32, reason: it.reason.unwrap_or(Kind::Internal) })
            .collect()
    }

    /// Takes all rows, sorted by id.
    pub(super) fn take_rows(&mut self) -> Vec<Row> {
        let rows = self.shards.iter_mut().filter_map(|it| it.rows.as_mut());
        let mut all: Vec<Row> = rows.flat_map(std::mem::take).collect();
        all.sort_unstable();
        all
    }
}

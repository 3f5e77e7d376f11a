//! What a query knows of each shard of its index version.

use crate::{
    error::{Kind, Outcome},
    wire::{
        caller::{Missing, Row},
        owner::BatchId,
    },
};

/// One sub-request of a shard.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The target that was asked.
    pub(super) target: String,
    /// The process of the owner that was to ask it.
    pub(super) owner_incarnation: u64,
    id: BatchId,
}

/// What a query knows of one shard.
#[derive(Debug, Default)]
pub(super) struct Shard {
    /// The targets that were asked.
    pub(super) attempts: Vec<Attempt>,
    /// Whether no usable target holds it.
    pub(super) lost: bool,
    /// How often it waited for its targets' new owners.
    pub(super) deferrals: u32,
    rows: Option<Vec<Row>>,
    running: Vec<BatchId>,
    reason: Option<Kind>,
    settled: bool,
}

impl Shard {
    /// Why the shard is missing, if nothing was attempts before `kind`. A sub-request that may have run stays the reason.
    pub(super) fn reason_after(&self, kind: Kind) -> Kind {
        match self.reason {
            Some(it) if it.outcome() == Outcome::Unknown || kind == Kind::NoTarget => it,
            _ => kind,
        }
    }
}

/// All shards of one index version.
#[derive(Debug)]
pub(super) struct Shards {
    version: u64,
    shards: Vec<Shard>,
}

impl Shards {
    /// Starts with nothing known.
    pub(super) fn new(version: u64, total: usize) -> Self {
        let shards = std::iter::repeat_with(Shard::default).take(total).collect();
        Self { version, shards }
    }

    /// The index version.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// How many shards the version has.
    pub(super) fn total(&self) -> usize {
        self.shards.len()
    }

    /// How many shards have an answer.
    pub(super) fn covered(&self) -> usize {
        self.shards.iter().filter(|it| it.rows.is_some()).count()
    }

    /// Whether a shard has no usable target with this version any more.
    pub(super) fn any_lost(&self) -> bool {
        self.shards.iter().any(|it| it.lost && it.rows.is_none())
    }

    /// The shards that are not settled.
    pub(super) fn unsettled(&self) -> Vec<u32> {
        let unsettled = self.shards.iter().enumerate().filter(|(_, it)| !it.settled);
        unsettled.map(|(i, _)| i as u32).collect()
    }

    /// How many copies of a sub-request run; none if the shard is settled.
    pub(super) fn running_copies(&self, number: u32) -> Option<u32> {
        let shard = self.shards.get(number as usize).filter(|it| !it.settled)?;
        Some(shard.running.len() as u32)
    }

    pub(super) fn get_mut(&mut self, number: u32) -> &mut Shard {
        &mut self.shards[number as usize]
    }

    /// A sub-request was sent.
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

    /// The target that a batch asked for a shard.
    pub(super) fn target_of(&self, number: u32, id: BatchId) -> Option<&str> {
        let attempts = self.shards.get(number as usize)?.attempts.iter();
        attempts.rev().find(|it| it.id == id).map(|it| it.target.as_str())
    }

    /// A sub-request succeeded. Returns the batches of other copies.
    pub(super) fn record_success(&mut self, number: u32, rows: Vec<Row>) -> Vec<BatchId> {
        let shard = self.get_mut(number);
        if !shard.settled {
            shard.rows = Some(rows);
            shard.settled = true;
        }
        std::mem::take(&mut shard.running)
    }

    /// A sub-request failed. Returns whether the shard needs no other one: a copy runs, or it is settled.
    pub(super) fn record_failure(&mut self, number: u32, id: BatchId, kind: Kind) -> bool {
        let shard = self.get_mut(number);
        shard.running.retain(|it| *it != id);
        shard.reason = Some(shard.reason_after(kind));
        shard.settled || !shard.running.is_empty()
    }

    /// A sub-request was not sent. The shard is settled unless a copy runs.
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

    /// Why the sub-request of a shard failed, if it did.
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

    /// The shards without rows.
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

//! Waiting for room at the targets of a service: the order in which sub-requests wait, how long, and when to give up.
//!
//! All decisions are functions of what is known and of `now`; the caller does the waiting.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Sub-requests that wait for one service at the same time. Beyond it the last one in order is rejected.
const MAX_WAITING: usize = 1_000;

/// Weight of the newest sample in the average interval between two grants.
const EWMA_WEIGHT: f64 = 0.2;

/// How much a sub-request needs its place, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Its request cannot be answered without it, and can still be answered in time.
    Needed,
    /// Its request covers enough shards without it.
    Spare,
    /// Its request will miss the objective in any case.
    Late,
}

/// The times that bound the wait of a sub-request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// When the response should be complete, to meet the objective.
    pub soft: Instant,
    /// When the sub-request ends in any case.
    pub hard: Instant,
    /// How long a target is expected to take.
    pub cost: Duration,
}

impl Bounds {
    /// The latest start with which the response is complete in time.
    pub fn in_time(&self) -> Instant {
        self.soft.checked_sub(self.cost).unwrap_or(self.soft)
    }

    /// The class in which a sub-request waits now, and until when. `None` if waiting is of no use: it cannot be
    /// completed any more, or its request is answered without it from now on.
    pub fn stage(&self, now: Instant, is_spare: bool) -> Option<(Class, Instant)> {
        let in_time = self.soft.checked_sub(self.cost)?;
        let at_all = self.hard.checked_sub(self.cost)?;
        if now < in_time {
            let class = if is_spare { Class::Spare } else { Class::Needed };
            return Some((class, in_time.min(at_all)));
        }
        (now < at_all && !is_spare).then_some((Class::Late, at_all))
    }
}

/// The place of a sub-request in the queue. Smaller ones are served first: by class, by the priority of the route (0 is
/// the highest), by the latest start, by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    class: Class,
    priority: u32,
    latest_start: Instant,
    number: u64,
}

impl Ticket {
    /// When the sub-request has to start at the latest.
    pub fn latest_start(&self) -> Instant {
        self.latest_start
    }
}

/// The sub-requests of a host that wait for the targets of one service.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Ticket, T>,
    next_number: u64,
    /// Average interval between two grants while something waited. Zero if unknown.
    interval: Duration,
    last_grant: Option<Instant>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_number: 0,
            interval: Duration::ZERO,
            last_grant: None,
        }
    }
}

impl<T> Queue<T> {
    /// A place for a sub-request of this class, not in the queue yet.
    pub fn ticket(&mut self, class: Class, priority: u32, latest_start: Instant) -> Ticket {
        self.next_number += 1;
        Ticket { class, priority, latest_start, number: self.next_number }
    }

    /// Whether nothing waits that is to be served before this ticket.
    pub fn is_first(&self, ticket: &Ticket) -> bool {
        self.waiting.keys().next().is_none_or(|it| ticket < it)
    }

    /// Whether the turn of this ticket is predicted to come after its latest start, from the pace of the last grants.
    pub fn is_hopeless(&self, ticket: &Ticket, now: Instant) -> bool {
        now + self.predicted_wait(ticket) > ticket.latest_start
    }

    /// How long this ticket is predicted to wait for its turn, from the pace of the last grants.
    pub fn predicted_wait(&self, ticket: &Ticket) -> Duration {
        let before = self.waiting.range(..ticket).count();
        self.interval * u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Adds a sub-request.
    pub fn push(&mut self, ticket: Ticket, value: T, now: Instant) {
        if self.waiting.is_empty() {
            self.last_grant = Some(now);
        }
        self.waiting.insert(ticket, value);
        // The dropped value tells the one that waits.
        if self.waiting.len() > MAX_WAITING {
            self.waiting.pop_last();
        }
    }

    /// Takes the sub-request whose turn it is when a place becomes free. Those past their latest start are dropped.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        while let Some((ticket, value)) = self.waiting.pop_first() {
            if now > ticket.latest_start {
                continue;
            }
            if let Some(last) = self.last_grant.replace(now) {
                let sample = now.saturating_duration_since(last).as_secs_f64();
                let average = self.interval.as_secs_f64();
                let average = if average == 0.0 { sample } else { average };
                self.interval = Duration::from_secs_f64(average + EWMA_WEIGHT * (sample - average));
            }
            return Some(value);
        }
        None
    }

    /// Removes a sub-request that stops waiting. False if it is not in the queue any more.
    pub fn remove(&mut self, ticket: &Ticket) -> bool {
        self.waiting.remove(ticket).is_some()
    }

    /// How many sub-requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

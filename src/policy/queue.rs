//! Waiting for room at the targets of a service: the order in which sub-requests wait, how long, and when to give up.
//!
//! All decisions are functions of what is known and of `now`; the caller does the waiting.

mod level;
mod sorted;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::policy::queue::level::{Key, Level};

/// Sub-requests that wait for one service at the same time. Beyond it the last one in order is rejected.
const MAX_WAITING: usize = 1_000;

/// Weight of the newest sample in the average interval between two grants.
const EWMA_WEIGHT: f64 = 0.2;

/// Of the flows that hold equally many places, this many are compared to find the one that loses a place.
const MAX_COMPARED: usize = 16;

/// Sub-requests that share the capacity as one, those of a tenant. The default one is that of requests without a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow(u64);

impl Flow {
    /// The flow of a tenant.
    pub fn of_tenant(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

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

/// The place of a sub-request in the queue. Served first is the lower class, then the lower priority (0 is the highest).
/// Inside these, flows take turns, and the sub-requests of a flow are served by the latest start, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    class: Class,
    priority: u32,
    flow: Flow,
    latest_start: Instant,
    number: u64,
}

impl Ticket {
    /// When the sub-request has to start at the latest.
    pub fn latest_start(&self) -> Instant {
        self.latest_start
    }

    fn level(&self) -> (Class, u32) {
        (self.class, self.priority)
    }

    fn key(&self) -> Key {
        (self.latest_start, self.number)
    }
}

/// The sub-requests of a host that wait for the targets of one service.
#[derive(Debug)]
pub struct Queue<T> {
    levels: BTreeMap<(Class, u32), Level<T>>,
    /// How many sub-requests of each flow wait.
    held: HashMap<Flow, usize>,
    by_held: BTreeSet<(usize, Flow)>,
    len: usize,
    max_waiting: usize,
    next_number: u64,
    /// Average interval between two grants while something waited. Zero if unknown.
    interval: Duration,
    last_grant: Option<Instant>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::bounded(MAX_WAITING)
    }
}

impl<T> Queue<T> {
    /// A queue in which at most this many sub-requests wait.
    pub fn bounded(max_waiting: usize) -> Self {
        Self {
            levels: BTreeMap::new(),
            held: HashMap::new(),
            by_held: BTreeSet::new(),
            len: 0,
            max_waiting,
            next_number: 0,
            interval: Duration::ZERO,
            last_grant: None,
        }
    }

    /// A place for a sub-request without a tenant, not in the queue yet.
    pub fn ticket(&mut self, class: Class, priority: u32, latest_start: Instant) -> Ticket {
        self.ticket_of(Flow::default(), class, priority, latest_start)
    }

    /// A place for a sub-request of this flow, not in the queue yet.
    pub fn ticket_of(
        &mut self,
        flow: Flow,
        class: Class,
        priority: u32,
        latest_start: Instant,
    ) -> Ticket {
        self.next_number += 1;
        Ticket { class, priority, flow, latest_start, number: self.next_number }
    }

    /// Whether nothing waits that is to be served before this ticket.
    pub fn is_first(&self, ticket: &Ticket) -> bool {
        let first = self.levels.iter().find(|it| it.1.len() > 0);
        first.is_none_or(|(level, it)| {
            ticket.level() < *level
                || (ticket.level() == *level && it.is_first(ticket.flow, ticket.key()))
        })
    }

    /// Whether the turn of this ticket is predicted to come after its latest start, from the pace of the last grants.
    pub fn is_hopeless(&self, ticket: &Ticket, now: Instant) -> bool {
        now + self.predicted_wait(ticket) > ticket.latest_start
    }

    /// How long this ticket is predicted to wait for its turn, from the pace of the last grants.
    pub fn predicted_wait(&self, ticket: &Ticket) -> Duration {
        let lower: usize = self.levels.range(..ticket.level()).map(|it| it.1.len()).sum();
        let level = self.levels.get(&ticket.level());
        let before = lower + level.map_or(0, |it| it.before(ticket.flow, ticket.key()));
        self.interval * u32::try_from(before).unwrap_or(u32::MAX)
    }

    /// Adds a sub-request.
    pub fn push(&mut self, ticket: Ticket, value: T, now: Instant) {
        if self.is_empty() {
            self.last_grant = Some(now);
        }
        self.levels.entry(ticket.level()).or_default().push(ticket.flow, ticket.key(), value);
        self.count(ticket.flow, 1);
        if self.len > self.max_waiting {
            self.drop_last();
        }
    }

    /// Takes the sub-request whose turn it is when a place becomes free. Those past their latest start are dropped.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        loop {
            let level = self.levels.values_mut().find(|it| it.len() > 0)?;
            let (flow, key) = level.next()?;
            let is_late = now > key.0;
            if !is_late {
                level.charge(flow);
            }
            let value = level.remove(flow, &key);
            self.count(flow, -1);
            if is_late {
                continue;
            }
            if let Some(last) = self.last_grant.replace(now) {
                let sample = now.saturating_duration_since(last).as_secs_f64();
                let average = self.interval.as_secs_f64();
                let average = if average == 0.0 { sample } else { average };
                self.interval = Duration::from_secs_f64(average + EWMA_WEIGHT * (sample - average));
            }
            return value;
        }
    }

    /// Counts a sub-request that is served at once, before those that wait, as a turn of its flow.
    pub fn charge(&mut self, ticket: &Ticket) {
        if let Some(it) = self.levels.get_mut(&ticket.level()) {
            it.charge(ticket.flow);
        }
    }

    /// Removes a sub-request that stops waiting. False if it is not in the queue any more.
    pub fn remove(&mut self, ticket: &Ticket) -> bool {
        let level = self.levels.get_mut(&ticket.level());
        let removed = level.and_then(|it| it.remove(ticket.flow, &ticket.key())).is_some();
        if removed {
            self.count(ticket.flow, -1);
        }
        removed
    }

    /// How many sub-requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn count(&mut self, flow: Flow, change: isize) {
        self.len = self.len.saturating_add_signed(change);
        let held = self.held.entry(flow).or_default();
        self.by_held.remove(&(*held, flow));
        *held = held.saturating_add_signed(change);
        if *held > 0 {
            self.by_held.insert((*held, flow));
        } else {
            self.held.remove(&flow);
        }
    }

    /// Drops the last sub-request of the flow that holds most. The dropped value tells the one that waits.
    fn drop_last(&mut self) {
        let Some((most, _)) = self.by_held.last().copied() else { return };
        let flows = self.by_held.iter().rev().take_while(|it| it.0 == most).map(|it| it.1);
        let lasts = flows.take(MAX_COMPARED).filter_map(|flow| {
            let in_level = |(level, it): (&(Class, u32), &Level<T>)| Some((*level, it.last(flow)?));
            let (level, key) = self.levels.iter().rev().find_map(in_level)?;
            Some((level, key, flow))
        });
        let Some((level, key, flow)) = lasts.max() else { return };
        if let Some(it) = self.levels.get_mut(&level) {
            it.remove(flow, &key);
        }
        self.count(flow, -1);
    }
}

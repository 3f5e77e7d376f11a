//! The sub-requests of one class and priority, served by start-time fair queuing over their flows.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use crate::policy::queue::{Flow, sorted::Sorted};

/// Flows that do not wait are looked for when there are more of them than of those that wait, and this many besides.
const MIN_LINES: usize = 64;

/// The order inside a flow: by the latest start, then by arrival.
pub(super) type Key = (Instant, u64);

/// The sub-requests of a flow.
#[derive(Debug)]
struct Line<T> {
    /// The start tag of its next sub-request: the turns it has had, counted from the virtual time at which it came.
    tag: u64,
    waiting: Sorted<Key, T>,
}

/// Sub-requests by flow. Each turn of a flow advances its tag by one, and the flow with the lowest tag is next, so that
/// flows that wait have equal shares. A flow that comes starts at the virtual time, which is the tag served last.
#[derive(Debug)]
pub(super) struct Level<T> {
    virtual_time: u64,
    /// Flows that wait, and those that had more turns than others that still wait.
    lines: HashMap<Flow, Line<T>>,
    /// Flows that wait, by tag and then by their first sub-request.
    turns: BTreeSet<(u64, Key, Flow)>,
    /// The number of flows that wait, by how many sub-requests they have.
    sizes: BTreeMap<usize, usize>,
    len: usize,
}

impl<T> Default for Level<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            lines: HashMap::new(),
            turns: BTreeSet::new(),
            sizes: BTreeMap::new(),
            len: 0,
        }
    }
}

impl<T> Level<T> {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    fn tag(&self, flow: Flow) -> u64 {
        self.lines.get(&flow).map_or(self.virtual_time, |it| it.tag.max(self.virtual_time))
    }

    /// Whether a sub-request that does not wait yet is to be served before all that wait.
    pub(super) fn is_first(&self, flow: Flow, key: Key) -> bool {
        let Some(first) = self.turns.first() else { return true };
        let own = self.lines.get(&flow).and_then(|it| it.waiting.first());
        own.is_none_or(|it| key < it) && (self.waiting_tag(flow), key, flow) < *first
    }

    /// The tag of a flow; one that waits keeps its tag although the virtual time may have passed it.
    fn waiting_tag(&self, flow: Flow) -> u64 {
        match self.lines.get(&flow) {
            Some(it) if it.waiting.len() > 0 => it.tag,
            _ => self.tag(flow),
        }
    }

    /// The number of sub-requests that are served before this one, at least: those of its own flow, and as many of each
    /// other flow.
    pub(super) fn before(&self, flow: Flow, key: Key) -> usize {
        let line = self.lines.get(&flow);
        let (own, size) = line.map_or((0, 0), |it| (it.waiting.rank(&key), it.waiting.len()));
        let all: usize = self.sizes.iter().map(|(size, flows)| own.min(*size) * flows).sum();
        all - own.min(size) + own
    }

    /// Takes the position of a flow out of the order, so that the flow can be changed.
    fn detach(&mut self, flow: Flow) {
        let Some(line) = self.lines.get(&flow) else { return };
        let Some(first) = line.waiting.first() else { return };
        self.turns.remove(&(line.tag, first, flow));
        if let Some(it) = self.sizes.get_mut(&line.waiting.len()) {
            *it -= 1;
            if *it == 0 {
                self.sizes.remove(&line.waiting.len());
            }
        }
    }

    fn attach(&mut self, flow: Flow) {
        let Some(line) = self.lines.get(&flow) else { return };
        if let Some(first) = line.waiting.first() {
            self.turns.insert((line.tag, first, flow));
            *self.sizes.entry(line.waiting.len()).or_default() += 1;
        } else if line.tag <= self.virtual_time {
            self.lines.remove(&flow);
        }
        if self.len == 0 {
            // Without any that wait, no flow is owed anything.
            self.lines.clear();
        }
    }

    pub(super) fn push(&mut self, flow: Flow, key: Key, value: T) {
        self.detach(flow);
        let tag = self.waiting_tag(flow);
        let line =
            self.lines.entry(flow).or_insert_with(|| Line { tag, waiting: Sorted::default() });
        line.tag = tag;
        line.waiting.insert(key, value);
        self.len += 1;
        self.attach(flow);
    }

    pub(super) fn remove(&mut self, flow: Flow, key: &Key) -> Option<T> {
        self.detach(flow);
        let removed = self.lines.get_mut(&flow).and_then(|it| it.waiting.remove(key));
        self.len -= usize::from(removed.is_some());
        self.attach(flow);
        removed
    }

    /// The sub-request whose turn it is.
    pub(super) fn next(&self) -> Option<(Flow, Key)> {
        self.turns.first().map(|it| (it.2, it.1))
    }

    /// The last sub-request of a flow.
    pub(super) fn last(&self, flow: Flow) -> Option<Key> {
        self.lines.get(&flow).and_then(|it| it.waiting.last())
    }

    /// Counts a turn of a flow.
    pub(super) fn charge(&mut self, flow: Flow) {
        if self.len == 0 {
            return;
        }
        self.detach(flow);
        let tag = self.waiting_tag(flow);
        self.virtual_time = self.virtual_time.max(tag);
        let line =
            self.lines.entry(flow).or_insert_with(|| Line { tag, waiting: Sorted::default() });
        line.tag = tag + 1;
        self.attach(flow);
        if self.lines.len() > 2 * self.turns.len() + MIN_LINES {
            let virtual_time = self.virtual_time;
            self.lines.retain(|_, it| it.waiting.len() > 0 || it.tag > virtual_time);
        }
    }
}

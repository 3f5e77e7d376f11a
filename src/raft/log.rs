//! The in-memory log: recent entries, the newest snapshot, and the memberships contained in them.

use std::{collections::VecDeque, sync::Arc};

use crate::raft::{Entry, Index, Membership, Payload, Snapshot, Term};

/// The retained entries and the newest snapshot. Some entries before the snapshot may be retained for slow followers.
pub struct Log {
    /// The entry before the first retained one; (0, 0) at the start of the log.
    prev: (Index, Term),
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    /// All memberships from the newest snapshot on with the index of their entries. The first one was in force at the
    /// snapshot; the last one is in force now.
    memberships: Vec<(Index, Membership)>,
}

impl Log {
    /// Builds the log from durable state. If the entries start before the end of the snapshot, the first one only
    /// serves as predecessor of the rest, since the term of its own predecessor is not known.
    pub fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let snapshot = snapshot.map(Arc::new);
        let base = snapshot.as_ref().map_or((0, 0), |it| (it.index, it.term));
        let membership =
            snapshot.as_ref().map_or_else(Membership::default, |it| it.membership.clone());
        let mut entries = VecDeque::from(entries);
        let mut prev = base;
        if entries.front().is_some_and(|it| it.index <= base.0)
            && let Some(first) = entries.pop_front()
        {
            prev = (first.index, first.term);
        }
        let mut log = Self { prev, entries, snapshot, memberships: vec![(base.0, membership)] };
        let found: Vec<_> = log.entries.iter().filter_map(membership_of).collect();
        log.memberships.extend(found.into_iter().filter(|(index, _)| *index > base.0));
        log
    }

    /// Index and term of the last entry.
    pub fn last(&self) -> (Index, Term) {
        self.entries.back().map_or(self.prev, |it| (it.index, it.term))
    }

    /// The term of the entry at `index`; none if the entry is neither retained nor the last one of the snapshot.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.prev.0 {
            return Some(self.prev.1);
        }
        if let Some(it) = &self.snapshot
            && it.index == index
        {
            return Some(it.term);
        }
        self.get(index).map(|it| it.term)
    }

    /// The first index of the contiguous entries that have the same term as the one at `index`, but not below `floor`.
    pub fn first_index_of_term(&self, index: Index, floor: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > floor && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Entries from `from` to `to`, limited to `max_bytes` but at least one. None if `from` is no longer retained.
    pub fn slice(&self, from: Index, to: Index, max_bytes: usize) -> Option<Vec<Entry>> {
        let skip = from.checked_sub(self.prev.0 + 1)? as usize;
        let mut bytes = 0;
        let fits = |it: &&Entry| {
            let first = bytes == 0;
            bytes += it.bytes();
            it.index <= to && (first || bytes <= max_bytes)
        };
        Some(self.entries.iter().skip(skip).take_while(fits).cloned().collect())
    }

    /// Appends an entry, which must directly follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().0 + 1);
        self.memberships.extend(membership_of(&entry));
        self.entries.push_back(entry);
    }

    /// Removes the entry at `index` and all after it.
    pub fn truncate(&mut self, index: Index) {
        self.entries.truncate(index.saturating_sub(self.prev.0 + 1) as usize);
        self.memberships.retain(|(at, _)| *at < index || *at == 0);
    }

    /// The newest membership, committed or not. It is in force as soon as its entry is in the log.
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    /// Index of the entry that holds the newest membership.
    pub fn membership_index(&self) -> Index {
        self.memberships[self.memberships.len() - 1].0
    }

    /// The membership in force at `commit` and all later ones.
    pub fn memberships_since(&self, commit: Index) -> impl Iterator<Item = &Membership> {
        let from = self.memberships.iter().rposition(|(at, _)| *at <= commit).unwrap_or(0);
        self.memberships[from..].iter().map(|(_, it)| it)
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Makes `data` the snapshot at `index` and drops the entries before it, except the last `trailing_entries` as far
    /// as they fit into `trailing_bytes`. Returns the snapshot and the retained entries, or none if a snapshot at or
    /// after `index` exists.
    pub fn compact(
        &mut self,
        index: Index,
        data: Vec<u8>,
        trailing_entries: u64,
        trailing_bytes: usize,
    ) -> Option<(Arc<Snapshot>, Vec<Entry>)> {
        if self.snapshot.as_ref().is_some_and(|it| it.index >= index) {
            return None;
        }
        let term = self.term(index)?;
        let at = self.memberships.iter().rposition(|(at, _)| *at <= index)?;
        self.memberships.drain(..at);
        let membership = self.memberships[0].1.clone();
        let snapshot = Arc::new(Snapshot { index, term, membership, data });
        self.snapshot = Some(snapshot.clone());
        let mut bytes = 0;
        let before = self.entries.iter().rev().skip_while(|it| it.index > index);
        let trailing = before.take(trailing_entries as usize).take_while(|it| {
            bytes += it.bytes();
            bytes <= trailing_bytes
        });
        let keep_after = index - trailing.count() as u64;
        while self.entries.front().is_some_and(|it| it.index <= keep_after)
            && let Some(first) = self.entries.pop_front()
        {
            self.prev = (first.index, first.term);
        }
        Some((snapshot, self.entries.iter().cloned().collect()))
    }

    /// Installs a snapshot received from the leader. Entries after it are retained only if the log contains the
    /// snapshot's last entry with the same term. Returns the retained entries.
    pub fn restore(&mut self, snapshot: Arc<Snapshot>) -> Vec<Entry> {
        let base = (snapshot.index, snapshot.term);
        if self.term(base.0) == Some(base.1) {
            self.entries.retain(|it| it.index > base.0);
            self.memberships.retain(|(at, _)| *at > base.0);
        } else {
            self.entries.clear();
            self.memberships.clear();
        }
        self.prev = base;
        self.memberships.insert(0, (base.0, snapshot.membership.clone()));
        self.snapshot = Some(snapshot);
        self.entries.iter().cloned().collect()
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.prev.0 + 1)? as usize)
    }
}

fn membership_of(entry: &Entry) -> Option<(Index, Membership)> {
    match &entry.payload {
        Payload::Membership(it) => Some((entry.index, it.clone())),
        Payload::Noop | Payload::Data(_) => None,
    }
}

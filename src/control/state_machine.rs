//! The replicated state machine: applies committed log entries to the tables and records the configuration changes.

use crate::{
    control::history::History,
    raft::{self, Index, Payload},
    route,
    state::{Change, ChangeId, Entry, Reply, Tables},
    wire::control::Applied,
};

/// The tables as of one log index, and the history of configuration changes.
#[derive(Default)]
pub struct StateMachine {
    /// The index of the last applied entry.
    pub index: Index,
    /// The replicated tables.
    pub tables: Tables,
    /// The latest configuration changes. Snapshots do not contain them.
    pub history: History,
}

/// The result of applying a change.
pub struct ApplyResult {
    /// The log entry with the change.
    pub entry: Entry,
    /// The reply to the submitter.
    pub reply: Reply,
    /// Whether the change produced a new revision of the configuration.
    pub changed: bool,
}

impl StateMachine {
    /// Replaces the tables by those of a snapshot and clears the history.
    pub fn restore(&mut self, index: Index, data: &[u8]) -> Result<(), bincode::Error> {
        let mut rest = data;
        self.tables = bincode::deserialize_from(&mut rest)?;
        if !rest.is_empty() {
            self.tables.departures = bincode::deserialize_from(&mut rest)?;
        }
        if !rest.is_empty() {
            self.tables.config.set_rollouts(bincode::deserialize_from(&mut rest)?);
        }
        if !rest.is_empty() {
            self.tables.probes = bincode::deserialize_from(rest)?;
        }
        self.history = History::default();
        self.index = index;
        Ok(())
    }

    /// Encodes the tables as a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut data = bincode::serialize(&self.tables).expect("tables can be serialized");
        bincode::serialize_into(&mut data, &self.tables.departures)
            .expect("departures can be serialized");
        // Parts of later releases are left out while they are empty, from the last one backwards.
        let (rollouts, probes) = (self.tables.config.rollouts(), &self.tables.probes);
        if !rollouts.is_empty() || !probes.is_empty() {
            bincode::serialize_into(&mut data, &rollouts).expect("rollouts can be serialized");
        }
        if !probes.is_empty() {
            bincode::serialize_into(&mut data, probes).expect("probes can be serialized");
        }
        data
    }

    /// Applies a committed entry. Returns none if it contains no change: a no-op or a membership.
    pub fn apply(&mut self, entry: &raft::Entry) -> Result<Option<ApplyResult>, bincode::Error> {
        self.index = entry.index;
        let Payload::Data(data) = &entry.payload else { return Ok(None) };
        let entry: Entry = bincode::deserialize(data)?;
        let before = self.tables.config.revision;
        let routes = matches!(entry.change, Change::PutRoutes(_));
        let old = if routes { self.tables.config.routes.clone() } else { route::Table::default() };
        let reply = self.tables.apply(&entry);
        let config = &self.tables.config;
        let changed = config.revision != before;
        if changed {
            let (revision, at_ms) = (config.revision, config.now_ms);
            self.history.push(Applied {
                revision,
                at_ms,
                change: entry.change.for_entry_hosts(&old),
            });
        }
        Ok(Some(ApplyResult { entry, reply, changed }))
    }
}

/// Encodes the data of a log entry.
pub fn encode(id: ChangeId, submit: &crate::wire::control::Submit, at_ms: u64) -> Vec<u8> {
    let entry = Entry { id, base: submit.base, at_ms, change: submit.change.clone() };
    bincode::serialize(&entry).expect("changes can be serialized")
}

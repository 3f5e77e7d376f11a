//! The state machine of the log: tables and recent changes.

use crate::{
    control::history::History,
    raft::{self, Index, Payload},
    route,
    state::{Change, ChangeId, Entry, Reply, Tables},
    wire::control::Applied,
};

/// The tables at one index of the log.
#[derive(Default)]
pub struct StateMachine {
    /// The last entry applied.
    pub index: Index,
    /// The tables.
    pub tables: Tables,
    /// Recent changes of the configuration.
    pub history: History,
}

/// What became of a change.
pub struct ApplyResult {
    /// The change.
    pub entry: Entry,
    /// The answer.
    pub reply: Reply,
    /// Whether the configuration has a new revision.
    pub changed: bool,
}

impl StateMachine {
    /// Takes the tables from a snapshot.
    pub fn restore(&mut self, index: Index, data: &[u8]) -> Result<(), bincode::Error> {
        self.tables = bincode::deserialize(data)?;
        self.history = History::default();
        self.index = index;
        Ok(())
    }

    /// The tables as a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        bincode::serialize(&self.tables).expect("tables can be serialized")
    }

    /// Applies an entry of the log; none if it holds no change.
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

/// The data of a log entry.
pub fn encode(id: ChangeId, submit: &crate::wire::control::Submit, at_ms: u64) -> Vec<u8> {
    let entry = Entry { id, base: submit.base, at_ms, change: submit.change.clone() };
    bincode::serialize(&entry).expect("changes can be serialized")
}

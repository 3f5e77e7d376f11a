//! Bounded history of the latest configuration changes. Polls are served from it instead of with the full
//! configuration.

use std::collections::VecDeque;

use bincode::Options;

use crate::{
    error::{Error, Kind},
    state::{Config, Revision},
    wire::{
        MAX_FRAME_BYTES,
        control::{Applied, Update},
    },
};

/// Maximum number of changes in the history.
const MAX_CHANGES: usize = 4_096;

/// Maximum encoded size of all changes in the history, in bytes: four RPC frames. The count alone would not bound the
/// memory, because route tables are much larger than other changes.
const MAX_HISTORY_BYTES: u64 = 4 * MAX_FRAME_BYTES as u64;

/// Changes up to this encoded size, in bytes, are sent without comparing them with the size of the configuration, which
/// would have to be computed for each poll.
const SMALL_UPDATE_BYTES: u64 = 4 << 10;

/// Maximum encoded size of an update, in bytes. The rest of the RPC frame is left for the envelope.
const MAX_UPDATE_BYTES: u64 = MAX_FRAME_BYTES as u64 - 4_096;

/// The latest configuration changes, with consecutive revisions and the newest last.
#[derive(Default)]
pub struct History {
    changes: VecDeque<SizedChange>,
    bytes: u64,
}

/// A change and its encoded size.
struct SizedChange {
    applied: Applied,
    bytes: u64,
}

impl History {
    /// Appends the change that produced the newest revision and drops the oldest changes beyond the limits.
    pub fn push(&mut self, applied: Applied) {
        let bytes = encoded_bytes(&applied);
        self.changes.push_back(SizedChange { applied, bytes });
        self.bytes += bytes;
        while self.changes.len() > MAX_CHANGES
            || (self.bytes > MAX_HISTORY_BYTES && self.changes.len() > 1)
        {
            let removed_bytes = self.changes.pop_front().map_or(0, |it| it.bytes);
            self.bytes -= removed_bytes;
        }
    }

    /// Returns the update from revision `since` to `config`: the changes or the full configuration, whichever is
    /// smaller. After a power loss all hosts poll at once, and a long response to each of them would exceed the memory
    /// of a control host. If neither fits into a frame, the first changes are returned and the next poll gets more;
    /// without enough history this is an error.
    pub fn update_since(&self, config: &Config, since: Revision) -> Result<Update, Error> {
        if since == config.revision {
            return Ok(Update::Changes(Vec::new()));
        }
        let oldest = self.changes.front().map_or(config.revision + 1, |it| it.applied.revision);
        let available = since < config.revision && since + 1 >= oldest;
        if available && self.bytes_after(since) <= SMALL_UPDATE_BYTES {
            return Ok(Update::Changes(self.changes_after(since)));
        }
        let config_bytes = encoded_bytes(config);
        let fits = config_bytes <= MAX_UPDATE_BYTES;
        if available && !(fits && self.bytes_after(since) > config_bytes) {
            return Ok(Update::Changes(self.changes_after(since)));
        }
        if !fits {
            let message = format!(
                "the configuration has {config_bytes} bytes; the limit is {MAX_UPDATE_BYTES}"
            );
            return Err(Error::new(Kind::TooLarge, message));
        }
        Ok(Update::Config(Box::new(config.for_entry_hosts())))
    }

    fn newer(&self, since: Revision) -> impl Iterator<Item = &SizedChange> {
        self.changes.iter().rev().take_while(move |it| it.applied.revision > since)
    }

    fn bytes_after(&self, since: Revision) -> u64 {
        self.newer(since).map(|it| it.bytes).sum()
    }

    fn changes_after(&self, since: Revision) -> Vec<Applied> {
        let mut remaining = MAX_UPDATE_BYTES;
        let fits = |it: &&SizedChange| {
            let fits = it.bytes <= remaining;
            remaining = remaining.saturating_sub(it.bytes);
            fits
        };
        let count = self.newer(since).count();
        let newer = self.changes.iter().skip(self.changes.len() - count);
        newer.take_while(fits).map(|it| it.applied.clone()).collect()
    }
}

/// The encoded size of a value in an RPC frame, in bytes.
fn encoded_bytes<T: serde::Serialize>(value: &T) -> u64 {
    bincode::options().serialized_size(value).unwrap_or(u64::MAX)
}

//! The most recent changes of the configuration, from which polls are answered.

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

/// How many changes of the configuration are kept.
const MAX_CHANGES: usize = 4_096;

/// The bytes of kept changes, as they are sent: four frames. Tables of routes are much longer than other changes.
const MAX_HISTORY_BYTES: u64 = 4 * MAX_FRAME_BYTES as u64;

/// Changes that are not longer than this are sent without a look at the length of the configuration.
const SMALL_UPDATE_BYTES: u64 = 4 << 10;

/// The part of a frame that a poll's answer may fill; the rest is left to the envelope.
const MAX_UPDATE_BYTES: u64 = MAX_FRAME_BYTES as u64 - 4_096;

/// The most recent changes of the configuration without gaps.
#[derive(Default)]
pub struct History {
    changes: VecDeque<SizedChange>,
    bytes: u64,
}

/// A change and its size in a frame.
struct SizedChange {
    applied: Applied,
    bytes: u64,
}

impl History {
    /// Adds the change that led to the newest revision.
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

    /// What leads from the since revision to `config`: the kept changes or the whole configuration, whichever is
    /// shorter. After a loss of power all hosts poll at once, and a long answer to each would take more memory than a
    /// control host has. If the changes exceed a frame, the first of them are returned and the next poll returns more.
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
                "the configuration has {config_bytes} bytes, a frame holds {MAX_UPDATE_BYTES}"
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

/// The size of a value in a frame.
fn encoded_bytes<T: serde::Serialize>(value: &T) -> u64 {
    bincode::options().serialized_size(value).unwrap_or(u64::MAX)
}

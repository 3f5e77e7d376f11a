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
const KEPT_CHANGES: usize = 4_096;

/// The bytes of kept changes, as they are sent: four frames. Tables of routes are much longer than other changes.
const KEPT_BYTES: u64 = 4 * MAX_FRAME_BYTES as u64;

/// Changes that are not longer than this are sent without a look at the length of the configuration.
const SHORT_BYTES: u64 = 4 << 10;

/// The part of a frame that a poll's answer may fill; the rest is left to the envelope.
const MAX_UPDATE_BYTES: u64 = MAX_FRAME_BYTES as u64 - 4_096;

/// The most recent changes of the configuration without gaps.
#[derive(Default)]
pub struct History {
    changes: VecDeque<Kept>,
    bytes: u64,
}

/// A change and its size in a frame.
struct Kept {
    applied: Applied,
    bytes: u64,
}

impl History {
    /// Adds the change that led to the newest revision.
    pub fn push(&mut self, applied: Applied) {
        let bytes = frame_bytes(&applied);
        self.changes.push_back(Kept { applied, bytes });
        self.bytes += bytes;
        while self.changes.len() > KEPT_CHANGES
            || (self.bytes > KEPT_BYTES && self.changes.len() > 1)
        {
            let oldest = self.changes.pop_front().map_or(0, |it| it.bytes);
            self.bytes -= oldest;
        }
    }

    /// What leads from the polled revision to `config`: the kept changes or the whole configuration, whichever is
    /// shorter. After a loss of power all hosts poll at once, and a long answer to each would take more memory than a
    /// control host has. If the changes exceed a frame, the first of them are returned and the next poll returns more.
    pub fn update(&self, config: &Config, polled: Revision) -> Result<Update, Error> {
        if polled == config.revision {
            return Ok(Update::Changes(Vec::new()));
        }
        let first = self.changes.front().map_or(config.revision + 1, |it| it.applied.revision);
        let kept = polled < config.revision && polled + 1 >= first;
        if kept && self.bytes_after(polled) <= SHORT_BYTES {
            return Ok(Update::Changes(self.changes_after(polled)));
        }
        let config_bytes = frame_bytes(config);
        let fits = config_bytes <= MAX_UPDATE_BYTES;
        if kept && !(fits && self.bytes_after(polled) > config_bytes) {
            return Ok(Update::Changes(self.changes_after(polled)));
        }
        if !fits {
            let message = format!(
                "the configuration has {config_bytes} bytes, a frame holds {MAX_UPDATE_BYTES}"
            );
            return Err(Error::new(Kind::TooLarge, message));
        }
        Ok(Update::Config(Box::new(config.for_entry_hosts())))
    }

    fn newer(&self, polled: Revision) -> impl Iterator<Item = &Kept> {
        self.changes.iter().rev().take_while(move |it| it.applied.revision > polled)
    }

    fn bytes_after(&self, polled: Revision) -> u64 {
        self.newer(polled).map(|it| it.bytes).sum()
    }

    fn changes_after(&self, polled: Revision) -> Vec<Applied> {
        let mut left = MAX_UPDATE_BYTES;
        let fits = |it: &&Kept| {
            let fits = it.bytes <= left;
            left = left.saturating_sub(it.bytes);
            fits
        };
        let count = self.newer(polled).count();
        let newer = self.changes.iter().skip(self.changes.len() - count);
        newer.take_while(fits).map(|it| it.applied.clone()).collect()
    }
}

/// The size of a value in a frame.
fn frame_bytes<T: serde::Serialize>(value: &T) -> u64 {
    bincode::options().serialized_size(value).unwrap_or(u64::MAX)
}

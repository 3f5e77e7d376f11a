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

/// The part of a frame that a poll's answer may fill; the rest is left to the envelope.
const MAX_UPDATE_BYTES: u64 = MAX_FRAME_BYTES as u64 - 4_096;

/// The most recent changes of the configuration without gaps.
#[derive(Default)]
pub struct History {
    changes: VecDeque<Applied>,
}

impl History {
    /// Adds the change that led to the newest revision.
    pub fn push(&mut self, applied: Applied) {
        if self.changes.len() == KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(applied);
    }

    /// What leads from the polled revision to `config`: changes if they are kept, else the whole configuration. If the
    /// changes exceed a frame, the first of them are returned and the next poll returns more.
    pub fn update(&self, config: &Config, polled: Revision) -> Result<Update, Error> {
        if polled == config.revision {
            return Ok(Update::Changes(Vec::new()));
        }
        let first = self.changes.front().map_or(config.revision + 1, |it| it.revision);
        if polled < config.revision && polled + 1 >= first {
            return Ok(Update::Changes(self.changes_after(polled)));
        }
        if frame_bytes(config) > MAX_UPDATE_BYTES {
            let message = format!(
                "the configuration has {} bytes, a frame holds {MAX_UPDATE_BYTES}",
                frame_bytes(config)
            );
            return Err(Error::new(Kind::TooLarge, message));
        }
        Ok(Update::Config(Box::new(config.for_entry_hosts())))
    }

    fn changes_after(&self, polled: Revision) -> Vec<Applied> {
        let mut left = MAX_UPDATE_BYTES;
        let fits = |it: &&Applied| {
            let bytes = frame_bytes(*it);
            let fits = bytes <= left;
            left = left.saturating_sub(bytes);
            fits
        };
        let newer = self.changes.iter().skip_while(|it| it.revision <= polled);
        newer.take_while(fits).cloned().collect()
    }
}

/// The size of a value in a frame.
fn frame_bytes<T: serde::Serialize>(value: &T) -> u64 {
    bincode::options().serialized_size(value).unwrap_or(u64::MAX)
}

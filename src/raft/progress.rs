//! What a leader knows about one follower.

use std::sync::Arc;

use crate::raft::{Index, Snapshot};

/// How entries are sent to a follower.
pub enum Mode {
    /// The follower's log is unknown: one message at a time.
    Probe,
    /// Messages are sent ahead of their answers.
    Replicate,
    /// The follower needs entries that are no longer kept.
    Snapshot {
        /// The snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// How much of it has arrived.
        received: u64,
    },
}

/// What a leader knows about one follower.
pub struct Progress {
    /// The last entry known to be equal and durable there.
    pub match_index: Index,
    /// The next entry to send.
    pub next_index: Index,
    /// How entries are sent.
    pub mode: Mode,
    /// Whether nothing but heartbeats is sent until an answer arrives.
    pub paused: bool,
    /// When the follower was last heard from.
    pub last_contact_ms: u64,
    /// The newest round that it answered.
    pub acked_round: u64,
}

impl Progress {
    /// Nothing is known yet.
    pub fn new(next_index: Index, now_ms: u64) -> Self {
        Self {
            match_index: 0,
            next_index,
            mode: Mode::Probe,
            paused: false,
            last_contact_ms: now_ms,
            acked_round: 0,
        }
    }
}

//! Replication progress of one member, tracked by the leader.

use std::sync::Arc;

use crate::raft::{Index, Snapshot};

/// How a leader sends entries to a follower.
pub enum Mode {
    /// The last matching entry is not known: one message at a time until the follower accepts one.
    Probe,
    /// The logs match: messages are pipelined without waiting for replies.
    Replicate,
    /// The follower needs entries that the leader no longer retains, so it receives the snapshot.
    Snapshot {
        /// The snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// How many bytes of it the follower has acknowledged.
        received: u64,
    },
}

/// Replication progress of one member. The leader also tracks itself, to count its own durable entries.
pub struct Progress {
    /// The last entry known to be durable there and identical to the leader's.
    pub match_index: Index,
    /// The next entry to send.
    pub next_index: Index,
    /// How entries are sent.
    pub mode: Mode,
    /// Whether new entries wait until the follower replies. Heartbeats and read rounds are still sent.
    pub paused: bool,
    /// When the follower last replied, or the leader began to track it.
    pub last_contact_ms: u64,
    /// The newest read round that it answered.
    pub acked_round: u64,
}

impl Progress {
    /// Progress of a member of which nothing is known; probing starts at `next_index`.
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

//! Log entries, durable state and messages between members.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::raft::Membership;

/// Identifies a member. Chosen at random when the member's data directory is created, so a host whose disk was replaced
/// is a new member.
pub type MemberId = u128;

/// Raft term. Each term has at most one leader.
pub type Term = u64;

/// Position in the log, starting at 1.
pub type Index = u64;

/// A control host that is a voter or learner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address of the host's RPC listener.
    pub rpc: SocketAddr,
    /// Whether it votes and counts towards the quorum. A learner only receives the log.
    pub voter: bool,
    /// The lost voter whose place this learner takes once it has caught up.
    pub replaces: Option<MemberId>,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. Each leader appends one first, to commit the entries of earlier terms.
    Noop,
    /// A serialized command for the state machine. Copies of the entry share it.
    Data(Bytes),
    /// A new membership. It takes effect when the entry is appended, not when it is committed.
    Membership(Membership),
}

/// A log entry. Index and term together identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate serialized size, in bytes.
    pub fn bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 256;
        let payload = match &self.payload {
            Payload::Noop => 0,
            Payload::Data(data) => data.len(),
            Payload::Membership(membership) => membership.members.len() * MEMBER_BYTES,
        };
        OVERHEAD_BYTES + payload
    }
}

/// State besides the log that a member must keep across restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// The candidate that this member voted for in `term`.
    pub vote: Option<MemberId>,
    /// The cluster that this member belongs to; none until it is part of one.
    pub cluster: Option<u128>,
}

/// The state machine as of one log index, which replaces the log up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry applied to it.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// The membership in force at that entry.
    pub membership: Membership,
    /// The serialized state machine.
    pub data: Vec<u8>,
}

/// Hard state and entries to be made durable together. The entries replace everything in the log from the index of the
/// first one on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Save {
    /// The hard state, if it changed.
    pub hard: Option<HardState>,
    /// New entries with consecutive indices.
    pub entries: Vec<Entry>,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// Cluster of the sender.
    pub cluster: u128,
    /// Current term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in a new term. Changes no state at the receiver.
    PreVote {
        /// The term for which the sender would start an election.
        next_term: Term,
        /// Index and term of the sender's last entry.
        last: (Index, Term),
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// The `next_term` of the request.
        next_term: Term,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// Index and term of the sender's last entry.
        last: (Index, Term),
        /// Whether the leader requested this election to transfer its leadership. Otherwise a receiver that is in
        /// contact with a leader ignores the request.
        transfer: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the sender granted its vote.
        granted: bool,
    },
    /// Entries for the follower's log (AppendEntries); without entries a heartbeat.
    Append {
        /// Index and term of the entry before the first one of `entries`.
        prev: (Index, Term),
        /// Entries to append after `prev`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's newest read round.
        round: u64,
    },
    /// Reply to `Append` or `SnapshotPart`: the sender's log equals the leader's up to `matched`.
    Appended {
        /// The last entry that is durable at the sender and known to equal the leader's.
        matched: Index,
        /// The read round of the request.
        round: u64,
    },
    /// Reply to `Append`: the sender's log has no entry with the index and term of `prev`.
    AppendRejected {
        /// Index of the `prev` of the request.
        prev: Index,
        /// The index from which the leader should send next.
        hint: Index,
        /// The read round of the request.
        round: u64,
    },
    /// Part of a snapshot (InstallSnapshot). Without data it only asks how much has arrived.
    SnapshotPart {
        /// The last entry applied to the snapshot.
        index: Index,
        /// Term of that entry.
        term: Term,
        /// The membership in force at that entry.
        membership: Membership,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Offset of this part in the snapshot, in bytes.
        offset: u64,
        /// Contents of this part.
        data: Vec<u8>,
        /// The leader's newest read round.
        round: u64,
    },
    /// Reply to `SnapshotPart` while the snapshot is incomplete.
    SnapshotAck {
        /// The `index` of the snapshot.
        index: Index,
        /// How many bytes from the start of the snapshot have arrived.
        received: u64,
        /// The read round of the request.
        round: u64,
    },
    /// Completes a leadership transfer: the receiver starts an election at once.
    TimeoutNow,
    /// Reply to `Append` or `SnapshotPart` of an older term; the message carries the newer term.
    StaleTerm,
}

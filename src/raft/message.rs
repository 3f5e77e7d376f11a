//! Entries, durable state and messages.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::raft::Membership;

/// Identifies a member; created at random with its data folder.
pub type MemberId = u128;

/// Number of a leadership.
pub type Term = u64;

/// Position in the log; the first entry has 1.
pub type Index = u64;

/// A control host in the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The RPC address.
    pub rpc: SocketAddr,
    /// Whether it votes; a learner only receives the log.
    pub voter: bool,
    /// The voter that is to become a learner because this member took its place.
    pub replaces: Option<MemberId>,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; the first entry of each leader.
    Noop,
    /// A command for the state machine.
    Data(Vec<u8>),
    /// A membership, in force as soon as the entry is in the log.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// The approximate size in a message, in bytes.
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

/// What a member must remember besides the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: Term,
    /// The candidate that got this member's vote in this term.
    pub vote: Option<MemberId>,
    /// The cluster that this member belongs to.
    pub cluster: Option<u128>,
}

/// The state machine at one index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership at that entry.
    pub membership: Membership,
    /// The state machine.
    pub data: Vec<u8>,
}

/// Hard state and entries to be made durable together. The first entry replaces everything from its index on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Save {
    /// The new hard state, if it changed.
    pub hard: Option<HardState>,
    /// New entries.
    pub entries: Vec<Entry>,
}

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The cluster of the sender.
    pub cluster: u128,
    /// The term of the sender.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether an election could be won. Changes nothing at the receiver.
    PreVote {
        /// The term that the election would have.
        next_term: Term,
        /// The sender's last entry.
        last: (Index, Term),
    },
    /// Answers a `PreVote`.
    PreVoteReply {
        /// The term asked for.
        next_term: Term,
        /// Whether the sender would vote for it.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's last entry.
        last: (Index, Term),
        /// Whether the leader asked for this election, so that the receiver need not protect it.
        transfer: bool,
    },
    /// Answers a `Vote`.
    VoteReply {
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The entry before the first one.
        prev: (Index, Term),
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's current round of confirmations.
        round: u64,
    },
    /// The sender's log equals the leader's up to `matched`.
    Appended {
        /// The last entry that is durable and equal.
        matched: Index,
        /// The round of the message answered.
        round: u64,
    },
    /// The sender has no entry equal to `prev`.
    AppendRejected {
        /// The index of the `prev` refused.
        prev: Index,
        /// Where the leader should try next.
        hint: Index,
        /// The round of the message answered.
        round: u64,
    },
    /// Part of a snapshot. Without data it only asks how much has arrived.
    SnapshotPart {
        /// The last entry that the snapshot contains.
        index: Index,
        /// The term of that entry.
        term: Term,
        /// The membership at that entry.
        membership: Membership,
        /// The length of the whole, in bytes.
        total: u64,
        /// Where this part starts.
        offset: u64,
        /// The part.
        data: Vec<u8>,
        /// The leader's current round of confirmations.
        round: u64,
    },
    /// How much of a snapshot has arrived.
    SnapshotAck {
        /// The last entry that the snapshot contains.
        index: Index,
        /// The length that has arrived.
        received: u64,
        /// The round of the message answered.
        round: u64,
    },
    /// Asks the receiver to start an election at once, because the leader stops.
    TimeoutNow,
    /// The receiver's term is older than the sender's.
    StaleTerm,
}

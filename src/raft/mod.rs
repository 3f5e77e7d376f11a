//! Raft consensus as a deterministic state machine that does no I/O: no sockets, clocks, files or threads.
//!
//! [`Core::step`] takes one event and the current time and returns a list of actions. The caller performs the actions
//! in the order of the list. [`Action::Save`] and [`Action::SaveSnapshot`] must be durable on disk before the next
//! action is performed, because later messages and commits rely on them.
//!
//! Beyond basic Raft, the core has pre-votes, leaders that step down without contact with a quorum, learners (members
//! that receive the log but do not vote), membership changes of one voter at a time, snapshots sent in parts,
//! linearizable reads confirmed by a quorum (ReadIndex), and leadership transfer.

mod core;
mod election;
mod log;
mod membership;
mod message;
mod progress;
mod read;
mod replication;
mod snapshot;

pub use self::{
    core::{Action, Core, Event, MemberStatus, Options, Recovered, Role, Status},
    membership::{MemberChange, Membership},
    message::{
        Body, Entry, HardState, Index, Member, MemberId, Message, Payload, Save, Snapshot, Term,
    },
};

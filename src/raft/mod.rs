//! The consensus core: a pure state machine without sockets, clocks and files.
//!
//! [`Core::step`] takes an event and the time and returns actions, which the caller performs in this order. An action
//! that saves must be durable before any later action of the list is performed; only then may its messages leave.

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

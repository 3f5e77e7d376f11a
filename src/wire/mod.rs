//! Message types that cross process boundaries: tarpc services in `control` and `owner`, bincode frames in `relay`, and
//! JSON over HTTP in `caller`, `operator` and `target`.

pub mod caller;
pub mod control;
pub mod operator;
pub mod owner;
pub mod relay;
pub mod target;

/// The maximum length of a bincode frame between the processes of the system, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The maximum length of an HTTP request body at entry hosts and control hosts, and of a target's response body, in
/// bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

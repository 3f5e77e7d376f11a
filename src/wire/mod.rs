//! Messages between the processes of the system, to targets, to callers and to operators.

pub mod caller;
pub mod control;
pub mod operator;
pub mod owner;
pub mod relay;
pub mod target;

/// The longest frame between the processes of the system, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// The longest HTTP body that any listener accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

//! Durable state of a control host: identity, hard state, log and snapshot in one data directory.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the directory |
//! | `identity` | the member identity, written once |
//! | `log` | frames, each with the records of one save |
//! | `snapshot` | one frame, replaced atomically by renaming |
//! | `reserve` | preallocated space, freed when the disk is full so that votes can still be saved |
//!
//! Every frame carries checksums. A torn frame at the end of the log comes from a write that a crash interrupted before
//! the sync; nothing has relied on it, so it is dropped. Any other mismatch means that synced data was damaged, and the
//! directory is refused.

mod data_dir;
mod frame;
mod log;

pub use self::log::{Log, Opened};

use std::{io, path::PathBuf};

/// Why the durable state cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a file failed.
    #[error("{}: {source}", file.display())]
    Io {
        /// Path of the file or directory.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The disk or the quota is full.
    #[error("{}: the disk is full", file.display())]
    DiskFull {
        /// Path of the file that could not be written.
        file: PathBuf,
    },
    /// Synced contents of a file are missing or do not match their checksums.
    #[error("{} is damaged at offset {offset}: {detail}", file.display())]
    Corrupt {
        /// Path of the damaged file.
        file: PathBuf,
        /// Offset in the file at which the damage was found, in bytes.
        offset: u64,
        /// Which check failed.
        detail: String,
    },
    /// Another process uses the data directory.
    #[error("{}: another process uses this data directory", dir.display())]
    Locked {
        /// Path of the data directory.
        dir: PathBuf,
    },
}

/// The result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

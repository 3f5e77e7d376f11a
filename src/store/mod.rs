//! The durable state of a control host: identity, hard state, log and snapshot in one data folder.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the folder |
//! | `identity` | the member identity, written once |
//! | `log` | frames, each with the records of one save |
//! | `snapshot` | one frame, replaced by renaming |
//! | `reserve` | space that is freed when the disk is full, so that votes can still be saved |

mod data_dir;
mod frame;
mod log;

pub use self::log::{Log, Opened};

use std::{io, path::PathBuf};

/// Why the durable state cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("{}: {source}", file.display())]
    Io {
        /// The file.
        file: PathBuf,
        /// What the operating system says.
        source: io::Error,
    },
    /// The disk is full.
    #[error("{}: the disk is full", file.display())]
    DiskFull {
        /// The file.
        file: PathBuf,
    },
    /// A file was damaged after it had been synced.
    #[error("{} is damaged at offset {offset}: {detail}", file.display())]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Where the damage was found, in bytes.
        offset: u64,
        /// What was found.
        detail: String,
    },
    /// Another process uses the folder.
    #[error("{}: another process uses this folder", dir.display())]
    Locked {
        /// The folder.
        dir: PathBuf,
    },
}

/// The result type of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

//! The descriptors of this process.

use rustix::process::{Resource, getrlimit};

/// The limit of open descriptors of this process: the smaller one of `configured` and that of the operating system.
pub fn limit(configured: u64) -> u64 {
    getrlimit(Resource::Nofile).current.map_or(configured, |it| it.min(configured))
}

/// The number of open descriptors, for the log. None if it cannot be found out, which takes a descriptor.
pub fn open_count() -> Option<usize> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    // The directory itself is one of the entries.
    Some(entries.count().saturating_sub(1))
}

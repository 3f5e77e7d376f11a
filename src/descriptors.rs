//! The descriptors of this process.

use rustix::process::{Resource, getrlimit};

/// The limit of open descriptors of this process: the smaller one of `configured` and that of the operating system.
pub fn limit(configured: u64) -> u64 {
    getrlimit(Resource::Nofile).current.map_or(configured, |it| it.min(configured))
}

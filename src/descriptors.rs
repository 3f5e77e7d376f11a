//! The descriptors of this process, and a reserve of them for the connections that must not fail.

use std::{fs::File, io};

use parking_lot::Mutex;
use rustix::{
    io::Errno,
    process::{Resource, getrlimit},
};

/// The number of descriptors in the reserve. A connection takes one; the others are for those that are
/// opened at the same time.
const RESERVED: usize = 4;

/// The descriptors that are kept for connections to control hosts.
pub static RESERVE: Reserve = Reserve(Mutex::new(State { held: Vec::new(), leases: 0 }));

/// The limit of open descriptors of this process: the smaller one of `configured` and that of the operating system.
pub fn limit(configured: u64) -> u64 {
    getrlimit(Resource::Nofile).current.map_or(configured, |it| it.min(configured))
}

/// A part of the descriptors that this process may have open, of which `configured` are allowed.
pub fn share(configured: u64, percent: u64) -> usize {
    (limit(configured) * percent / 100) as usize
}

/// The number of open descriptors, for the log. None if it cannot be found out, which takes a descriptor.
pub fn open_count() -> Option<usize> {
    let entries = std::fs::read_dir("/proc/self/fd").ok()?;
    // The directory itself is one of the entries.
    Some(entries.count().saturating_sub(1))
}

/// Whether an operation failed because no descriptor was left to the process or to the machine.
pub fn is_exhausted(err: &io::Error) -> bool {
    let errno = Errno::from_io_error(err);
    errno == Some(Errno::MFILE) || errno == Some(Errno::NFILE)
}

struct State {
    held: Vec<File>,
    leases: usize,
}

/// Open descriptors that are given back when an important connection finds none left.
pub struct Reserve(Mutex<State>);

impl Reserve {
    /// Takes what is missing, unless it is lent. Whether no descriptor is missing; a machine without the file that is
    /// opened has no reserve.
    pub fn refill(&self) -> bool {
        let mut state = self.0.lock();
        if state.leases > 0 {
            return false;
        }
        while state.held.len() < RESERVED {
            match File::open("/dev/null") {
                Ok(file) => state.held.push(file),
                Err(err) => return !is_exhausted(&err),
            }
        }
        true
    }

    /// Closes the reserve until the guard is dropped. Listeners accept no connection before it is whole again, so that
    /// none of them takes the descriptors.
    pub fn lend(&self) -> Lease<'_> {
        let mut state = self.0.lock();
        state.leases += 1;
        state.held.clear();
        Lease(self)
    }
}

/// Lends the reserve until it is dropped.
pub struct Lease<'a>(&'a Reserve);

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        self.0.0.lock().leases -= 1;
        self.0.refill();
    }
}

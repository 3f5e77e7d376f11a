//! Processes of targets that have said in a response that they are leaving.

use std::num::NonZeroUsize;

use lru::LruCache;
use parking_lot::Mutex;

use crate::{relay::target::Target, wire::control::ProcessId};

/// Number of processes that are remembered; the least recently used one is forgotten.
const MAX_PROCESSES: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// The processes that this host has heard to leave. They outlive their [`Target`]: an announcement that arrives late may
/// add a process to the configuration again, and a response may arrive after it was removed.
pub(super) struct Retired {
    processes: Mutex<LruCache<ProcessId, ()>>,
}

impl Default for Retired {
    fn default() -> Self {
        Self { processes: Mutex::new(LruCache::new(MAX_PROCESSES)) }
    }
}

impl Retired {
    /// Takes a target out of service on this host. Returns whether this is news.
    pub(super) fn insert(&self, target: &Target) -> bool {
        let is_new = self.processes.lock().put(target.process(), ()).is_none();
        target.retire();
        is_new
    }

    /// Takes a target out of service if its process has been heard to leave.
    pub(super) fn apply(&self, target: &Target) {
        if self.processes.lock().get(&target.process()).is_some() {
            target.retire();
        }
    }
}

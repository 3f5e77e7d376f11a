//! Reports to the control hosts of what this host has learned from targets.

use parking_lot::Mutex;

use crate::state::Change;

/// Maximum number of reports that wait for the control hosts; further ones are dropped.
const MAX_QUEUED: usize = 1_024;

/// Reports that have not reached the control hosts yet, the oldest first.
#[derive(Default)]
pub(super) struct Queue {
    changes: Mutex<Vec<Change>>,
}

impl Queue {
    /// Queues a report, also one that could not be submitted.
    pub(super) fn push(&self, change: Change) {
        let mut changes = self.changes.lock();
        if changes.len() < MAX_QUEUED {
            changes.push(change);
        } else {
            log::warn!("event=report_dropped cause=\"too many reports wait\"");
        }
    }

    /// Takes the oldest reports, at most `count`.
    pub(super) fn take(&self, count: usize) -> Vec<Change> {
        let mut changes = self.changes.lock();
        let count = count.min(changes.len());
        changes.drain(..count).collect()
    }
}

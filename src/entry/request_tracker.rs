//! Counts the requests in progress and closes the door to new ones during a shutdown.

use tokio::sync::watch;

use crate::error::{Error, Kind, Result};

/// How far the shutdown of the process has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown.
    #[default]
    Serving,
    /// The host left the list of entry hosts and still serves.
    Leaving,
    /// New work is rejected; requests in progress finish.
    Rejecting,
}

#[derive(Clone, Copy, Debug, Default)]
struct TrackerState {
    phase: ShutdownPhase,
    in_progress: usize,
}

/// Counts the requests in progress.
pub struct RequestTracker {
    state: watch::Sender<TrackerState>,
}

/// One request in progress.
pub struct RequestGuard {
    state: watch::Sender<TrackerState>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.send_modify(|it| it.in_progress -= 1);
    }
}

impl Default for RequestTracker {
    fn default() -> Self {
        Self { state: watch::Sender::new(TrackerState::default()) }
    }
}

impl RequestTracker {
    /// Counts a request in, unless new work is rejected.
    pub fn start(&self) -> Result<RequestGuard> {
        let entered = self.state.send_if_modified(|it| {
            let open = it.phase < ShutdownPhase::Rejecting;
            it.in_progress += usize::from(open);
            open
        });
        if entered {
            Ok(RequestGuard { state: self.state.clone() })
        } else {
            Err(Error::new(Kind::Leaving, "this host is shutting down"))
        }
    }

    /// The phase of the shutdown.
    pub fn phase(&self) -> ShutdownPhase {
        self.state.borrow().phase
    }

    /// Moves on to a later phase.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.state.send_modify(|it| it.phase = it.phase.max(phase));
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let _ = self.state.subscribe().wait_for(|it| it.in_progress == 0).await;
    }
}

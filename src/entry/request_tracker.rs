//! Counts the requests in progress and rejects new ones during a shutdown.

use tokio::sync::watch;

use crate::error::{Error, Kind, Result};

/// The phase of a planned stop of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No stop has begun.
    #[default]
    Serving,
    /// The host is being removed from the list of entry hosts and still serves requests.
    Leaving,
    /// New requests are rejected; requests in progress finish.
    Rejecting,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    phase: ShutdownPhase,
    running: usize,
}

/// Counts the requests in progress.
pub struct RequestTracker {
    state: watch::Sender<State>,
}

/// Counts one request as in progress until it is dropped.
pub struct RequestGuard {
    state: watch::Sender<State>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.send_modify(|it| it.running -= 1);
    }
}

impl Default for RequestTracker {
    fn default() -> Self {
        Self { state: watch::Sender::new(State::default()) }
    }
}

impl RequestTracker {
    /// Counts a request as in progress. Fails with [`Kind::Leaving`] if new requests are rejected.
    pub fn start(&self) -> Result<RequestGuard> {
        let entered = self.state.send_if_modified(|it| {
            let open = it.phase < ShutdownPhase::Rejecting;
            it.running += usize::from(open);
            open
        });
        if entered {
            Ok(RequestGuard { state: self.state.clone() })
        } else {
            Err(Error::new(Kind::Leaving, "this host is shutting down"))
        }
    }

    pub fn phase(&self) -> ShutdownPhase {
        self.state.borrow().phase
    }

    /// Moves to a later phase. Does nothing if the phase is already reached.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.state.send_modify(|it| it.phase = it.phase.max(phase));
    }

    /// Waits until no request is in progress.
    pub async fn wait_idle(&self) {
        let _ = self.state.subscribe().wait_for(|it| it.running == 0).await;
    }
}

//! Counts the requests in progress and closes the door to new ones during a shutdown.

use tokio::sync::watch;

use crate::error::{Error, Kind, Result};

/// How far the shutdown of the process has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No shutdown.
    #[default]
    Serving,
    /// The host left the list of entry hosts and still serves.
    Leaving,
    /// New work is rejected; requests in progress finish.
    Rejecting,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    phase: Phase,
    running: usize,
}

/// Counts the requests in progress.
pub struct Gate {
    state: watch::Sender<State>,
}

/// One request in progress.
pub struct Pass {
    state: watch::Sender<State>,
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.state.send_modify(|it| it.running -= 1);
    }
}

impl Default for Gate {
    fn default() -> Self {
        Self { state: watch::Sender::new(State::default()) }
    }
}

impl Gate {
    /// Counts a request in, unless new work is rejected.
    pub fn enter(&self) -> Result<Pass> {
        let entered = self.state.send_if_modified(|it| {
            let open = it.phase < Phase::Rejecting;
            it.running += usize::from(open);
            open
        });
        if entered {
            Ok(Pass { state: self.state.clone() })
        } else {
            Err(Error::new(Kind::Leaving, "this host is shutting down"))
        }
    }

    /// The phase of the shutdown.
    pub fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    /// Moves on to a later phase.
    pub fn advance(&self, phase: Phase) {
        self.state.send_modify(|it| it.phase = it.phase.max(phase));
    }

    /// Waits until no request is in progress.
    pub async fn idle(&self) {
        let _ = self.state.subscribe().wait_for(|it| it.running == 0).await;
    }
}

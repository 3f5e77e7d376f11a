//! What the listeners of a control host share.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::{
    control::history::History,
    error::Result,
    event::{Ring, unix_ms},
    metric::Registry,
    settings,
    state::{Entry, Reply, Revision, Tables},
    wire::control::{Applied, Poll, Submit, Update},
};

/// The longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// A control host.
pub struct Host {
    /// The settings of the process.
    pub cfg: settings::Control,
    /// Recent events of the process.
    pub events: Ring,
    /// The metrics of the process.
    pub metrics: Registry,
    applied: Mutex<State>,
    revision: watch::Sender<Revision>,
}

#[derive(Default)]
struct State {
    tables: Tables,
    history: History,
}

impl Host {
    /// Makes a host with empty tables.
    pub fn new(cfg: settings::Control) -> Self {
        Self {
            events: Ring::new(cfg.name.clone()),
            cfg,
            metrics: Registry::default(),
            applied: Mutex::default(),
            revision: watch::Sender::new(0),
        }
    }

    /// Waits for newer configuration than the polled one.
    pub async fn poll(&self, poll: Poll) -> Result<Update> {
        let wait = Duration::from_millis(poll.wait_ms).min(MAX_POLL_WAIT);
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let _ = tokio::time::timeout(wait, newer).await;
        let state = self.applied.lock();
        state.history.update(&state.tables.config, poll.revision)
    }

    /// Commits a change.
    pub async fn submit(&self, submit: Submit) -> Result<Reply> {
        let Submit { id, base, change } = submit;
        Ok(self.apply(&Entry { id, base, at_ms: unix_ms(), change }))
    }

    /// Reads the tables.
    pub fn read<T>(&self, f: impl FnOnce(&Tables) -> T) -> T {
        f(&self.applied.lock().tables)
    }

    fn apply(&self, entry: &Entry) -> Reply {
        let mut state = self.applied.lock();
        let before = state.tables.config.revision;
        let reply = state.tables.apply(entry);
        let config = &state.tables.config;
        let (revision, at_ms) = (config.revision, config.now_ms);
        if revision != before {
            state.history.push(Applied { revision, at_ms, change: entry.change.clone() });
        }
        self.revision.send_replace(revision);
        reply
    }
}

//! A fake of the control hosts: one copy of the tables without replication, served by the real wire protocol.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use gentianpass::{
    error::{Error, Kind},
    event::unix_ms,
    lab::control::{self, ControlHandler},
    state::{Change, Entry, Reply, Revision, Tables},
    wire::control::{Applied, Poll, Submit, Update},
};
use parking_lot::Mutex;
use tokio::sync::watch;

/// Which message of a submitted change is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    None,
    /// The change is committed and its reply is lost.
    Reply,
    /// The change does not arrive.
    Request,
    /// The change does not arrive, and there is no response.
    Silent,
}

type LossRule = dyn Fn(&Change) -> Loss + Send + Sync;

#[derive(Clone)]
pub struct FakeControl {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    tables: Mutex<Tables>,
    log: Mutex<Vec<Applied>>,
    revision: watch::Sender<Revision>,
    silent: watch::Sender<bool>,
    loss: Mutex<Box<LossRule>>,
    /// Answers for the next polls, in order, instead of the real ones.
    forced: Mutex<VecDeque<Update>>,
    /// Whether the next answer with several changes leaves out the first one.
    gap: Mutex<bool>,
}

/// Handles the calls of entry hosts.
#[derive(Clone)]
struct Server(Arc<Shared>);

impl FakeControl {
    pub async fn start() -> Self {
        let shared = Arc::new(Shared {
            tables: Mutex::default(),
            log: Mutex::default(),
            revision: watch::Sender::new(0),
            silent: watch::Sender::new(false),
            loss: Mutex::new(Box::new(|_| Loss::None)),
            forced: Mutex::default(),
            gap: Mutex::new(false),
        });
        let addr = control::serve(Server(shared.clone())).await.expect("listener");
        Self { addr, shared }
    }

    /// Applies a change at the newest operator revision.
    pub fn change(&self, change: Change) -> Reply {
        let base = Some(self.tables(|it| it.config.operator_revision));
        self.shared.apply(Submit { id: rand::random(), base, change })
    }

    /// Applies a change and checks that it is accepted.
    pub fn accept(&self, change: Change) {
        let reply = self.change(change);
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }

    pub fn tables<T>(&self, read: impl FnOnce(&Tables) -> T) -> T {
        read(&self.shared.tables.lock())
    }

    /// Lets calls wait without an answer while `silent` is set.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.send_replace(silent);
    }

    /// Decides for each submitted change which message is lost.
    pub fn set_loss(&self, loss: impl Fn(&Change) -> Loss + Send + Sync + 'static) {
        *self.shared.loss.lock() = Box::new(loss);
    }

    /// Answers the next polls with these updates, as a control host with an outdated state would.
    pub fn queue_answers(&self, updates: impl IntoIterator<Item = Update>) {
        self.shared.forced.lock().extend(updates);
    }

    /// Leaves out the first change in the next answer to a poll that has several.
    pub fn skip_change(&self) {
        *self.shared.gap.lock() = true;
    }
}

impl Shared {
    fn apply(&self, submit: Submit) -> Reply {
        let mut tables = self.tables.lock();
        let before = tables.config.revision;
        let Submit { id, base, change } = submit;
        let entry = Entry { id, base, at_ms: unix_ms(), change };
        let reply = tables.apply(&entry);
        let revision = tables.config.revision;
        if revision > before {
            let applied = Applied { revision, at_ms: entry.at_ms, change: entry.change };
            self.log.lock().push(applied);
            self.revision.send_replace(revision);
        }
        reply
    }

    /// Waits while calls get no answer.
    async fn answering(&self) {
        let _ = self.silent.subscribe().wait_for(|it| !*it).await;
    }
}

impl ControlHandler for Server {
    async fn poll(&self, poll: Poll) -> Result<Update, Error> {
        self.0.answering().await;
        let mut revision = self.0.revision.subscribe();
        let newer = revision.wait_for(|it| *it > poll.revision);
        let _ = tokio::time::timeout(Duration::from_millis(poll.wait_ms), newer).await;
        self.0.answering().await;
        if let Some(forced) = self.0.forced.lock().pop_front() {
            return Ok(forced);
        }
        if poll.revision == 0 {
            return Ok(Update::Config(Box::new(self.0.tables.lock().config.clone())));
        }
        let log = self.0.log.lock();
        let mut changes: Vec<_> =
            log.iter().filter(|it| it.revision > poll.revision).cloned().collect();
        if changes.len() > 1 && std::mem::take(&mut *self.0.gap.lock()) {
            changes.remove(0);
        }
        Ok(Update::Changes(changes))
    }

    async fn submit(&self, submit: Submit) -> Result<Reply, Error> {
        self.0.answering().await;
        let loss_error = || Error::new(Kind::NoQuorum, "lost by the test");
        let loss = (self.0.loss.lock())(&submit.change);
        match loss {
            Loss::None => Ok(self.0.apply(submit)),
            Loss::Request => Err(loss_error()),
            Loss::Silent => std::future::pending().await,
            Loss::Reply => {
                self.0.apply(submit);
                Err(loss_error())
            }
        }
    }
}

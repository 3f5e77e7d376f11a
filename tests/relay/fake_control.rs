//! A control host that answers each poll as a test says, also with what no correct control host would answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use gentianpass::{
    error::{Error, Kind, Result},
    lab::control::{self, ControlHandler},
    route::{Limits, Route, Service, Table},
    state::{Change, Config, Reply},
    wire::control::{Applied, Poll, Standing, Submit, Update},
};
use parking_lot::Mutex;

/// How a poll is answered.
pub enum Answer {
    /// With this update, at once.
    Now(Update),
    /// With no change, when the time in the poll is over.
    Unchanged,
    /// With the error that the configuration does not fit into a message.
    TooLarge,
    /// Not at all.
    Silent,
}

type Script = Box<dyn FnMut(&Poll) -> Answer + Send>;

#[derive(Clone)]
pub struct FakeControl {
    script: Arc<Mutex<Script>>,
    standing: Arc<Mutex<Standing>>,
}

impl FakeControl {
    /// Starts a control host and returns it with its address.
    pub async fn start(script: impl FnMut(&Poll) -> Answer + Send + 'static) -> (Self, SocketAddr) {
        let script: Script = Box::new(script);
        let standing = Arc::new(Mutex::new(standing_of(&config(0, 0, Vec::new()))));
        let control = Self { script: Arc::new(Mutex::new(script)), standing };
        let addr = control::serve(control.clone()).await.unwrap();
        (control, addr)
    }

    /// Answers polls by another script from now on.
    pub fn set_script(&self, script: impl FnMut(&Poll) -> Answer + Send + 'static) {
        *self.script.lock() = Box::new(script);
    }

    /// Claims to hold this configuration from now on.
    pub fn set_standing(&self, config: &Config) {
        *self.standing.lock() = standing_of(config);
    }
}

impl ControlHandler for FakeControl {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        let answer = (self.script.lock())(&poll);
        match answer {
            Answer::Now(update) => Ok(update),
            Answer::Unchanged => {
                tokio::time::sleep(Duration::from_millis(poll.wait_ms)).await;
                Ok(Update::Changes(Vec::new()))
            }
            Answer::TooLarge => Err(Error::new(Kind::TooLarge, "configuration")),
            Answer::Silent => std::future::pending().await,
        }
    }

    async fn submit(&self, _: Submit) -> Result<Reply> {
        Ok(Reply::Applied { revision: 0 })
    }

    fn standing(&self) -> Standing {
        self.standing.lock().clone()
    }
}

/// How a control host with this configuration describes itself.
pub fn standing_of(config: &Config) -> Standing {
    Standing {
        name: "stand-in".into(),
        cluster: None,
        applied: config.revision,
        revision: config.revision,
        version: config.routes.version,
        digest: config.digest(),
    }
}

/// A configuration with a table of these routes.
pub fn config(revision: u64, version: u64, routes: Vec<Route>) -> Config {
    let services = routes.iter().flat_map(Route::services);
    let service = Service { max_connections: 64, cold_millis_per_s: 0 };
    let services = services.map(|it| (it.to_owned(), service.clone())).collect();
    let limits = Limits::default();
    let routes =
        Table { version, document: String::new(), routes, services, limits, tenants: Vec::new() };
    Config { revision, routes, ..Config::default() }
}

/// The whole configuration, as an answer.
pub fn whole(config: &Config) -> Answer {
    Answer::Now(Update::Config(Box::new(config.clone())))
}

/// Changes with a gap before this revision, which apply to no copy.
pub fn changes_with_gap(revision: u64) -> Answer {
    let change = Change::Suspect { fingerprint: revision, target: "t".into() };
    Answer::Now(Update::Changes(vec![Applied { revision, at_ms: 1, change }]))
}

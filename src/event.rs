//! Events that explain what a process did: one log line each, and a ring of the most recent ones.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The default log filter. tarpc logs each call at the level of events, which would cost more than the call itself.
pub const LOG_FILTER: &str = "info,tarpc=error";

/// How many events a process keeps.
const RING_CAPACITY: usize = 4096;

/// What happened.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The process started.
    Started,
    /// The process stops.
    Stopping,
    /// A request was rejected.
    Rejected,
    /// A request was answered.
    Answered,
    /// An answer does not cover a shard.
    ShardMissing,
    /// A sub-request was hedged or tried again.
    Retried,
    /// The limit of a target changed.
    LimitChanged,
    /// A target crashed while it ran a request.
    Suspected,
    /// A request was blocked because it crashes targets.
    Quarantined,
    /// The freshness lease expired.
    LeaseLost,
    /// The freshness lease was obtained.
    LeaseGained,
    /// A revision of the configuration came into force.
    ConfigApplied,
    /// A target got another owner.
    OwnerChanged,
    /// A target announced itself.
    TargetAnnounced,
    /// A target's renewals stopped.
    TargetSilent,
    /// A target was removed.
    TargetRemoved,
    /// An entry host joined.
    NodeJoined,
    /// An entry host left or was expired.
    NodeRemoved,
    /// A connection stopped carrying data.
    ConnectionSilent,
    /// A peer was disconnected for invalid data.
    PeerRejected,
    /// A control host became leader or stepped down.
    Election,
    /// The voter set changed.
    Membership,
    /// A dead voter was replaced.
    Repaired,
    /// The durable state could not be written or read.
    StorageFailed,
}

/// Something that happened, with its cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The host that recorded it.
    pub host: String,
    /// What happened.
    pub kind: Kind,
    /// The request concerned.
    pub request: Option<String>,
    /// The target concerned.
    pub target: Option<String>,
    /// The availability zone concerned.
    pub zone: Option<String>,
    /// Why it happened.
    pub cause: String,
}

impl Event {
    /// Makes an event of this kind; [`Ring::record`] adds host and time.
    pub fn new(kind: Kind, cause: impl Into<String>) -> Self {
        Self {
            at_ms: 0,
            host: String::new(),
            kind,
            request: None,
            target: None,
            zone: None,
            cause: cause.into(),
        }
    }

    /// Names the request concerned.
    pub fn request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Names the target concerned.
    pub fn target(mut self, target: impl Into<String>) -> Self {
        self.target = Some(target.into());
        self
    }

    /// Names the availability zone concerned.
    pub fn zone(mut self, zone: impl Into<String>) -> Self {
        self.zone = Some(zone.into());
        self
    }

    fn log_line(&self) -> String {
        let mut line = format!("event={} host={}", self.kind, self.host);
        let fields = [("request", &self.request), ("target", &self.target), ("zone", &self.zone)];
        for (key, value) in fields {
            if let Some(value) = value {
                line.push_str(&format!(" {key}={value}"));
            }
        }
        line.push_str(&format!(" cause={:?}", self.cause));
        line
    }
}

/// Which events to look for; an empty filter finds all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this target.
    pub target: Option<String>,
    /// Only events of this zone.
    pub zone: Option<String>,
    /// Only events at or after this time, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

impl Filter {
    fn accepts(&self, event: &Event) -> bool {
        let same =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        same(&self.request, &event.request)
            && same(&self.target, &event.target)
            && same(&self.zone, &event.zone)
            && event.at_ms >= self.since_ms
    }
}

/// The most recent events of a process.
pub struct Ring {
    host: String,
    events: Mutex<VecDeque<Event>>,
}

impl Ring {
    /// Makes an empty ring for the process on this host.
    pub fn new(host: impl Into<String>) -> Self {
        Self { host: host.into(), events: Mutex::default() }
    }

    /// Logs an event and keeps it.
    pub fn record(&self, mut event: Event) {
        event.at_ms = unix_ms();
        event.host.clone_from(&self.host);
        log::info!("{}", event.log_line());
        let mut events = self.events.lock();
        if events.len() == RING_CAPACITY {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The kept events that the filter accepts, oldest first.
    pub fn find(&self, filter: &Filter) -> Vec<Event> {
        self.events.lock().iter().filter(|it| filter.accepts(it)).cloned().collect()
    }
}

/// The wall clock, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

//! Structured events. Each one is logged as a line, and the most recent ones are kept in memory for `/v1/events`.

use std::{
    collections::VecDeque,
    time::{SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The default log filter. tarpc logs every call at `info`, the level of our events, which costs more than the call.
pub const LOG_FILTER: &str = "info,tarpc=error";

/// The number of most recent events that a process keeps.
const RING_CAPACITY: usize = 4096;

/// The kind of an event.
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
    /// The process is shutting down.
    Stopping,
    /// A request was rejected.
    Rejected,
    /// A request received a response.
    Answered,
    /// A query result lacks rows of a shard.
    ShardMissing,
    /// A sub-request was hedged or retried.
    Retried,
    /// The concurrency limit of a target changed.
    LimitChanged,
    /// A target crashed while it executed a request.
    Suspected,
    /// A request was quarantined because it crashes targets.
    Quarantined,
    /// The freshness lease expired.
    LeaseLost,
    /// The freshness lease was acquired, initially or after a loss.
    LeaseGained,
    /// A configuration revision was applied.
    ConfigApplied,
    /// The owner of a target changed.
    OwnerChanged,
    /// A target announced itself, or changed its announcement.
    TargetAnnounced,
    /// A target stopped renewing its announcement.
    TargetSilent,
    /// A target was removed.
    TargetRemoved,
    /// An entry host joined.
    NodeJoined,
    /// An entry host left, or was removed because it stopped polling.
    NodeRemoved,
    /// A request on a connection got no complete response in time, so the connections to its target are replaced.
    ConnectionSilent,
    /// A peer's connection was refused, or closed because of invalid data.
    PeerRejected,
    /// A control host became the leader or stepped down.
    Election,
    /// The membership of the control cluster changed.
    Membership,
    /// The leader changed the membership to replace a failed voter, to add a voter or to remove a replaced member.
    Repaired,
    /// Reading or writing the durable state failed, or works again.
    StorageFailed,
}

/// An event with its cause and the objects concerned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When the event was recorded, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The host that recorded the event.
    pub host: String,
    /// The kind of the event.
    pub kind: Kind,
    /// The id of the request concerned.
    pub request: Option<String>,
    /// The name of the target concerned.
    pub target: Option<String>,
    /// The availability zone concerned.
    pub zone: Option<String>,
    /// The cause or other details, as text.
    pub cause: String,
}

impl Event {
    /// Creates an event. [`Ring::record`] sets the host and the time.
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

    /// Sets the request concerned.
    pub fn request(mut self, request: impl Into<String>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the target concerned.
    pub fn target(mut self, target: impl Into<String>) -> Self {
        self.target = Some(target.into());
        self
    }

    /// Sets the availability zone concerned.
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

/// Selects events; all set fields must match. An empty filter selects all events.
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
    fn matches(&self, event: &Event) -> bool {
        let matches =
            |wanted: &Option<String>, found: &Option<String>| wanted.is_none() || wanted == found;
        matches(&self.request, &event.request)
            && matches(&self.target, &event.target)
            && matches(&self.zone, &event.zone)
            && event.at_ms >= self.since_ms
    }
}

/// A ring buffer of the most recent events of a process.
pub struct Ring {
    host: String,
    events: Mutex<VecDeque<Event>>,
}

impl Ring {
    /// Creates an empty buffer. `host` becomes the host of all recorded events.
    pub fn new(host: impl Into<String>) -> Self {
        Self { host: host.into(), events: Mutex::default() }
    }

    /// Logs an event and stores it. The oldest event is dropped if the buffer is full.
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

    /// The stored events that match the filter, oldest first.
    pub fn find(&self, filter: &Filter) -> Vec<Event> {
        self.events.lock().iter().filter(|it| filter.matches(it)).cloned().collect()
    }
}

/// The current wall-clock time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

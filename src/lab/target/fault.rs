//! JSON bodies of the lab API, which injects faults into stand-in targets and returns their counters.
//!
//! - `POST /v1/lab/faults` takes a [`FaultRequest`] and applies its steps in order. It answers with status 204, or
//!   with 404 and the unknown target names, in which case no step is applied. Example:
//!   `{"steps":[{"targets":["label-00-a"],"fault":{"type":"slow","factor":10.0}}]}`
//! - `GET /v1/lab/stats` answers with [`Stats`].
//!
//! Times are milliseconds since the Unix epoch, unless the name has another unit. Names that end in `after_ms` are
//! durations.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::Holding;

/// Body of `POST /v1/lab/faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The steps, in the order in which they are applied.
    pub steps: Vec<FaultStep>,
}

/// One fault for some targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultStep {
    /// The names of the targets; all targets of the process if empty.
    pub targets: Vec<String>,
    /// The fault.
    pub fault: Fault,
}

/// A fault, or another change of the state of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Multiplies the service time of all requests; 1 is normal.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Multiplies the service time of one request in `one_in`, chosen at random; 0 for none.
    Straggle {
        /// One request in this many is slow.
        one_in: u64,
        /// The factor.
        factor: f64,
    },
    /// Accepts connections and requests but sends no answers.
    Stall {
        /// Whether the target stalls.
        on: bool,
    },
    /// Refuses requests above the limit; without this, the target accepts them and becomes slower.
    Shed {
        /// Whether the target refuses them.
        on: bool,
    },
    /// Becomes cold for `warm_after_ms` without a restart. Reports and announcements show it.
    TurnCold,
    /// Silences all connections that are open now: they stay open but carry no data. New connections work.
    Silence,
    /// Crashes when it starts a request whose text or body contains `text`.
    CrashOn {
        /// The text; none removes the fault.
        text: Option<String>,
        /// How long the target is down, in milliseconds.
        back_after_ms: u64,
    },
    /// Closes the listener and all connections, and comes back cold as a new incarnation.
    Crash {
        /// How long the target is down, in milliseconds.
        back_after_ms: u64,
    },
    /// Starts or stops sending announcements.
    Announce {
        /// Whether the target sends announcements.
        on: bool,
    },
    /// Announces that the target is leaving, and refuses requests after a delay.
    Leave {
        /// The delay until it refuses requests, in milliseconds.
        refuse_after_ms: u64,
    },
    /// Ends `leave`: announces that the target serves again, and becomes cold.
    Return,
    /// Replaces all holdings.
    Hold {
        /// The new holdings.
        holdings: Vec<Holding>,
    },
    /// Damages the answers to sub-requests.
    Damage {
        /// The kind of damage; none ends it.
        damage: Option<Damage>,
    },
    /// Reports a false state: all three values in health answers, `cold` also in announcements.
    Lie {
        /// The false state; none ends it.
        lie: Option<Lie>,
    },
    /// Resets the counter `since_mark`.
    Mark,
    /// Counts per text how many sub-requests start, for texts with this prefix.
    Watch {
        /// The prefix of the texts; none stops the count.
        prefix: Option<String>,
    },
    /// Ends `slow`, `straggle`, `stall`, `crash_on`, `damage` and `lie`, turns announcements on, and makes the target
    /// warm. `shed`, `leave`, `watch`, holdings and silenced connections stay as they are.
    Heal,
}

/// The ways to damage an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// The last row is missing but `count` includes it. An answer without rows gets `count` 1.
    Truncated,
    /// The answer names the next version instead of the requested one; its rows are unchanged.
    WrongVersion,
    /// The body is truncated JSON.
    Malformed,
}

/// A false state to report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lie {
    /// The reported `cold`.
    pub cold: bool,
    /// The reported `leaving`.
    pub leaving: bool,
    /// The reported `in_flight`.
    pub in_flight: u32,
}

/// Answer to `GET /v1/lab/stats`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// The targets in the order of the settings.
    pub targets: Vec<TargetStats>,
}

/// The state and the counters of a target, since its process started and over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The current incarnation.
    pub incarnation: u64,
    /// Whether the target is cold, regardless of `lie`.
    pub cold: bool,
    /// Whether it is down after a crash.
    pub down: bool,
    /// How many requests it can run at once now without slowing down.
    pub limit: u32,
    /// How many requests run now.
    pub running: u32,
    /// The most requests that ran at once.
    pub max_concurrent: u32,
    /// Requests that started above the limit.
    pub overload: u64,
    /// How often an overload while cold made the target very slow for a while.
    pub collapses: u64,
    /// Requests that arrived, including refused ones.
    pub received: u64,
    /// Requests that started.
    pub started: u64,
    /// Requests that ended with an answer.
    pub finished: u64,
    /// Requests that were refused before they started.
    pub refused: u64,
    /// Sub-requests that were cancelled or reached their deadline while they ran.
    pub dropped: u64,
    /// Requests that arrived after `leave`.
    pub after_leave: u64,
    /// Requests that started after `mark`.
    pub since_mark: u64,
    /// When the last request arrived.
    pub last_received_ms: u64,
    /// How long the last finished request took, in microseconds.
    pub last_service_us: u64,
    /// Open connections.
    pub connections: u32,
    /// The most connections that were open at once.
    pub max_connections: u32,
    /// Connections that were closed on arrival because of the connection limit.
    pub connections_refused: u64,
    /// Announcements that an entry host accepted.
    pub announced: u64,
    /// Crashes.
    pub crashes: u64,
    /// How often a request with each idempotency key started.
    pub runs: BTreeMap<String, u32>,
    /// How often a sub-request with each watched text started.
    #[serde(default)]
    pub texts: BTreeMap<String, u32>,
}

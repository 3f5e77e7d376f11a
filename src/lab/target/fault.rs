//! JSON bodies with which the demo and the tests send_faults and read a process of stand-in targets.
//!
//! - `POST /v1/lab/faults` takes a [`FaultRequest`] and applies its steps in order. Status 204, or 404 with the unknown
//!   target names. Example: `{"steps":[{"targets":["label-00-a"],"fault":{"type":"slow","factor":10.0}}]}`
//! - `GET /v1/lab/stats` answers with [`Stats`].
//!
//! Times are milliseconds since the Unix epoch or, where the name says so, microseconds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::Holding;

/// Body of `POST /v1/lab/faults`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// What is to be done, in order.
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

/// What a target is told to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Multiplies each service time; 1 is normal.
    Slow {
        /// The factor.
        factor: f64,
    },
    /// Multiplies the service time of one request in `one_in`, chosen at random; 0 for none.
    Straggle {
        /// How rare they are.
        one_in: u64,
        /// The factor.
        factor: f64,
    },
    /// Accepts connections and requests but sends no byte.
    Stall {
        /// Whether it stalls.
        on: bool,
    },
    /// Refuses requests above its limit instead of slowing down.
    Shed {
        /// Whether it refuses.
        on: bool,
    },
    /// Becomes cold for `warm_after_ms` without saying so.
    TurnCold,
    /// The connections that are open now carry no data from now on; new ones work.
    Silence,
    /// Crashes as soon as it starts a request that contains the text.
    CrashOn {
        /// The text; none to stop this.
        text: Option<String>,
        /// How long it is down.
        back_after_ms: u64,
    },
    /// Closes its listener and all connections, and comes back as a new incarnation.
    Crash {
        /// How long it is down.
        back_after_ms: u64,
    },
    /// Sends announcements or stops sending them.
    Announce {
        /// Whether it sends them.
        on: bool,
    },
    /// Announces that it is leaving and refuses requests after a while.
    Leave {
        /// When it starts to refuse.
        refuse_after_ms: u64,
    },
    /// Announces that it serves again after `leave`, and becomes cold.
    Return,
    /// Replaces everything that it holds.
    Hold {
        /// What it holds from now on.
        holdings: Vec<Holding>,
    },
    /// Damages its answers.
    Damage {
        /// How; none for whole answers.
        damage: Option<Damage>,
    },
    /// Reports a wrong state in health answers and announcements.
    Lie {
        /// What it reports; none for the truth.
        lie: Option<Lie>,
    },
    /// Sets `since_mark` to 0.
    Mark,
    /// Counts how often each text with this prefix starts, from now on; none to stop counting.
    Watch {
        /// The prefix of the texts.
        prefix: Option<String>,
    },
    /// Ends `slow`, `straggle`, `stall`, `crash_on`, `damage` and `lie`, announces itself and is warm.
    Heal,
}

/// How answers are damaged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Damage {
    /// The last row is missing, `count` still includes it.
    Truncated,
    /// The answer comes from another version and names it.
    WrongVersion,
    /// The body is not JSON.
    Malformed,
}

/// A false report.
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

/// What a target counted since its process started, over all its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStats {
    /// The name of the target.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The current incarnation.
    pub incarnation: u64,
    /// Whether it is cold, in truth.
    pub cold: bool,
    /// Whether it is down after a crash.
    pub down: bool,
    /// How many requests it bears now.
    pub limit: u32,
    /// How many requests run now.
    pub running: u32,
    /// The most requests that ran at once.
    pub max_concurrent: u32,
    /// Requests that started although the limit was reached.
    pub overload: u64,
    /// Times that it fell over because of an overload in a cold start.
    pub collapses: u64,
    /// Requests that arrived, refused ones included.
    pub received: u64,
    /// Requests that started.
    pub started: u64,
    /// Requests that ended with an answer.
    pub finished: u64,
    /// Requests that were refused before they started.
    pub refused: u64,
    /// Requests that were cancelled or whose deadline passed while they ran.
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
    /// Connections that were closed at once because of the limit.
    pub connections_refused: u64,
    /// Announcements that an entry host took.
    pub announced: u64,
    /// Crashes.
    pub crashes: u64,
    /// How often each idempotency key ran.
    pub runs: BTreeMap<String, u32>,
    /// How often each text that is watched started.
    #[serde(default)]
    pub texts: BTreeMap<String, u32>,
}

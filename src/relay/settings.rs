//! Settings of a relay.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::header::HeaderName;

/// The names of the headers that callers, this system and targets exchange.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// What is left until the caller gives up, in milliseconds.
    pub deadline: HeaderName,
    /// The process of a target that a request is meant for.
    pub expected_process: HeaderName,
    /// A target's signature of its answer.
    pub signature: HeaderName,
    /// The signatures of all parts of an answer.
    pub signatures: HeaderName,
    /// The number of shards that an answer does not cover.
    pub missing_shards: HeaderName,
    /// Set by a target that did not run the request.
    pub not_run: HeaderName,
}

/// Settings of a relay.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the host.
    pub name: String,
    /// The availability zone.
    pub zone: String,
    /// The region of each availability zone.
    pub regions: BTreeMap<String, String>,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for other relays.
    pub listen_peers: SocketAddr,
    /// The RPC addresses of control hosts that are known at the start.
    pub control: Vec<SocketAddr>,
    /// The names of headers.
    pub headers: Headers,
    /// How many repeated sub-requests all hosts together may send to a service, in percent of its requests.
    pub retry_percent: u64,
    /// How many more they may send at once.
    pub retry_burst: u32,
    /// How many they may send to a service before it has had any requests, all processes that start together.
    pub retry_initial: u32,
    /// How long callers keep a list of hosts.
    pub address_ttl: Duration,
    /// The time from a request to stop until the process is killed.
    pub grace_period: Duration,
}

impl Settings {
    /// The region of this host.
    pub fn own_region(&self) -> &str {
        self.region(&self.zone)
    }

    /// The region of an availability zone; the zone itself if it is unknown.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}

//! Settings of a relay.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::header::HeaderName;

use crate::{descriptors, memory, policy::quota};

/// Default of [`Settings::max_config_age`].
pub const DEFAULT_MAX_CONFIG_AGE: Duration = Duration::from_millis(3_000);

/// Default of [`Settings::revoke_age`].
pub const DEFAULT_REVOKE_AGE: Duration = Duration::from_millis(5_000);

/// Default of [`Settings::max_descriptors`].
pub const DEFAULT_MAX_DESCRIPTORS: u64 = 4_096;

/// The share of the descriptors that connections of callers may use, in percent. The rest is for targets, other relays and
/// control hosts.
const CALLERS_PERCENT: u64 = 60;

/// The share of the descriptors that connections of other relays may use, in percent.
const RELAYS_PERCENT: u64 = 15;

/// Names of the headers that callers, relays and targets exchange.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// The time until the caller gives up, in milliseconds.
    pub deadline: HeaderName,
    /// The target process that a request is meant for. Another process at the same address must not run it.
    pub expected_process: HeaderName,
    /// A target's signature of its response.
    pub signature: HeaderName,
    /// The signatures of all shards' responses that were merged.
    pub signatures: HeaderName,
    /// The number of shards that a response does not cover.
    pub missing_shards: HeaderName,
    /// Set by a target that did not run the request.
    pub not_run: HeaderName,
    /// Set by a target that is leaving, in all its responses.
    pub leaving: HeaderName,
    /// The key of the tenant that sends a request. It is not passed on if the table has tenants.
    pub credential: HeaderName,
    /// Tells a target the name of the tenant. What callers send is dropped if the table has tenants.
    pub tenant: HeaderName,
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
    /// The address to which callers connect.
    pub listen: SocketAddr,
    /// The address to which other relays connect.
    pub listen_peers: SocketAddr,
    /// The RPC addresses of the control hosts that are known at the start.
    pub control: Vec<SocketAddr>,
    /// The names of headers.
    pub headers: Headers,
    /// Retries and hedges that all hosts together may send to a service, in percent of its sub-requests.
    pub retry_percent: u64,
    /// Retries and hedges that all hosts together may send to a service in a burst, after a quiet period.
    pub retry_burst: u32,
    /// Retries and hedges that processes which start at the same time may together send to a service before it has had
    /// any requests.
    pub retry_initial: u32,
    /// How far the requests of a tenant that reach targets may exceed its limit, over all hosts.
    pub quota: quota::Bound,
    /// How long callers keep the addresses that they have looked up.
    pub address_ttl: Duration,
    /// A request for a route that the configuration does not have is refused for good only while control hosts have
    /// confirmed the configuration within this time. Later the route may exist, and the caller is told to try again.
    pub max_config_age: Duration,
    /// The time after which a withdrawn key must not be accepted any more. A process that stood still for longer first waits
    /// for polls.
    pub revoke_age: Duration,
    /// Whether a host that has not had its configuration confirmed within [`Self::revoke_age`] refuses requests with keys.
    /// Otherwise it goes on with the tenants that it knows.
    pub revoke_everywhere: bool,
    /// The time from the signal to stop until the process is killed.
    pub grace_period: Duration,
    /// Whether the deployment has rollouts. Targets whose software version is neither in force nor under rollout then
    /// get no requests.
    pub rollouts: bool,
    /// The number of descriptors that the process may have open, if the operating system has no lower limit.
    pub max_descriptors: u64,
    /// The memory of the machine, in MB.
    pub memory_mb: u64,
}

impl Settings {
    /// The region of this host.
    pub fn own_region(&self) -> &str {
        self.region(&self.zone)
    }

    /// The number of connections that callers may keep open.
    pub(super) fn max_callers(&self) -> usize {
        descriptors::share(self.max_descriptors, CALLERS_PERCENT)
    }

    /// The size of the receive buffer of each connection of a caller, in bytes.
    pub fn receive_bytes(&self) -> usize {
        memory::receive_bytes(self.memory_mb, self.max_callers())
    }

    /// The number of connections that other relays may keep open.
    pub(super) fn max_relay_connections(&self) -> usize {
        descriptors::share(self.max_descriptors, RELAYS_PERCENT)
    }

    /// The region of an availability zone, or the zone itself if its region is unknown.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.get(zone).map_or(zone, String::as_str)
    }
}

//! What the quarantine leaves of a request. A request over shards does without those whose targets it has crashed if the others
//! reach the minimum coverage. Any other one is refused, unless it may be sent as a probe.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;

use crate::{
    relay::{
        host::Host,
        probe::{self, Permit},
        request::Query,
        response::{self, Refusal},
        view::{ServiceKey, View},
    },
    route::To,
};

/// Why a request, or a shard of it, gets no response.
pub(super) const QUARANTINED: &str = "quarantined";

/// A service that a request is held back from.
#[derive(Clone, Copy)]
pub(super) struct Held {
    pub(super) key: ServiceKey,
    /// Identifies what the service runs for the request.
    pub(super) fingerprint: u64,
    is_quarantined: bool,
}

/// How a request may be sent.
pub(super) enum Pass {
    /// To all services of its route.
    Open,
    /// To all but these, of which the first may get it as a probe.
    Partial { held: Vec<Held>, probe: Option<Permit> },
    /// As a probe: it cannot do without these.
    Probe { held: Vec<Held>, permit: Permit },
}

impl Pass {
    /// The services that get the request as a probe, if at all.
    fn held(&self) -> &[Held] {
        match self {
            Self::Open => &[],
            Self::Partial { held, .. } | Self::Probe { held, .. } => held,
        }
    }

    /// Whether this service gets the request as a probe, if at all.
    pub(super) fn holds(&self, key: ServiceKey) -> bool {
        self.held().iter().any(|it| it.key == key)
    }

    /// How many services the request does without.
    pub(super) fn left_out(&self) -> usize {
        if let Self::Partial { held, .. } = self { held.len() } else { 0 }
    }

    /// The right to send the request as a probe.
    pub(super) fn into_permit(self) -> Option<Permit> {
        match self {
            Self::Open => None,
            Self::Partial { probe, .. } => probe,
            Self::Probe { permit, .. } => Some(permit),
        }
    }
}

/// Decides how a request may be sent to the services of its route. The error is the time until it may be sent as a probe.
/// With a split route that is decided by [`admit_to`] once the service is picked.
pub(super) async fn admit(host: &Arc<Host>, query: &Query) -> Result<Pass, Duration> {
    let route = query.route();
    match &route.config.to {
        To::Service(_) => admit_to(host, query, &route.services, 0).await,
        To::Split(_) => Ok(Pass::Open),
        To::Shards(shards) => {
            let spare = route.services.len() - shards.min_shards();
            admit_to(host, query, &route.services, spare).await
        }
    }
}

/// Decides how a request may be sent to these services, of which it can do without `spare`.
pub(super) async fn admit_to(
    host: &Arc<Host>,
    query: &Query,
    keys: &[ServiceKey],
    spare: usize,
) -> Result<Pass, Duration> {
    let held = held_services(query, keys);
    let Some(first) = held.first() else { return Ok(Pass::Open) };
    if held.len() <= spare {
        let probe = probe::try_acquire(host, query, first);
        return Ok(Pass::Partial { held, probe });
    }
    match probe::acquire(host, query, first).await {
        Some(permit) => Ok(Pass::Probe { held, permit }),
        None => Err(host.probes.wait(first.fingerprint)),
    }
}

/// The services at which the request is quarantined and, if there are any, those at which it is a suspect. All relays
/// put the same one first, so that they compete for one grant.
fn held_services(query: &Query, keys: &[ServiceKey]) -> Vec<Held> {
    let View { quarantine, suspects, .. } = &*query.view;
    if quarantine.is_empty() {
        return Vec::new();
    }
    let held = keys.iter().map(|&key| {
        let fingerprint = query.fingerprint(&query.view.service(key).name);
        Held { key, fingerprint, is_quarantined: quarantine.contains(&fingerprint) }
    });
    let mut held: Vec<_> = held.filter(|it| suspects.contains_key(&it.fingerprint)).collect();
    if !held.iter().any(|it| it.is_quarantined) {
        return Vec::new();
    }
    held.sort_by_key(|it| (Reverse(it.is_quarantined), it.fingerprint));
    held
}

/// Builds the response for a request that may be sent as a probe after this time at the earliest.
pub(super) fn refuse(host: &Host, query: &Query, wait: Duration) -> Response<Full<Bytes>> {
    host.metrics.record_answer(query, QUARANTINED);
    response::refuse(host, query, &Refusal::new(false, false, QUARANTINED).retry_after(wait))
}

//! What the quarantine leaves of a request. A request over shards does without those whose targets it has crashed if the others
//! reach the minimum coverage. Any other one is refused, unless it may be sent as a probe.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use crate::{
    relay::{
        host::Host,
        probe::{self, Permit},
        request::Query,
        view::{ServiceKey, View},
    },
    route::To,
};

/// A service that a request is held back from.
#[derive(Clone, Copy)]
pub(super) struct Held {
    pub(super) key: ServiceKey,
    /// Identifies what the service runs for the request.
    pub(super) fingerprint: u64,
    is_quarantined: bool,
}

/// How a request may be sent.
#[derive(Default)]
pub(super) struct Pass {
    /// The services that get it as a probe only.
    pub(super) held: Vec<Held>,
    /// The right to send the probe.
    pub(super) permit: Option<Permit>,
}

impl Pass {
    /// Whether this service gets the request as a probe only.
    pub(super) fn holds(&self, key: ServiceKey) -> bool {
        self.held.iter().any(|it| it.key == key)
    }
}

/// Decides how a request may be sent to the services of its route. The error is the time until it may be sent as a probe.
/// With a split route that is decided by [`admit_to`] once the service is picked.
pub(super) async fn admit(host: &Arc<Host>, query: &Query) -> Result<Pass, Duration> {
    let route = query.route();
    match &route.config.to {
        To::Service(_) => admit_to(host, query, &route.services, 0).await,
        To::Split(_) => Ok(Pass::default()),
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
    let Some(first) = held.first() else { return Ok(Pass::default()) };
    if held.len() <= spare {
        let permit = probe::try_acquire(host, query, first);
        return Ok(Pass { held, permit });
    }
    match probe::acquire(host, query, first).await {
        Some(permit) => Ok(Pass { held, permit: Some(permit) }),
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

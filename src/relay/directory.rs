//! Which hosts a caller should use.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    relay::{
        host::Host,
        view::{MIN_HOSTS_PER_REGION, ResolvedRoute, ServiceKey},
    },
    state::Node,
};

/// The most addresses of an answer: callers take no more.
const MAX_ADDRESSES: usize = 64;

/// Zones are alike if one has targets of this share of the services that the other one has: targets come and go, and
/// callers should not move with each.
const SIMILAR_COVERAGE_PARTS: usize = 3;
const SIMILAR_COVERAGE_WHOLE: usize = 4;

/// A caller that asks for addresses.
#[derive(Clone, Debug)]
pub struct AddressQuery {
    /// The host that it wants to reach.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// How far a host is for a caller, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameRegion,
    LocalZone,
    Elsewhere,
}

impl Host {
    /// The addresses of the hosts that a caller should use; none if this host knows too little. A caller of another
    /// region asks here only if nothing answers in its own, so it gets hosts that are near this one.
    ///
    /// Few hosts are addresses, the same ones to all callers of a zone: each has enough connections to each target, its
    /// connections stay in use, and what it observes soon tells about each target. They are in the zone that has the
    /// targets, because the parts of a gathered answer are many times longer than the answer.
    pub fn addresses(&self, query: &AddressQuery) -> Option<Vec<SocketAddr>> {
        let view = self.view();
        if view.table.version == 0 {
            return None;
        }
        let routes: Vec<_> =
            view.table.index.of_host(&query.name).map(|it| &view.table.routes[it]).collect();
        let homes = home_regions(&routes);
        let allowed = |it: &&Node| {
            let region = self.cfg.region(&it.zone);
            homes.is_empty() || region == query.region || homes.contains(region)
        };
        let serving: Vec<_> = view.nodes.iter().filter(|it| !it.leaving).filter(allowed).collect();
        let nearest = serving.iter().map(|it| self.distance(it, query)).min()?;
        let nearest_hosts = serving.iter().filter(|it| self.distance(it, query) == nearest);
        let zones: BTreeSet<_> = nearest_hosts.map(|it| it.zone.as_str()).collect();

        let services: BTreeSet<_> = routes.iter().flat_map(|it| &it.services).copied().collect();
        let covered = |zone: &&str| {
            let has_targets = |it: &&ServiceKey| view.service(**it).has_targets_in(zone);
            services.iter().filter(has_targets).count()
        };
        let max_covered = zones.iter().map(covered).max().unwrap_or(0);
        let mut zones: Vec<_> = zones.into_iter().collect();
        zones.sort_by_cached_key(|it| {
            let lacks_targets =
                covered(it) * SIMILAR_COVERAGE_WHOLE < max_covered * SIMILAR_COVERAGE_PARTS;
            (lacks_targets, *it != query.zone)
        });
        let wanted = view.hosts_wanted(services.iter()).min(MAX_ADDRESSES);
        let mut addresses = Vec::new();
        for zone in zones {
            if addresses.len() < MIN_HOSTS_PER_REGION {
                let hosts = view.hosts_for(&query.name, zone, wanted - addresses.len());
                addresses.extend(hosts.iter().map(|it| it.http));
            }
        }
        Some(addresses)
    }

    /// How far a host is for a caller.
    fn distance(&self, node: &Node, query: &AddressQuery) -> Distance {
        let region = self.cfg.region(&node.zone);
        let own_region = self.cfg.region(&self.cfg.zone);
        if region == own_region && region == query.region {
            Distance::SameRegion
        } else if node.zone == self.cfg.zone {
            Distance::LocalZone
        } else {
            Distance::Elsewhere
        }
    }

    /// How long an answer may be kept, in seconds.
    pub fn address_ttl_s(&self) -> u64 {
        self.cfg.address_ttl.as_secs().max(1)
    }
}

/// The regions that may serve all requests of these routes; empty if any region may serve one.
fn home_regions<'a>(routes: &[&'a ResolvedRoute]) -> BTreeSet<&'a str> {
    if routes.iter().any(|it| it.config.homes.is_empty()) {
        return BTreeSet::new();
    }
    routes.iter().flat_map(|it| &it.config.homes).map(String::as_str).collect()
}

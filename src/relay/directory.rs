//! Address look-up: which hosts a caller should connect to.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    relay::{
        host::Host,
        view::{MIN_HOSTS_PER_REGION, ResolvedRoute, ServiceKey},
    },
    state::Node,
};

/// Maximum number of addresses in a response. Callers do not use more.
const MAX_ADDRESSES: usize = 64;

/// Two zones count as equally suitable if one has targets for at least three quarters of the services that the other
/// one covers. Targets come and go, and callers should not move to another zone each time.
const SIMILAR_COVERAGE_NUMERATOR: usize = 3;
const SIMILAR_COVERAGE_DENOMINATOR: usize = 4;

/// Parameters of an address look-up.
#[derive(Clone, Debug)]
pub struct AddressQuery {
    /// The host name that the caller wants to reach.
    pub name: String,
    /// The caller's availability zone.
    pub zone: String,
    /// The caller's region.
    pub region: String,
}

/// Distance of a host from a caller, the closest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// In the region of both the caller and this host.
    SameRegion,
    /// In the zone of this host.
    LocalZone,
    /// Anywhere else.
    Elsewhere,
}

impl Host {
    /// The addresses that a caller should connect to. `None` if this host has no routing table yet or knows no suitable
    /// host. Callers ask in another region only if nothing responds in their own, so they get hosts near this one.
    ///
    /// The same few hosts are returned to all callers of a zone. This leaves each host enough connections to every
    /// target, keeps these connections in use, and gives each host enough samples for its statistics. Hosts in a zone
    /// that has the targets are preferred, because the results of all shards are many times larger than the merged
    /// response.
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
            let lacks_targets = covered(it) * SIMILAR_COVERAGE_DENOMINATOR
                < max_covered * SIMILAR_COVERAGE_NUMERATOR;
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

    /// Distance of a host from a caller.
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

    /// How long a caller may keep the addresses, in seconds.
    pub fn address_ttl_s(&self) -> u64 {
        self.cfg.address_ttl.as_secs().max(1)
    }
}

/// The regions that may serve requests of all these routes. Empty if at least one route has no home regions, which
/// means that any region may serve it.
fn home_regions<'a>(routes: &[&'a ResolvedRoute]) -> BTreeSet<&'a str> {
    if routes.iter().any(|it| it.config.homes.is_empty()) {
        return BTreeSet::new();
    }
    routes.iter().flat_map(|it| &it.config.homes).map(String::as_str).collect()
}

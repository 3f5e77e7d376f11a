//! Which hosts a caller should use.

use std::{collections::BTreeSet, net::SocketAddr};

use crate::{
    relay::{
        host::Host,
        view::{MIN_HOSTS, Path, ServiceKey},
    },
    state::Node,
};

/// The most addresses of an answer: callers take no more.
const MAX_ADDRESSES: usize = 64;

/// Zones are alike if one has targets of this share of the services that the other one has: targets come and go, and
/// callers should not move with each.
const ALIKE: usize = 3;
const ALIKE_OF: usize = 4;

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
    NearThisHost,
    Far,
}

impl Host {
    /// The addresses of the hosts that a caller should use; none if this host knows too little. A caller of another
    /// region asks here only if nothing answers in its own, so it gets hosts that are near this one.
    ///
    /// Few hosts are named, the same ones to all callers of a zone: each has enough connections to each target, its
    /// connections stay in use, and what it observes soon tells about each target. They are in the zone that has the
    /// targets, because the parts of a gathered answer are many times longer than the answer.
    pub fn addresses(&self, asker: &AddressQuery) -> Option<Vec<SocketAddr>> {
        let view = self.view();
        if view.routes.version == 0 {
            return None;
        }
        let paths: Vec<_> =
            view.routes.index.of_host(&asker.name).map(|it| &view.routes.paths[it]).collect();
        let homes = homes(&paths);
        let allowed = |it: &&Node| {
            let region = self.cfg.region(&it.zone);
            homes.is_empty() || region == asker.region || homes.contains(region)
        };
        let serving: Vec<_> = view.nodes.iter().filter(|it| !it.leaving).filter(allowed).collect();
        let nearest = serving.iter().map(|it| self.distance(it, asker)).min()?;
        let near = serving.iter().filter(|it| self.distance(it, asker) == nearest);
        let zones: BTreeSet<_> = near.map(|it| it.zone.as_str()).collect();

        let services: BTreeSet<_> = paths.iter().flat_map(|it| &it.to).copied().collect();
        let covered = |zone: &&str| {
            let has_targets = |it: &&ServiceKey| view.service(**it).is_in(zone);
            services.iter().filter(has_targets).count()
        };
        let most = zones.iter().map(covered).max().unwrap_or(0);
        let mut zones: Vec<_> = zones.into_iter().collect();
        zones.sort_by_cached_key(|it| {
            let lacks_targets = covered(it) * ALIKE_OF < most * ALIKE;
            (lacks_targets, *it != asker.zone)
        });
        let wanted = view.hosts_wanted(services.iter()).min(MAX_ADDRESSES);
        let mut named = Vec::new();
        for zone in zones {
            if named.len() < MIN_HOSTS {
                let hosts = view.hosts_for(&asker.name, zone, wanted - named.len());
                named.extend(hosts.iter().map(|it| it.http));
            }
        }
        Some(named)
    }

    /// How far a host is for a caller.
    fn distance(&self, node: &Node, asker: &AddressQuery) -> Distance {
        let region = self.cfg.region(&node.zone);
        let own = self.cfg.region(&self.cfg.zone);
        if region == own && region == asker.region {
            Distance::SameRegion
        } else if node.zone == self.cfg.zone {
            Distance::NearThisHost
        } else {
            Distance::Far
        }
    }

    /// How long an answer may be kept, in seconds.
    pub fn address_ttl_s(&self) -> u64 {
        self.cfg.address_ttl.as_secs().max(1)
    }
}

/// The regions that may serve all requests of these routes; empty if any region may serve one.
fn homes<'a>(paths: &[&'a Path]) -> BTreeSet<&'a str> {
    if paths.iter().any(|it| it.route.homes.is_empty()) {
        return BTreeSet::new();
    }
    paths.iter().flat_map(|it| &it.route.homes).map(String::as_str).collect()
}

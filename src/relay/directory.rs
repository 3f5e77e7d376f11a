//! Which hosts a caller should use.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    policy::ownership,
    relay::{
        host::Host,
        view::{MIN_HOSTS, Path},
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
pub struct Asker {
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
    pub fn addresses(&self, asker: &Asker) -> Option<Vec<SocketAddr>> {
        let view = self.view();
        if view.version == 0 {
            return None;
        }
        let paths: Vec<_> = view.index.of_host(&asker.name).map(|it| &view.paths[it]).collect();
        let homes = homes(&paths);
        let allowed = |it: &&Node| {
            let region = self.cfg.region(&it.zone);
            homes.is_empty() || region == asker.region || homes.contains(region)
        };
        let serving: Vec<_> = view.nodes.iter().filter(|it| !it.leaving).filter(allowed).collect();
        let nearest = serving.iter().map(|it| self.distance(it, asker)).min()?;
        let mut near = serving;
        near.retain(|it| self.distance(it, asker) == nearest);

        let services: BTreeSet<_> = paths.iter().flat_map(|it| &it.to).copied().collect();
        let zones: BTreeSet<_> = near.iter().map(|it| it.zone.as_str()).collect();
        let covered =
            |zone: &str| services.iter().filter(|it| view.service(**it).is_in(zone)).count();
        let covered: BTreeMap<_, _> = zones.iter().map(|it| (*it, covered(it))).collect();
        let most = covered.values().max().copied().unwrap_or(0);
        near.sort_by_cached_key(|it| {
            let zone = it.zone.as_str();
            let lacks_targets = covered[zone] * ALIKE_OF < most * ALIKE;
            let weight = ownership::weight(&asker.name, &it.name);
            (lacks_targets, zone != asker.zone, zone, Reverse(weight))
        });
        let wanted = services.iter().map(|it| view.service(*it).hosts_in_region).min();
        let wanted = wanted.unwrap_or(MAX_ADDRESSES).clamp(MIN_HOSTS, MAX_ADDRESSES);
        let mut named = Vec::new();
        for of_zone in near.chunk_by(|a, b| a.zone == b.zone) {
            if named.len() < MIN_HOSTS {
                let left = wanted - named.len();
                named.extend(of_zone.iter().take(left).map(|it| it.http));
            }
        }
        Some(named)
    }

    /// How far a host is for a caller.
    fn distance(&self, node: &Node, asker: &Asker) -> Distance {
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
    pub fn list_ttl_s(&self) -> u64 {
        self.cfg.list_ttl.as_secs().max(1)
    }
}

/// The regions that may serve all requests of these routes; empty if any region may serve one.
fn homes<'a>(paths: &[&'a Path]) -> BTreeSet<&'a str> {
    if paths.iter().any(|it| it.route.homes.is_empty()) {
        return BTreeSet::new();
    }
    paths.iter().flat_map(|it| &it.route.homes).map(String::as_str).collect()
}

//! Which hosts a caller should use.

use std::net::SocketAddr;

use crate::{relay::host::Host, state::Node};

/// The most addresses of an answer.
const MAX_ADDRESSES: usize = 64;

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
    SameZone,
    SameRegion,
    NearThisHost,
    Far,
}

impl Host {
    /// The addresses of the nearest hosts for a caller; none if this host knows too little. A caller of another zone
    /// asks here only if nothing answers in its own, so it gets hosts that are near this one.
    pub fn addresses(&self, asker: &Asker) -> Option<Vec<SocketAddr>> {
        let view = self.view();
        if view.version == 0 {
            return None;
        }
        let homes = self.homes(&asker.name);
        let region = |it: &Node| self.cfg.region(&it.zone).to_owned();
        let allowed = |it: &Node| {
            let region = region(it);
            homes.is_empty() || region == asker.region || homes.contains(&region)
        };
        let serving: Vec<_> = view.nodes.iter().filter(|it| !it.leaving && allowed(it)).collect();
        let nearest = serving.iter().map(|it| self.distance(it, asker)).min()?;
        let near = serving.iter().filter(|it| self.distance(it, asker) == nearest);
        Some(near.map(|it| it.http).take(MAX_ADDRESSES).collect())
    }

    /// How far a host is for a caller.
    fn distance(&self, node: &Node, asker: &Asker) -> Distance {
        let own = &self.cfg.zone;
        let region = self.cfg.region(&node.zone);
        if node.zone == *own && asker.zone == *own {
            Distance::SameZone
        } else if region == asker.region && region == self.cfg.region(own) {
            Distance::SameRegion
        } else if node.zone == *own {
            Distance::NearThisHost
        } else {
            Distance::Far
        }
    }

    /// How long an answer may be kept, in seconds.
    pub fn list_ttl_s(&self) -> u64 {
        self.cfg.list_ttl.as_secs().max(1)
    }

    /// The regions that may serve all requests for this name; empty if any region may serve one.
    fn homes(&self, name: &str) -> Vec<String> {
        let view = self.view();
        let routes: Vec<_> = view.index.of_host(name).map(|it| &view.paths[it].route).collect();
        if routes.iter().any(|it| it.homes.is_empty()) {
            return Vec::new();
        }
        routes.iter().flat_map(|it| it.homes.iter().cloned()).collect()
    }
}

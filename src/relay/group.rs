//! Shards of a request that are delegated to a relay in the zone of their targets. Their parts are merged there, so that
//! one short answer crosses the zones instead of all parts.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use tokio::time::timeout;

use crate::{
    relay::{
        gather::RECORD_BYTES,
        host::Host,
        link::{ACCEPT_TIMEOUT, Link, Peer},
        request::Query,
        view::ServiceKey,
    },
    route::Shards,
    wire::{
        MAX_FRAME_BYTES,
        relay::{Message, Progress, Reply},
    },
};

/// Fewer shards are asked directly: the hop would cost more than it saves.
const MIN_SHARDS: usize = 3;

/// The records of an answer must fit well into a frame.
const MAX_RECORDS: usize = MAX_FRAME_BYTES / RECORD_BYTES / 2;

/// What the answer of a delegate takes besides its way: merging and a turn on a busy host.
const TURN: Duration = Duration::from_millis(3);

/// What a delegate says.
pub(super) enum Event {
    /// More shards have ended.
    Progress(Progress),
    /// It does not take the shards. If `ran`, it may have asked a target of each all the same.
    Rejected { ran: bool },
    /// It took the shards and is gone.
    Lost,
}

/// Shards that are delegated together.
pub(super) struct Group {
    pub(super) shards: Vec<u16>,
    /// How many of them have not ended.
    pub(super) left: usize,
    peer: Arc<Peer>,
    link: Option<Link>,
    query: Arc<Query>,
}

impl Drop for Group {
    /// Tells the delegate of a caller that has its answer; otherwise the end of the connection cancels the shards.
    fn drop(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        if self.query.leash.is_released() {
            tokio::spawn(async move {
                if let Err(err) = link.send(&Message::Detach).await {
                    log::debug!("event=delegate_closed cause={err:?}");
                }
            });
        }
    }
}

/// Divides the shards of a request: those that this relay asks itself, and those that it delegates.
pub(super) fn divide(
    host: &Host,
    query: &Arc<Query>,
    shards: &Shards,
) -> (Vec<ServiceKey>, Vec<Group>) {
    let path = query.path();
    let homes = &path.route.homes;
    let at_home = homes.is_empty() || homes.iter().any(|it| it == host.cfg.own_region());
    if shards.top > MAX_RECORDS || !at_home {
        return (path.to.clone(), Vec::new());
    }
    let mut direct = Vec::new();
    let mut by_zone: BTreeMap<&str, Vec<u16>> = BTreeMap::new();
    for (at, key) in (0..).zip(&path.to) {
        match &query.view.service(*key).delegated_to {
            Some(zone) => by_zone.entry(zone).or_default().push(at),
            None => direct.push(*key),
        }
    }
    let mut groups = Vec::new();
    for (zone, shards) in by_zone {
        let peer = if shards.len() < MIN_SHARDS { None } else { delegate(host, query, zone) };
        match peer {
            Some(peer) => groups.push(Group::new(query, peer, shards)),
            None => direct.extend(shards.iter().map(|it| path.to[usize::from(*it)])),
        }
    }
    (direct, groups)
}

/// One of the relays that callers of the same name use in this zone, so that its connections are in use too.
fn delegate(host: &Host, query: &Query, zone: &str) -> Option<Arc<Peer>> {
    let path = query.path();
    let count = query.view.hosts_wanted(path.to.iter());
    let nodes = query.view.hosts_for(&path.route.host, zone, count);
    let peers: Vec<_> = nodes.iter().map(|it| host.peers.get(it.rpc)).collect();
    let working: Vec<_> = peers.iter().filter(|it| !it.is_silent()).collect();
    working.choose(&mut rand::rng()).map(|it| (**it).clone())
}

impl Group {
    fn new(query: &Arc<Query>, peer: Arc<Peer>, shards: Vec<u16>) -> Self {
        Self { left: shards.len(), shards, peer, link: None, query: query.clone() }
    }

    /// Delegates the shards, if that was not done yet, and waits for what becomes of them.
    pub(super) async fn next(mut self, host: &Host) -> (Self, Event) {
        let event = match self.link.take() {
            None => match self.start(host).await {
                Ok(link) => self.receive(link).await,
                Err(rejected) => rejected,
            },
            Some(link) => self.receive(link).await,
        };
        (self, event)
    }

    async fn start(&self, host: &Host) -> Result<Link, Event> {
        let peer = &self.peer;
        let mut link = match peer.link().await {
            Ok(link) => link,
            Err(err) => return Err(self.rejected(host, &err.to_string(), false)),
        };
        let stop_at = self.query.stop_at - peer.round_trip() / 2 - TURN;
        let delegation = self.query.delegation(&host.cfg.headers, self.shards.clone(), stop_at);
        let accepted = async {
            link.send(&Message::Delegate(Box::new(delegation))).await?;
            link.receive().await
        };
        match timeout(ACCEPT_TIMEOUT + peer.round_trip(), accepted).await {
            Ok(Ok(Reply::Accepted)) => Ok(link),
            Ok(Ok(Reply::Refused(cause))) => {
                peer.give_back(link);
                self.log("refused", &cause);
                host.metrics.delegations.with_label_values(&["refused"]).inc();
                Err(Event::Rejected { ran: false })
            }
            Ok(Ok(Reply::Progress(_))) => Err(self.rejected(host, "it answers out of order", true)),
            Ok(Err(err)) => Err(self.rejected(host, &err.to_string(), true)),
            Err(_) => Err(self.rejected(host, "not accepted in time", true)),
        }
    }

    async fn receive(&mut self, mut link: Link) -> Event {
        match link.receive().await {
            Ok(Reply::Progress(progress)) if progress.ended() <= self.left => {
                self.left -= progress.ended();
                if self.left == 0 {
                    self.peer.give_back(link);
                } else {
                    self.link = Some(link);
                }
                Event::Progress(progress)
            }
            Ok(_) => self.lost("it answers out of order"),
            Err(err) => self.lost(&err.to_string()),
        }
    }

    fn rejected(&self, host: &Host, cause: &str, ran: bool) -> Event {
        self.peer.suspend(cause);
        self.log("rejected", cause);
        host.metrics.delegations.with_label_values(&["rejected"]).inc();
        Event::Rejected { ran }
    }

    fn lost(&self, cause: &str) -> Event {
        self.peer.suspend(cause);
        self.log("lost", cause);
        Event::Lost
    }

    fn log(&self, outcome: &str, cause: &str) {
        log::info!(
            "event=delegation_failed request={} peer={} outcome={outcome} cause={cause:?} shards={} version={} waited_ms={}",
            self.query.id(),
            self.peer.addr,
            self.left,
            self.query.view.routes.version,
            self.query.arrived.elapsed().as_millis()
        );
    }
}

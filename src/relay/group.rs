//! Delegates shards of a request to a relay in the zone of their targets. That relay merges the results, so that one
//! short response crosses the zone boundary instead of the results of all shards.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use tokio::time::timeout;

use crate::{
    relay::{
        host::Host,
        peer::{ACCEPT_TIMEOUT, Peer, PeerConnection},
        quarantine::Pass,
        records::RECORD_BYTES,
        request::Query,
        view::ServiceKey,
    },
    route::Shards,
    wire::{
        MAX_FRAME_BYTES,
        relay::{Message, Progress, Reply},
    },
};

/// Smaller groups of shards are queried directly, because the additional hop would cost more than it saves.
const MIN_DELEGATED_SHARDS: usize = 3;

/// Queries for more records than this are not delegated, because a response must fit into a frame with a large margin.
const MAX_DELEGATED_RECORDS: usize = MAX_FRAME_BYTES / RECORD_BYTES / 2;

/// Time for merging and scheduling on a busy delegate. The delegate's soft deadline is earlier by this time and half a
/// round trip.
const DELEGATE_OVERHEAD: Duration = Duration::from_millis(3);

/// What happened to a delegated group.
pub(super) enum DelegateEvent {
    /// Some of the shards have ended.
    Progress(Progress),
    /// The delegate did not take the shards. `may_have_run` tells whether it may nevertheless have sent each of them to
    /// a target.
    Rejected { may_have_run: bool },
    /// The delegate took the shards, but then its connection failed or its reply was invalid.
    Lost,
}

/// Shards of one request that are delegated to the same relay.
pub(super) struct DelegatedGroup {
    pub(super) shards: Vec<u16>,
    /// Number of shards that have not ended.
    pub(super) pending: usize,
    peer: Arc<Peer>,
    conn: Option<PeerConnection>,
    query: Arc<Query>,
}

impl Drop for DelegatedGroup {
    /// If the request has been answered or refused, sends `Detach`, so that exchanges still running at the delegate can
    /// finish. In all other cases closing the connection cancels the shards.
    fn drop(&mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        if self.query.detach.is_set() {
            tokio::spawn(async move {
                if let Err(err) = conn.send(&Message::Detach).await {
                    log::debug!("event=delegate_closed cause={err:?}");
                }
            });
        }
    }
}

/// Splits the shards of a request that are not held back into those that this relay queries itself and groups to delegate.
/// Nothing is delegated if the route is not served from this region or the results would be too large.
pub(super) fn partition(
    host: &Host,
    query: &Arc<Query>,
    shards: &Shards,
    pass: &Pass,
) -> (Vec<ServiceKey>, Vec<DelegatedGroup>) {
    let route = query.route();
    let homes = query.homes();
    let is_home_region = homes.is_empty() || homes.iter().any(|it| it == host.cfg.own_region());
    if shards.top > MAX_DELEGATED_RECORDS || !is_home_region {
        let open = route.services.iter().copied().filter(|it| !pass.holds(*it));
        return (open.collect(), Vec::new());
    }
    let mut direct = Vec::new();
    let mut by_zone: BTreeMap<&str, Vec<u16>> = BTreeMap::new();
    for (at, key) in (0..).zip(&route.services).filter(|(_, it)| !pass.holds(**it)) {
        match &query.view.service(*key).delegate_zone {
            Some(zone) => by_zone.entry(zone).or_default().push(at),
            None => direct.push(*key),
        }
    }
    let mut groups = Vec::new();
    for (zone, shards) in by_zone {
        let peer = if shards.len() < MIN_DELEGATED_SHARDS {
            None
        } else {
            pick_delegate(host, query, zone)
        };
        match peer {
            Some(peer) => groups.push(DelegatedGroup::new(query, peer, shards)),
            None => direct.extend(shards.iter().map(|it| route.services[usize::from(*it)])),
        }
    }
    (direct, groups)
}

/// Picks one of the relays in this zone that callers use for the same host name, because its connections to the targets
/// are already in use. Suspended relays are skipped.
fn pick_delegate(host: &Host, query: &Query, zone: &str) -> Option<Arc<Peer>> {
    let route = query.route();
    let count = query.view.hosts_wanted(route.services.iter());
    let nodes = query.view.hosts_for(&route.config.host, zone, count);
    let peers: Vec<_> = nodes.iter().map(|it| host.peers.get(it.rpc)).collect();
    let available: Vec<_> = peers.iter().filter(|it| !it.is_suspended()).collect();
    available.choose(&mut rand::rng()).map(|it| (**it).clone())
}

impl DelegatedGroup {
    fn new(query: &Arc<Query>, peer: Arc<Peer>, shards: Vec<u16>) -> Self {
        Self { pending: shards.len(), shards, peer, conn: None, query: query.clone() }
    }

    /// Sends the delegation when called for the first time, then waits for the next message of the delegate.
    pub(super) async fn next_event(mut self, host: &Host) -> (Self, DelegateEvent) {
        let event = match self.conn.take() {
            None => match self.send_delegation(host).await {
                Ok(conn) => self.receive(conn).await,
                Err(rejected) => rejected,
            },
            Some(conn) => self.receive(conn).await,
        };
        (self, event)
    }

    async fn send_delegation(&self, host: &Host) -> Result<PeerConnection, DelegateEvent> {
        let peer = &self.peer;
        let mut conn = match peer.connection().await {
            Ok(conn) => conn,
            Err(err) => return Err(self.on_rejected(host, &err.to_string(), false)),
        };
        let soft_deadline = self.query.soft_deadline - peer.round_trip() / 2 - DELEGATE_OVERHEAD;
        let message = self.query.delegation(&host.cfg.headers, self.shards.clone(), soft_deadline);
        let accepted = async {
            conn.send(&message).await?;
            conn.receive().await
        };
        match timeout(ACCEPT_TIMEOUT + peer.round_trip(), accepted).await {
            Ok(Ok(Reply::Accepted)) => Ok(conn),
            Ok(Ok(Reply::Refused(cause))) => {
                peer.put_idle(conn);
                self.log("refused", &cause);
                host.metrics.delegations.with_label_values(&["refused"]).inc();
                Err(DelegateEvent::Rejected { may_have_run: false })
            }
            Ok(Ok(_)) => Err(self.on_rejected(host, "reply out of order", true)),
            Ok(Err(err)) => Err(self.on_rejected(host, &err.to_string(), true)),
            Err(_) => Err(self.on_rejected(host, "delegation not accepted in time", true)),
        }
    }

    async fn receive(&mut self, mut conn: PeerConnection) -> DelegateEvent {
        match conn.receive().await {
            Ok(Reply::Progress(progress)) if progress.ended() <= self.pending => {
                self.pending -= progress.ended();
                if self.pending == 0 {
                    self.peer.put_idle(conn);
                } else {
                    self.conn = Some(conn);
                }
                DelegateEvent::Progress(progress)
            }
            Ok(_) => self.on_lost("reply out of order"),
            Err(err) => self.on_lost(&err.to_string()),
        }
    }

    fn on_rejected(&self, host: &Host, cause: &str, may_have_run: bool) -> DelegateEvent {
        self.peer.suspend(cause);
        self.log("rejected", cause);
        host.metrics.delegations.with_label_values(&["rejected"]).inc();
        DelegateEvent::Rejected { may_have_run }
    }

    fn on_lost(&self, cause: &str) -> DelegateEvent {
        self.peer.suspend(cause);
        self.log("lost", cause);
        DelegateEvent::Lost
    }

    fn log(&self, outcome: &str, cause: &str) {
        log::info!(
            "event=delegation_failed request={} peer={} outcome={outcome} cause={cause:?} shards={} version={} waited_ms={}",
            self.query.id(),
            self.peer.addr,
            self.pending,
            self.query.view.table.version,
            self.query.arrived.elapsed().as_millis()
        );
    }
}

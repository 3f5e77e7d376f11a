//! Adds this control host to the cluster: it joins an existing cluster as a learner or bootstraps a new one. It joins
//! again when its name, zone or address changes.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;

use crate::{
    control::{
        driver::Input,
        host::{ClusterStatus, Host},
    },
    error::Result,
    settings::Role,
    wire::control::{Identity, JoinReply, ServiceClient},
};

/// Timeout of a call to another control host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two checks of the membership.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps the membership entry of this host up to date, as long as the process runs.
pub async fn run(host: Arc<Host>) {
    loop {
        let cluster_status = host.cluster_status();
        if !is_up_to_date(&host, &cluster_status) {
            let _ = join(&host, &cluster_status).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Whether a leader is known and the membership has this host with its current name, zone and address.
fn is_up_to_date(host: &Host, cluster_status: &ClusterStatus) -> bool {
    let own = cluster_status.membership.members.get(&host.id);
    let cfg = &host.cfg;
    cluster_status.leader.is_some()
        && own.is_some_and(|it| {
            (&it.name, &it.zone, it.rpc) == (&cfg.name, &cfg.zone, cfg.listen_rpc)
        })
}

/// Asks the configured peers and the known members for their identity. If one of them belongs to a cluster, joins
/// through it; otherwise bootstraps a new cluster if this host is the one to do so.
async fn join(host: &Host, cluster_status: &ClusterStatus) -> Result<()> {
    let own_addr = host.cfg.listen_rpc;
    let known = cluster_status.membership.members.values().map(|it| it.rpc);
    let mut addrs: BTreeSet<_> = host.cfg.peers.iter().copied().chain(known).collect();
    addrs.remove(&own_addr);
    let answers = join_all(addrs.iter().map(|addr| fetch_identity(host, *addr))).await;
    let found: Vec<_> = answers.into_iter().flatten().collect();
    if let Some(member) = found.iter().find(|it| it.cluster.is_some()) {
        return request_join(host, member.rpc).await;
    }
    if cluster_status.cluster.is_none() && should_bootstrap(host, found.len(), addrs.len()) {
        let first_voters = found.into_iter().chain([host.identity()]).collect();
        host.call_driver(|tx| Input::Bootstrap(first_voters, tx)).await?;
    }
    Ok(())
}

/// Bootstrap needs a response from all configured peers that none of them belongs to a cluster. Only the voter with the
/// lowest address bootstraps, so that no second cluster is created.
fn should_bootstrap(host: &Host, unassigned: usize, contacted: usize) -> bool {
    let lowest_address = host.cfg.peers.iter().min() == Some(&host.cfg.listen_rpc);
    host.cfg.role == Role::Voter && lowest_address && unassigned == contacted
}

async fn fetch_identity(host: &Host, addr: SocketAddr) -> Option<Identity> {
    let call = async |client: &ServiceClient, context| client.identity(context).await;
    host.peers.get(addr).call(CALL_TIMEOUT, call).await.ok()
}

/// Asks the member at `addr` to add this host, and the leader if that member names it.
async fn request_join(host: &Host, addr: SocketAddr) -> Result<()> {
    let identity = host.identity();
    let send = async |addr: SocketAddr| {
        let call =
            async |client: &ServiceClient, context| client.join(context, identity.clone()).await;
        host.peers.get(addr).call(CALL_TIMEOUT, call).await
    };
    if let JoinReply::Redirect(leader) = send(addr).await? {
        send(leader).await?;
    }
    Ok(())
}

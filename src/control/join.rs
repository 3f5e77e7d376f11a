//! How a control host becomes a member: first start of the cluster, or entry into an existing one.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;

use crate::{
    control::{
        driver::Input,
        host::{ClusterStatus, Host},
    },
    error::Result,
    settings::Role,
    wire::control::{Identity, Joined, ServiceClient},
};

/// How long another host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps this host a member with its present address, as long as the process runs.
pub async fn run(host: Arc<Host>) {
    loop {
        let cluster_status = host.cluster_status();
        if !is_up_to_date(&host, &cluster_status) {
            let _ = join(&host, &cluster_status).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Whether the host hears a leader and the membership shows it as it is.
fn is_up_to_date(host: &Host, cluster_status: &ClusterStatus) -> bool {
    let own = cluster_status.membership.members.get(&host.id);
    let cfg = &host.cfg;
    cluster_status.leader.is_some()
        && own.is_some_and(|it| {
            (&it.name, &it.zone, it.rpc) == (&cfg.name, &cfg.zone, cfg.listen_rpc)
        })
}

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

/// All first voters must be unassigned. One of them starts the cluster, so that there is only one.
fn should_bootstrap(host: &Host, unassigned: usize, contacted: usize) -> bool {
    let lowest_address = host.cfg.peers.iter().min() == Some(&host.cfg.listen_rpc);
    host.cfg.role == Role::Voter && lowest_address && unassigned == contacted
}

async fn fetch_identity(host: &Host, addr: SocketAddr) -> Option<Identity> {
    let call = async |client: &ServiceClient, context| client.identity(context).await;
    host.peers.get(addr).call(CALL_TIMEOUT, call).await.ok()
}

async fn request_join(host: &Host, addr: SocketAddr) -> Result<()> {
    let identity = host.identity();
    let send = async |addr: SocketAddr| {
        let call =
            async |client: &ServiceClient, context| client.join(context, identity.clone()).await;
        host.peers.get(addr).call(CALL_TIMEOUT, call).await
    };
    if let Joined::Ask(leader) = send(addr).await? {
        send(leader).await?;
    }
    Ok(())
}

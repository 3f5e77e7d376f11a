//! How a control host becomes a member: first start of the cluster, or entry into an existing one.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;

use crate::{
    control::{
        driver::Input,
        host::{Host, Standing},
    },
    error::Result,
    settings::Role,
    wire::control::{Identity, JoinReply, ServiceClient},
};

/// How long another host may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The pause between attempts.
const PAUSE: Duration = Duration::from_millis(200);

/// Keeps this host a member with its present address, as long as the process runs.
pub async fn run(host: Arc<Host>) {
    loop {
        let standing = host.standing();
        if !settled(&host, &standing) {
            let _ = join(&host, &standing).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Whether the host hears a leader and the membership shows it as it is.
fn settled(host: &Host, standing: &Standing) -> bool {
    let own = standing.membership.members.get(&host.id);
    let cfg = &host.cfg;
    standing.leader.is_some()
        && own.is_some_and(|it| {
            (&it.name, &it.zone, it.rpc) == (&cfg.name, &cfg.zone, cfg.listen_rpc)
        })
}

async fn join(host: &Host, standing: &Standing) -> Result<()> {
    let own = host.cfg.listen_rpc;
    let known = standing.membership.members.values().map(|it| it.rpc);
    let mut addrs: BTreeSet<_> = host.cfg.peers.iter().copied().chain(known).collect();
    addrs.remove(&own);
    let answers = join_all(addrs.iter().map(|addr| identity(host, *addr))).await;
    let found: Vec<_> = answers.into_iter().flatten().collect();
    if let Some(member) = found.iter().find(|it| it.cluster.is_some()) {
        return enter(host, member.rpc).await;
    }
    if standing.cluster.is_none() && starts_cluster(host, found.len(), addrs.len()) {
        let first = found.into_iter().chain([host.identity()]).collect();
        host.ask(|tx| Input::Bootstrap(first, tx)).await?;
    }
    Ok(())
}

/// All first voters must be empty. One of them starts the cluster, so that there is only one.
fn starts_cluster(host: &Host, empty: usize, asked: usize) -> bool {
    let first = host.cfg.peers.iter().min() == Some(&host.cfg.listen_rpc);
    host.cfg.role == Role::Voter && first && empty == asked
}

async fn identity(host: &Host, addr: SocketAddr) -> Option<Identity> {
    let call = async |client: &ServiceClient, context| client.identity(context).await;
    host.peers.at(addr).call(CALL_TIMEOUT, call).await.ok()
}

async fn enter(host: &Host, addr: SocketAddr) -> Result<()> {
    let identity = host.identity();
    let ask = async |addr: SocketAddr| {
        let call =
            async |client: &ServiceClient, context| client.join(context, identity.clone()).await;
        host.peers.at(addr).call(CALL_TIMEOUT, call).await
    };
    if let JoinReply::Redirect(leader) = ask(addr).await? {
        ask(leader).await?;
    }
    Ok(())
}

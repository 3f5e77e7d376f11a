//! The canary phase: a request that this host has not seen succeed goes to one target first.

use std::{sync::Arc, time::Instant};

use crate::{
    entry::{drive, fan::Fan, host::Host, owners::Owners, query::Ask},
    error::{Error, Kind, Result},
    policy::{
        budget::{RetryRule, retry_rule},
        canary,
    },
    state::{TargetKey, View},
};

/// How many targets a request may crash before it is stopped.
const MAX_CRASHES: usize = 2;

/// How many targets are tried in all; the others refused the request before it ran.
const MAX_ATTEMPTS: usize = 4;

/// Sends the request to one target after another until one answers it.
pub(super) async fn run<O: Owners>(host: &Arc<Host<O>>, ask: &Ask, fan: &mut Fan<O>) -> Result<()> {
    let mut exposed = 0;
    let mut last = Kind::NoTarget;
    let order = order(host, ask, fan).into_iter().take(MAX_ATTEMPTS);
    for (position, (shard, target)) in order.enumerate() {
        // The first two targets may crash. No host sends the request to another one before a poll that began after the
        // last failure has shown that it is not blocked.
        if position >= MAX_CRASHES && !fresh(host, ask).await? {
            break;
        }
        host.check_lease()?;
        let Some(key) = host.view().target_key(&target) else { continue };
        let steps = fan.canary(shard, key);
        drive::run(host, fan, steps).await;
        let Some(kind) = fan.canary_failure(shard) else {
            host.policy.good(ask.fingerprint);
            return Ok(());
        };
        last = kind;
        match retry_rule(kind) {
            RetryRule::Free => {}
            RetryRule::Budgeted => {
                exposed += 1;
                host.policy.suspect(ask.fingerprint);
            }
            RetryRule::Never => break,
        }
        check(host, ask.fingerprint)?;
        if exposed >= MAX_CRASHES || Instant::now() >= ask.end {
            break;
        }
    }
    Err(Error::new(last, "no target answered the first sub-request of this new request"))
}

/// Fails if the request is blocked.
pub(super) fn check<O: Owners>(host: &Host<O>, fingerprint: u64) -> Result<()> {
    if !host.view().is_quarantined(fingerprint) {
        return Ok(());
    }
    host.policy.suspect(fingerprint);
    Err(Error::new(Kind::Quarantined, "the request has crashed targets"))
}

/// Waits for a poll that is sent from now on. Returns whether it was confirmed in time.
async fn fresh<O: Owners>(host: &Host<O>, ask: &Ask) -> Result<bool> {
    let now = Instant::now();
    let mut confirmed = host.confirmed.subscribe();
    host.poll_now.notify_one();
    let wait = confirmed.wait_for(|it| it.is_some_and(|sent| sent > now));
    let confirmed = tokio::time::timeout_at(ask.end.into(), wait).await.is_ok();
    check(host, ask.fingerprint)?;
    Ok(confirmed)
}

/// The targets in the order in which they may run the canary, each with a shard that it holds.
fn order<O: Owners>(host: &Host<O>, ask: &Ask, fan: &Fan<O>) -> Vec<(u32, String)> {
    let view = host.view();
    let candidates = candidates(&view, ask, fan.shards().version());
    let names = candidates.iter().map(|(_, key)| (*key, view.target(*key).name.as_str()));
    let mut order = canary::target_order(ask.fingerprint, names);
    order.dedup();
    order
        .into_iter()
        .filter_map(|key| {
            let shard = candidates.iter().find(|(_, it)| *it == key)?.0;
            Some((shard, view.target(key).name.clone()))
        })
        .collect()
}

fn candidates(view: &View, ask: &Ask, version: u64) -> Vec<(u32, TargetKey)> {
    let group = view.group(&ask.group);
    let version = group.and_then(|it| it.versions.iter().find(|it| it.number == version));
    let shards = version.map_or(&[][..], |it| it.shards.as_slice());
    let replicas = shards
        .iter()
        .enumerate()
        .flat_map(|(i, replicas)| replicas.iter().map(move |it| (i as u32, *it)));
    replicas.filter(|(_, it)| view.target(*it).usable).collect()
}

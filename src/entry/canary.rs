//! The canary of a query: a request that this host has not seen succeed goes to one target first. A request that
//! crashes targets thus crashes at most two of them before it is quarantined, instead of one replica of each shard.

use std::{sync::Arc, time::Instant};

use crate::{
    entry::{driver, fan_out::FanOut, host::Host, owners::Owners, query::QuerySpec},
    error::{Error, Kind, Result},
    policy::{
        budget::{RetryRule, retry_rule},
        canary,
    },
    state::{TargetKey, View},
};

/// How many targets a request may crash before it is rejected.
const MAX_CRASHES: usize = 2;

/// How many targets are tried in all, including those that refused the request before it ran.
const MAX_ATTEMPTS: usize = 4;

/// Sends the request to one target after another until one answers it. Fails if none does.
pub(super) async fn run<O: Owners>(
    host: &Arc<Host<O>>,
    spec: &QuerySpec,
    fan_out: &mut FanOut<O>,
) -> Result<()> {
    let mut possible_crashes = 0;
    let mut last_kind = Kind::NoTarget;
    let order = canary_order(host, spec, fan_out).into_iter().take(MAX_ATTEMPTS);
    for (position, (shard, target)) in order.enumerate() {
        // The request may crash its first two targets. Before it goes to a third one, a poll that began after the last
        // failure has to confirm that it is not quarantined, since other hosts may have seen it crash targets too.
        if position >= MAX_CRASHES && !wait_for_new_poll(host, spec).await? {
            break;
        }
        host.check_lease()?;
        let Some(key) = host.view().target_key(&target) else { continue };
        let requests = fan_out.send_canary(shard, key);
        driver::run(host, fan_out, requests).await;
        let Some(kind) = fan_out.canary_failure(shard) else {
            host.policy.mark_known_good(spec.fingerprint);
            return Ok(());
        };
        last_kind = kind;
        match retry_rule(kind) {
            RetryRule::Free => {}
            RetryRule::Budgeted => {
                possible_crashes += 1;
                host.policy.clear_known_good(spec.fingerprint);
            }
            RetryRule::Never => break,
        }
        check_quarantine(host, spec.fingerprint)?;
        if possible_crashes >= MAX_CRASHES || Instant::now() >= spec.deadline {
            break;
        }
    }
    Err(Error::new(last_kind, "no target answered the canary of this request"))
}

/// Fails if the request is quarantined.
pub(super) fn check_quarantine<O: Owners>(host: &Host<O>, fingerprint: u64) -> Result<()> {
    if !host.view().is_quarantined(fingerprint) {
        return Ok(());
    }
    host.policy.clear_known_good(fingerprint);
    Err(Error::new(Kind::Quarantined, "the request is quarantined: it has crashed targets"))
}

/// Triggers a poll and waits until one that was sent after this call is confirmed. Returns whether that happened before
/// the deadline. Fails if the request is quarantined by then.
async fn wait_for_new_poll<O: Owners>(host: &Host<O>, spec: &QuerySpec) -> Result<bool> {
    let now = Instant::now();
    let mut confirmed = host.last_confirmed_poll.subscribe();
    host.poll_now.notify_one();
    let wait = confirmed.wait_for(|it| it.is_some_and(|sent| sent > now));
    let confirmed = tokio::time::timeout_at(spec.deadline.into(), wait).await.is_ok();
    check_quarantine(host, spec.fingerprint)?;
    Ok(confirmed)
}

/// The targets in the order in which they are tried, each with a shard that it holds. The order depends only on the
/// fingerprint and the configuration, so that all hosts send the canary to the same targets.
fn canary_order<O: Owners>(
    host: &Host<O>,
    spec: &QuerySpec,
    fan_out: &FanOut<O>,
) -> Vec<(u32, String)> {
    let view = host.view();
    let candidates = candidates(&view, spec, fan_out.shards().version());
    let names = candidates.iter().map(|(_, key)| (*key, view.target(*key).name.as_str()));
    let mut order = canary::target_order(spec.fingerprint, names);
    order.dedup();
    order
        .into_iter()
        .filter_map(|key| {
            let shard = candidates.iter().find(|(_, it)| *it == key)?.0;
            Some((shard, view.target(key).name.clone()))
        })
        .collect()
}

/// All usable targets of an index version, with a shard that each one holds.
fn candidates(view: &View, spec: &QuerySpec, version: u64) -> Vec<(u32, TargetKey)> {
    let group = view.group(&spec.group);
    let version = group.and_then(|it| it.versions.iter().find(|it| it.number == version));
    let shards = version.map_or(&[][..], |it| it.shards.as_slice());
    let replicas = shards
        .iter()
        .enumerate()
        .flat_map(|(i, replicas)| replicas.iter().map(move |it| (i as u32, *it)));
    replicas.filter(|(_, it)| view.target(*it).usable).collect()
}

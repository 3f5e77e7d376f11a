//! Targets announce themselves and renew the announcement.

use std::time::{Duration, Instant};

use crate::{
    entry::{
        host::Host,
        owners::{Owners, Peer},
    },
    error::{Error, Kind, Result},
    event::{Event, Kind as EventKind},
    state::{Change, Reply, Revision, Target, View},
    wire::target::{Announced, Announcement},
};

/// How often a target renews its announcement, in milliseconds.
const RENEW_MS: u64 = 1_000;

/// How long the commit of an announcement may take. The target announces again each second.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long to wait until the committed announcement is in force here, so that the answer names its owner.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the revision in force is looked at meanwhile.
const APPLY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Commits a new or changed announcement, passes it to the owner and names the owner.
pub(super) async fn run<O: Owners>(
    host: &Host<O>,
    announcement: Announcement,
) -> Result<Announced> {
    host.check_lease()?;
    let target = &announcement.target;
    if host.current().config.targets.get(&target.name) != Some(target) {
        let revision = commit(host, target).await?;
        wait_in_force(host, revision).await;
    }
    let view = host.view();
    let Ok(owner) = Host::<O>::owner_of(&view, &target.name) else {
        return Ok(Announced { owner: None, renew_ms: RENEW_MS });
    };
    forward_renewal(host, &owner, announcement).await?;
    Ok(Announced { owner: http_address(&view, &owner), renew_ms: RENEW_MS })
}

async fn commit<O: Owners>(host: &Host<O>, target: &Target) -> Result<Revision> {
    let change = Change::PutTarget(target.clone());
    match host.context.control.submit(None, change, COMMIT_TIMEOUT).await? {
        Reply::Applied { revision } => {
            let cause = format!("{} with {} shards", target.phase, target.holdings.len());
            let event = Event::new(EventKind::TargetAnnounced, cause);
            host.record(event.target(&target.name).zone(&target.zone));
            Ok(revision)
        }
        Reply::Rejected(err) => Err(err),
        other => Err(Error::new(Kind::Internal, format!("the control hosts answer {other:?}"))),
    }
}

async fn wait_in_force<O: Owners>(host: &Host<O>, revision: Revision) {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    while host.view().revision < revision && Instant::now() < deadline {
        tokio::time::sleep(APPLY_CHECK_INTERVAL).await;
    }
}

/// Passes the announcement to the owner. An owner that disowns the target is about to change, and the next renewal
/// finds the new one; the target need not know.
async fn forward_renewal<O: Owners>(
    host: &Host<O>,
    owner: &Peer,
    announcement: Announcement,
) -> Result<()> {
    match host.owners.renew(owner, announcement).await {
        Err(err) if err.kind == Kind::BadRequest => Err(err),
        Err(err) => {
            log::debug!("action=renew owner={} result={err:?}", owner.name);
            Ok(())
        }
        Ok(()) => Ok(()),
    }
}

fn http_address(view: &View, owner: &Peer) -> Option<std::net::SocketAddr> {
    view.nodes().find(|(_, it)| it.name == owner.name).map(|(_, it)| it.http)
}

//! Announcements of targets. A target sends its announcement each second to any entry host. New or changed ones are
//! committed to the control state; renewals only go to the target's owner.

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

/// How often targets are told to renew their announcement, in milliseconds.
const RENEW_MS: u64 = 1_000;

/// How long the commit of an announcement may take. If it fails, the target sends the announcement again.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long to wait until this host has applied the committed announcement, so that the answer can name the owner.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// How often the applied revision is checked during that wait.
const APPLY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Commits the announcement if it is new or changed, forwards it to the target's owner and returns the owner's address.
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
        other => Err(Error::new(Kind::Internal, format!("unexpected reply: {other:?}"))),
    }
}

/// Waits until this host has applied the revision, at most [`APPLY_TIMEOUT`].
async fn wait_in_force<O: Owners>(host: &Host<O>, revision: Revision) {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    while host.view().revision < revision && Instant::now() < deadline {
        tokio::time::sleep(APPLY_CHECK_INTERVAL).await;
    }
}

/// Forwards the announcement to the owner. Errors other than a malformed announcement are only logged: if the ownership
/// is moving, the next renewal reaches the new owner.
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

//! Announcements of targets.

use gentianpass::{
    error::{Kind, Outcome},
    wire::target::{Announced, Announcement},
};

use crate::support::{Entry, Response, control, target, until};

async fn announce(entry: &Entry, announcement: &Announcement) -> Response {
    let body = serde_json::to_string(announcement).expect("json");
    entry.post("/v1/targets", "t", body).await
}

/// Guards against a new target that gets no owner, against renewals that are committed to the control state instead of
/// only going to the owner, and against an older process of a target that replaces a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn announce_and_renew() {
    let control = control(1, 1).await;
    let hosts = [Entry::start(&control, "entry-1").await, Entry::start(&control, "entry-2").await];
    let mut announcement = Announcement { target: target("new", 0, &[(2, 1)]), cold: true };
    let announced: Announced = announce(&hosts[0], &announcement).await.json();
    let owner = announced.owner.expect("owned");
    assert_eq!(announced.renew_ms, 1_000);
    let revision = control.tables(|it| it.config.revision);
    hosts[1].applied(&control).await;
    for host in [&hosts[0], &hosts[1], &hosts[0]] {
        assert_eq!(announce(host, &announcement).await.json::<Announced>().owner, Some(owner));
    }
    assert_eq!(control.tables(|it| it.config.revision), revision, "a renewal was committed");
    for host in &hosts {
        let renewals = host.owners.renewals();
        assert!(renewals.iter().all(|(_, it)| *it == announcement), "{renewals:?}");
    }
    let renewals = hosts.iter().map(|it| it.owners.renewals().len()).sum::<usize>();
    assert_eq!(renewals, 4);
    let owner_name = if owner == hosts[0].addr { "entry-1" } else { "entry-2" };
    assert_eq!(hosts[0].owners.renewals()[0].0.name, owner_name);

    announcement.target.incarnation = 0;
    let stale = announce(&hosts[0], &announcement).await;
    assert_eq!(stale.failure(), (Kind::Conflict, Outcome::NotRun));
    announcement.target.incarnation = 2;
    announcement.target.slots = 0;
    let invalid = announce(&hosts[0], &announcement).await;
    assert_eq!(invalid.failure(), (Kind::BadRequest, Outcome::NotRun));
}

/// Guards against an announcement that is accepted although it cannot be committed.
#[tokio::test(flavor = "multi_thread")]
async fn no_quorum() {
    let control = control(1, 1).await;
    let entry = Entry::start(&control, "entry-1").await;
    control.set_silent(true);
    let announcement = Announcement { target: target("new", 0, &[(1, 1)]), cold: false };
    let (kind, _) = announce(&entry, &announcement).await.failure();
    assert!(matches!(kind, Kind::NoQuorum | Kind::NoLease), "{kind}");
    control.set_silent(false);
    until("accepted", async || announce(&entry, &announcement).await.status == 200).await;
}

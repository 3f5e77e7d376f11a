//! What a relay concludes from what other control hosts hold than the one that answers its polls.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use futures::StreamExt;
use gentianpass::{
    error::Error,
    relay::{Ahead, Own, Verdict, compare},
    state::{Config, Reply},
    wire::control::{MemberEndpoint, Poll, Submit, Update},
};
use tarpc::{
    context::Context,
    serde_transport::tcp,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::time::sleep;

use crate::{
    fake_control::{Answer, FakeControl, config, standing_of, whole},
    follow::{CONFIG_AGE_MS, metric, route, wait_for_route},
    support::Harness,
};

const MS: Duration = Duration::from_millis(1);

/// Time for two comparisons and the polls that follow them.
const CORRECTED_WITHIN: Duration = Duration::from_secs(8);

/// Guards against a copy that differs from what the control hosts hold under the same revision, which no poll shows.
#[test]
fn compare_other_content() {
    let now = Instant::now();
    let theirs = standing_of(&config(5, 1, vec![route("/theirs/")]));
    let own = |revision, digest| Own { revision, digest, confirmed_at: Some(now) };
    let verdict = |own: &Own| compare(own, &theirs, None, now).0;
    assert_eq!(verdict(&own(5, theirs.digest ^ 1)), Verdict::Diverged);
    assert_eq!(verdict(&own(5, theirs.digest)), Verdict::Consistent);
    assert_eq!(verdict(&own(6, theirs.digest ^ 1)), Verdict::Consistent, "they are behind");
}

/// Guards against a relay whose polls are answered with an old configuration for seconds: replays one that holds revision 5
/// while another control host goes on from 7.
#[test]
fn compare_newer_revision() {
    let start = Instant::now();
    let at = |ms: u32| start + MS * ms;
    let theirs = |revision| standing_of(&config(revision, 1, Vec::new()));
    let own = |revision, confirmed_ms| {
        let confirmed_at = Some(at(confirmed_ms));
        Own { revision, digest: 0, confirmed_at }
    };
    let (verdict, ahead) = compare(&own(5, 0), &theirs(7), None, at(10));
    assert_eq!((verdict, ahead), (Verdict::Consistent, Some(Ahead { revision: 7, since: at(10) })));
    let compare_at = |own: &Own, revision, ms| compare(own, &theirs(revision), ahead, at(ms));
    assert_eq!(compare_at(&own(5, 1_990), 9, 2_010), (Verdict::Behind, ahead));
    assert_eq!(compare_at(&own(5, 1_000), 9, 1_200).0, Verdict::Consistent, "not long enough");
    assert_eq!(compare_at(&own(5, 5), 9, 2_010).0, Verdict::Consistent, "no poll was answered");
    assert_eq!(compare_at(&own(7, 1_990), 7, 2_010).1, None, "it has caught up");
    let newer = Some(Ahead { revision: 9, since: at(2_010) });
    assert_eq!(compare_at(&own(7, 1_990), 9, 2_010), (Verdict::Consistent, newer));
}

/// Guards against a relay that serves other content than the control hosts for ever, because the revision is the same.
#[tokio::test]
async fn other_content_replaced() {
    let own = config(5, 1, vec![route("/own/")]);
    let theirs = config(5, 1, vec![route("/theirs/")]);
    let script = move |poll: &Poll| match poll.revision {
        0 => whole(&own),
        5 => Answer::Unchanged,
        _ => whole(&theirs),
    };
    let theirs = config(5, 1, vec![route("/theirs/")]);
    let (first, first_addr) = FakeControl::start(script.clone()).await;
    let (second, second_addr) = FakeControl::start(script).await;
    first.set_standing(&theirs);
    second.set_standing(&theirs);
    let harness = Harness::start_with(|it| it.control = vec![first_addr, second_addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    assert!(wait_for_route(&harness, "/own/", CORRECTED_WITHIN).await);
    assert!(wait_for_route(&harness, "/theirs/", CORRECTED_WITHIN).await, "other content kept");
    let faults = "gentianpass_relay_config_faults_total{fault=\"diverged\"}";
    assert_eq!(metric(&harness, faults), Some(1));
}

/// Guards against a relay that stays with a control host which answers polls with an old configuration.
#[tokio::test]
async fn newer_revision_changes_host() {
    let old = config(5, 1, vec![route("/old/")]);
    let new = config(7, 2, vec![route("/new/")]);
    let serve = |config: Config| {
        move |poll: &Poll| {
            if poll.revision == config.revision { Answer::Unchanged } else { whole(&config) }
        }
    };
    let (stale, stale_addr) = FakeControl::start(serve(old.clone())).await;
    stale.set_standing(&old);
    let (current, current_addr) = FakeControl::start(|_| Answer::Silent).await;
    current.set_standing(&new);
    let harness = Harness::start_with(|it| it.control = vec![stale_addr, current_addr]).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    current.set_script(serve(new));
    assert!(wait_for_route(&harness, "/new/", CORRECTED_WITHIN).await, "still behind");
    let faults = "gentianpass_relay_config_faults_total{fault=\"behind\"}";
    assert_eq!(metric(&harness, faults), Some(1));
}

/// The calls of relays to a control host of the last release. Those to other control hosts are left out.
#[tarpc::service]
trait LastRelease {
    async fn poll(poll: Poll) -> Result<Update, Error>;
    async fn submit(submit: Submit) -> Result<Reply, Error>;
    async fn members() -> Vec<MemberEndpoint>;
}

#[derive(Clone)]
struct LastReleaseHost(Arc<Config>);

impl LastRelease for LastReleaseHost {
    async fn poll(self, _: Context, poll: Poll) -> Result<Update, Error> {
        if poll.revision == self.0.revision {
            sleep(MS * poll.wait_ms as u32).await;
            return Ok(Update::Changes(Vec::new()));
        }
        Ok(Update::Config(Box::new((*self.0).clone())))
    }

    async fn submit(self, _: Context, _: Submit) -> Result<Reply, Error> {
        Ok(Reply::Applied { revision: 0 })
    }

    async fn members(self, _: Context) -> Vec<MemberEndpoint> {
        Vec::new()
    }
}

/// Guards against a relay whose polls fail beside control hosts of the last release: they close the connection at a
/// request that they do not know, and log it, so they are not asked again at once.
#[tokio::test]
async fn last_release_harmless() {
    let errors = Arc::new(AtomicUsize::new(0));
    let held = Arc::new(config(5, 1, vec![route("/old/")]));
    let mut addrs = Vec::new();
    for _ in 0..2 {
        let mut listener = tcp::listen("127.0.0.1:0", Bincode::default).await.unwrap();
        addrs.push(listener.local_addr());
        let (errors, host) = (errors.clone(), LastReleaseHost(held.clone()));
        tokio::spawn(async move {
            while let Some(Ok(transport)) = listener.next().await {
                let (errors, host) = (errors.clone(), host.clone());
                tokio::spawn(async move {
                    let mut requests = Box::pin(BaseChannel::with_defaults(transport).requests());
                    while let Some(request) = requests.next().await {
                        let Ok(request) = request else {
                            errors.fetch_add(1, Ordering::SeqCst);
                            return;
                        };
                        tokio::spawn(request.execute(host.clone().serve()));
                    }
                });
            }
        });
    }
    let harness = Harness::start_with(|it| it.control = addrs).await;
    harness.wait_until(|| harness.relay.is_ready()).await;
    sleep(MS * 7_000).await;
    assert_eq!(errors.load(Ordering::SeqCst), 1, "requests that they do not know");
    let failed = "gentianpass_relay_polls_total{result=\"failed\"}";
    // The counter is read, and so exists, before the first poll has failed.
    assert_eq!(metric(&harness, failed).unwrap_or(0), 0);
    assert!(metric(&harness, CONFIG_AGE_MS).is_some_and(|it| it < 2_500));
}

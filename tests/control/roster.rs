//! What control hosts tell of the processes that poll them: the decision, and the log lines of real processes.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use gentianpass::{
    control::roster::{
        Answer, CEASED_AFTER, CHECK_INTERVAL, FOLLOWS_AFTER, Findings, MAX_NAMED, Roster,
    },
    error::Kind,
    state::{Change, Node, Revision},
    wire::control::ProcessId,
};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    cluster::{Cluster, poll, submit, wait_until},
    failures::node,
};

fn process(name: &str) -> ProcessId {
    ProcessId { process_name: name.into(), incarnation: 1 }
}

fn nodes<'a>(names: impl IntoIterator<Item = &'a str>) -> BTreeMap<String, Node> {
    names.into_iter().map(|it| (it.to_owned(), node(it))).collect()
}

/// Records a poll that is answered at once.
fn record_poll(roster: &mut Roster, name: &str, revision: Revision, now: Instant) {
    roster.begin_poll(&process(name), revision, now);
    roster.end_poll(&process(name), now, Answer::Unchanged, None, now);
}

fn names_behind(found: &Findings) -> Vec<&str> {
    found.behind.iter().map(|it| it.entry.process.process_name.as_str()).collect()
}

/// Guards against a relay that goes by an old revision while no other host says so, and against lines about relays that
/// follow, or one at each poll.
#[test]
fn check_relay_with_old_revision() {
    let start = Instant::now();
    let ms = |it| start + Duration::from_millis(it);
    let mut roster = Roster::default();
    let nodes = nodes(["current", "stale"]);
    let mut named = Vec::new();
    for at in (0..10_000).step_by(100) {
        // A revision each 700 ms.
        let newest = 5 + at / 700;
        roster.record_revision(newest, ms(at));
        record_poll(&mut roster, "current", newest - u64::from(at % 700 == 0), ms(at));
        record_poll(&mut roster, "stale", 5, ms(at));
        if at % 1_000 != 900 {
            continue;
        }
        let found = roster.check(&nodes, ms(at));
        assert_eq!((found.newest, found.polling), (newest, 2), "at {at}");
        assert!(found.ceased.is_empty() && found.refused.is_empty(), "{found:?}");
        assert_eq!(found.behind.len(), found.behind_count);
        for it in &found.behind {
            assert_eq!((it.revision, it.outdated_for), (5, Duration::from_millis(at - 700)));
        }
        named.extend(names_behind(&found).iter().map(|it| (it.to_string(), at)));
    }
    let expected: Vec<_> = (1..10).map(|it| ("stale".to_owned(), it * 1_000 + 900)).collect();
    assert_eq!(named, expected);
}

/// Guards against a relay that was behind for seconds and is not named because its next poll, before the check, had the
/// newest revision.
#[test]
fn check_single_late_poll() {
    let start = Instant::now();
    let ms = |it| start + Duration::from_millis(it);
    let mut roster = Roster::default();
    roster.record_revision(7, start);
    roster.record_revision(8, ms(1_000));
    record_poll(&mut roster, "relay", 7, ms(6_000));
    record_poll(&mut roster, "relay", 8, ms(6_010));
    let found = roster.check(&nodes(["relay"]), ms(6_500));
    let [late] = found.behind.as_slice() else { panic!("{found:?}") };
    assert_eq!((late.revision, late.entry.revision, found.behind_count), (7, 8, 0));
    assert_eq!(late.outdated_for, Duration::from_secs(5));
    assert!(roster.check(&nodes(["relay"]), ms(7_500)).behind.is_empty());
}

/// Guards against a line for each relay that starts, or asks for the whole configuration once, and against none for one
/// that asks for it for ever.
#[test]
fn check_relay_without_revision() {
    for revision in [0, Revision::MAX] {
        let start = Instant::now();
        let ms = |it| start + Duration::from_millis(it);
        let mut roster = Roster::default();
        roster.record_revision(9, start);
        let nodes = nodes(["relay"]);
        record_poll(&mut roster, "relay", revision, ms(60_000));
        record_poll(&mut roster, "relay", 9, ms(60_010));
        assert!(roster.check(&nodes, ms(60_500)).behind.is_empty());
        for at in (61_000..63_000).step_by(100) {
            record_poll(&mut roster, "relay", revision, ms(at));
        }
        let found = roster.check(&nodes, ms(63_000));
        assert_eq!(names_behind(&found), ["relay"], "revision {revision}");
    }
}

/// Guards against a relay that no longer polls without a line about its last poll, against repetitions of it, and against
/// lines about relays that have stopped as planned, were replaced, are not registered, or polled here in passing.
#[test]
fn check_ceased_polls() {
    let began = Instant::now();
    let start = began + FOLLOWS_AFTER;
    let mut roster = Roster::default();
    roster.record_revision(3, start);
    let names = ["ceased", "leaving", "replaced", "held", "removed", "passing"];
    let mut nodes = nodes(names);
    nodes.get_mut("leaving").expect("node").leaving = true;
    for name in names.into_iter().chain(["unknown"]) {
        for ms in (0..FOLLOWS_AFTER.as_millis() as u64).step_by(1_000) {
            if name != "passing" {
                record_poll(&mut roster, name, 3, began + Duration::from_millis(ms));
            }
        }
        roster.connect(&process(name), start);
        roster.begin_poll(&process(name), 3, start);
        if name != "held" {
            let answer = Answer::Failed(Kind::NoQuorum);
            roster.end_poll(&process(name), start, answer, None, start);
        }
    }
    assert!(roster.check(&nodes, start).ceased.is_empty());
    nodes.get_mut("replaced").expect("node").incarnation = 2;
    nodes.remove("removed");
    let later = start + CEASED_AFTER;
    let found = roster.check(&nodes, later);
    let ceased: Vec<_> = found.ceased.iter().map(|it| it.process.process_name.as_str()).collect();
    assert_eq!(ceased, ["ceased", "removed"]);
    let entry = &found.ceased[0];
    assert_eq!((entry.polled_ago, entry.connections), (CEASED_AFTER, 1));
    assert_eq!(entry.answer.to_string(), "failed_no_quorum");
    assert_eq!(found.polling, 1, "the poll that is held");
    assert!(roster.check(&nodes, later + CHECK_INTERVAL).ceased.is_empty());
    let again = later + CHECK_INTERVAL;
    record_poll(&mut roster, "ceased", 3, again);
    let found = roster.check(&nodes, again + CEASED_AFTER);
    assert!(found.ceased.is_empty(), "a single poll: {found:?}");
    let again = again + CEASED_AFTER;
    for at in [again, again + FOLLOWS_AFTER / 2, again + FOLLOWS_AFTER] {
        record_poll(&mut roster, "ceased", 3, at);
    }
    let found = roster.check(&nodes, again + FOLLOWS_AFTER + CEASED_AFTER);
    assert_eq!(found.ceased.len(), 1, "{found:?}");
}

/// Guards against a log that is full of one fault of all relays, and against the same few relays in it each time.
#[test]
fn check_names_all_in_turn() {
    const RELAYS: usize = 25;
    let start = Instant::now();
    let mut roster = Roster::default();
    roster.record_revision(1, start);
    roster.record_revision(2, start);
    let names: Vec<_> = (0..RELAYS).map(|it| format!("relay-{it}")).collect();
    let nodes = nodes(names.iter().map(String::as_str));
    let mut named = Vec::new();
    let mut refused = 0;
    for round in 2..5 {
        let now = start + CHECK_INTERVAL * round;
        for name in &names {
            roster.begin_poll(&process(name), 1, now);
            let cause = Some("kind=no_quorum".to_owned());
            roster.end_poll(&process(name), now, Answer::Failed(Kind::NoQuorum), cause, now);
        }
        let found = roster.check(&nodes, now);
        assert_eq!((found.behind_count, found.refused_count), (RELAYS, RELAYS));
        assert!(found.behind.len() <= MAX_NAMED && found.refused.len() <= MAX_NAMED);
        refused += found.refused.iter().map(|it| it.count).sum::<u64>();
        named.extend(names_behind(&found).into_iter().map(str::to_owned));
    }
    named.sort();
    named.dedup();
    assert_eq!(named.len(), RELAYS);
    assert!(
        refused > 3 * MAX_NAMED as u64,
        "failed polls of relays that wait are counted: {refused}"
    );
}

/// Polls a control host for ever, with the newest revision, or always with the same one.
fn spawn_poller(
    cluster: &Cluster,
    host: usize,
    name: &'static str,
    fixed: Option<Revision>,
) -> JoinHandle<()> {
    let client = cluster.client(&[host]);
    tokio::spawn(async move {
        let mut config = gentianpass::state::Config::default();
        loop {
            let revision = fixed.unwrap_or(config.revision);
            match poll(&client, name, revision).await {
                Ok(update) if fixed.is_none() => {
                    gentianpass::control::apply_update(&mut config, update).expect("applicable");
                }
                Ok(_) => sleep(Duration::from_millis(20)).await,
                Err(_) => sleep(Duration::from_millis(100)).await,
            }
        }
    })
}

/// The lines of a host with this event and relay.
fn lines(cluster: &Cluster, host: usize, event: &str, relay: &str) -> Vec<String> {
    let (event, relay) = (format!("event={event} "), format!(" relay={relay} "));
    let log = cluster.log(host);
    let found = log.lines().filter(|it| it.contains(&event) && it.contains(&relay));
    found.map(str::to_owned).collect()
}

/// Guards against a relay that stops to follow, or follows nothing new, while the logs of all control hosts are silent
/// about it: the log of the relay itself may never be seen.
#[tokio::test(flavor = "multi_thread")]
async fn control_hosts_name_relay_that_stops_following() {
    let cluster = Cluster::start("node_expiry_ms = 20000");
    let leader = cluster.wait_for_leader(0).await;
    let host = (leader + 1) % 3;
    for name in ["current", "stale", "mute"] {
        submit(&cluster.client(&[host]), Change::PutNode(node(name))).await.expect("committed");
    }
    let _current = spawn_poller(&cluster, host, "current", None);
    let _stale = spawn_poller(&cluster, host, "stale", Some(2));
    let mute = spawn_poller(&cluster, host, "mute", None);
    let behind = wait_until("the stale relay is named", async || {
        let found = lines(&cluster, host, "relay_behind", "stale");
        (found.len() >= 2).then_some(found)
    })
    .await;
    for field in [" revision=2 newest=3 ", " answered=changes_to_3 ", " behind=1 polling=3"] {
        assert!(behind[0].contains(field), "{field} in {behind:?}");
    }
    sleep(FOLLOWS_AFTER).await;
    mute.abort();
    let stopped_at = Instant::now();
    let ceased = wait_until("the mute relay is named where it polled", async || {
        lines(&cluster, host, "polls_ceased", "mute").pop()
    })
    .await;
    assert!(ceased.contains(" revision=3 newest=3 "), "{ceased}");
    let silent = wait_until("the mute relay is named by the leader", async || {
        let found = lines(&cluster, leader, "relay_silent", "mute");
        (found.len() >= 3).then_some(found)
    })
    .await;
    let bound = stopped_at.elapsed().as_secs() as usize + 1;
    assert!(silent.len() <= bound, "{} lines in {bound} s", silent.len());
    for i in 0..3 {
        let named = ["relay_behind", "polls_ceased", "relay_silent"]
            .map(|event| lines(&cluster, i, event, "current").len());
        assert_eq!(named, [0; 3], "the relay that follows, at host {i}");
        assert!(lines(&cluster, i, "relay_silent", "stale").is_empty(), "host {i}");
        let ceased = lines(&cluster, i, "polls_ceased", "mute").len();
        assert_eq!(ceased, usize::from(i == host), "host {i}");
    }
    let metrics = cluster.metrics(host).await;
    for metric in [
        "gentianpass_control_followers_count{state=\"behind\"} 1",
        "gentianpass_control_followers_count{state=\"polling\"} 2",
        "gentianpass_control_followers_ceased_total 1",
    ] {
        assert!(metrics.contains(metric), "{metric} in {metrics}");
    }
    let metrics = cluster.metrics(leader).await;
    assert!(metrics.contains("gentianpass_control_followers_silent_count 1"), "{metrics}");
}

/// Guards against a control host that answers no poll and leaves no trace of it beside a number.
#[tokio::test(flavor = "multi_thread")]
async fn control_host_without_quorum_names_refused_relay() {
    let mut cluster = Cluster::start("");
    cluster.wait_for_leader(0).await;
    let _poller = spawn_poller(&cluster, 0, "relay", None);
    wait_until("the relay polls", async || {
        let metrics = cluster.metrics(0).await;
        metrics.contains("gentianpass_control_followers_count{state=\"polling\"} 1").then_some(())
    })
    .await;
    assert!(lines(&cluster, 0, "poll_refused", "relay").is_empty());
    cluster.kill(1);
    cluster.kill(2);
    let killed_at = Instant::now();
    let refused = wait_until("the refusals are logged", async || {
        let found = lines(&cluster, 0, "poll_refused", "relay");
        (found.len() >= 3).then_some(found)
    })
    .await;
    let bound = killed_at.elapsed().as_secs() as usize + 1;
    assert!(refused.len() <= bound, "{} lines in {bound} s", refused.len());
    let last = refused.last().expect("line");
    for field in
        [" kind=no_quorum ", " role=", " leader=", " applied=", " cause=", " via=control-0 "]
    {
        assert!(last.contains(field), "{field} in {last}");
    }
    let metrics = cluster.metrics(0).await;
    assert!(
        metrics.contains("gentianpass_control_polls_refused_total{kind=\"no_quorum\"}"),
        "{metrics}"
    );
}

//! Changes by operators: conflicts, resends under the same id, and rejected requests.

use std::{collections::BTreeMap, time::Duration};

use gentianpass::{
    error::Kind,
    route::{Kind as RouteKind, Limits, Route, Service, Table, To},
    state::{Change, Reply},
    wire::{MAX_BODY_BYTES, control::Update},
};
use hyper::Method;
use uuid::Uuid;

use crate::cluster::{Cluster, label_edit, label_value, poll, submit, wait_until};

/// Guards against two concurrent changes on the same base revision that are both accepted: one operator's change would
/// overwrite the other's unseen.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_conflict() {
    let cluster = Cluster::start("");
    for round in 0..5 {
        let base =
            cluster.wait_for_state(0, "the host serves reads", |_| true).await.operator_revision;
        let (a, b) = (format!("a-{round}"), format!("b-{round}"));
        let (first, second) = tokio::join!(
            cluster.change(1, Uuid::new_v4(), base, label_edit("caller", &a)),
            cluster.change(2, Uuid::new_v4(), base, label_edit("caller", &b)),
        );
        let mut statuses = [first.0, second.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{first:?} {second:?}");
        let (won, lost) = if first.0 == 200 { (a, second.1) } else { (b, first.1) };
        let state = cluster.state(0).await.expect("state");
        assert_eq!(label_value(&state, "caller"), Some(won));
        assert_eq!(lost["operator_revision"], state.operator_revision);
        assert_eq!(lost["error"], "conflict");
    }
}

/// Guards against a change that is applied twice because its first response was lost and the operator sent it again,
/// here to another host after the leader was killed.
#[tokio::test(flavor = "multi_thread")]
async fn resent_change_is_applied_once() {
    let mut cluster = Cluster::start("");
    let leader = cluster.wait_for_leader(0).await;
    let id = Uuid::new_v4();
    let first = cluster.change(leader, id, 0, label_edit("caller", "a")).await;
    assert_eq!(first.0, 200);
    let revision = first.1["revision"].as_u64().expect("revision");
    let next = cluster.change(0, Uuid::new_v4(), revision, label_edit("caller", "b")).await;
    assert_eq!(next.0, 200);
    cluster.kill(leader);
    let other = (leader + 1) % 3;
    let again = cluster.change(other, id, 0, label_edit("caller", "a")).await;
    assert_eq!(again, first);
    let state = cluster.state(other).await.expect("state");
    assert_eq!(
        (label_value(&state, "caller").as_deref(), state.revision),
        (Some("b"), revision + 1)
    );
}

/// Guards against requests that are served without the token, and against bodies that exhaust the memory.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected() {
    let cluster = Cluster::start("");
    cluster.wait_for_leader(0).await;
    let post = async |body: &str| cluster.http(0, Method::POST, "/v1/changes", body).await;
    let too_large = post(&" ".repeat(MAX_BODY_BYTES + 1)).await;
    assert_eq!((too_large.0, &too_large.1["error"]), (413, &"too_large".into()));
    for body in ["", "{}", "[1]", "{\"id\":\"x\",\"base\":0,\"edit\":{\"op\":\"drop\"}}"] {
        let refused = post(body).await;
        assert_eq!((refused.0, &refused.1["error"]), (400, &"bad_request".into()), "{body}");
    }
    let long = "x".repeat(200);
    let (status, body) = cluster.change(0, Uuid::new_v4(), 0, label_edit("caller", &long)).await;
    assert_eq!((status, &body["error"]), (400, &"bad_request".into()));
    let missing = cluster.http(0, Method::GET, "/v1/nothing", "").await;
    assert_eq!((missing.0, &missing.1["error"]), (404, &"not_found".into()));
    let plain = status_without_token(&cluster).await;
    assert_eq!(plain, 401);
}

async fn status_without_token(cluster: &Cluster) -> u16 {
    use http_body_util::Empty;
    use hyper::{Uri, body::Bytes};
    use hyper_util::{client::legacy, rt::TokioExecutor};
    let client = legacy::Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri: Uri = format!("http://{}/v1/state", cluster.hosts[0].http).parse().expect("uri");
    client.get(uri).await.expect("answer").status().as_u16()
}

/// A route table with one route. `document` is what the operator sent.
fn routes(version: u64, document: &str, timeout_ms: u64) -> Change {
    let route = Route {
        name: "r".into(),
        host: "labels.example".into(),
        prefix: "/r/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        public: false,
        to: To::Service("s".into()),
    };
    let services = BTreeMap::from([("s".to_owned(), Service::default())]);
    let (document, limits) = (document.to_owned(), Limits::default());
    Change::PutRoutes(Box::new(Table {
        version,
        document,
        routes: vec![route],
        services,
        limits,
        tenants: Vec::new(),
    }))
}

const DOCUMENT: &str = r#"{"version":7,"services":[{"name":"s","coldStartS":3}]}"#;

/// The same content in other forms: fields in another order, other spaces, numbers written in another way.
const OTHER_FORMS: [&str; 4] = [
    r#"{"services":[{"coldStartS":3,"name":"s"}],"version":7}"#,
    "{ \"version\" : 7,\n\"services\": [{\"name\":\"s\", \"coldStartS\":3}]}\n",
    r#"{"version":7,"services":[{"name":"s","coldStartS":3.0}]}"#,
    r#"{"version":7e0,"services":[{"name":"\u0073","coldStartS":0.3e1}]}"#,
];

/// Sends an order to a host under a new id.
async fn order(cluster: &Cluster, host: usize, change: &Change) -> Reply {
    submit(&cluster.client(&[host]), change.clone()).await.expect("reply")
}

/// Fails unless all hosts acknowledge the order in each form, and refuse other content of its version.
async fn assert_held(cluster: &Cluster, hosts: &[usize]) {
    for host in hosts {
        for form in [&[DOCUMENT], &OTHER_FORMS[..]].concat() {
            let reply = order(cluster, *host, &routes(7, form, 500)).await;
            assert!(matches!(reply, Reply::Applied { .. }), "host {host}, {form}: {reply:?}");
        }
        let other_field = DOCUMENT.replace(":3}", ":4}");
        for other in [routes(7, &other_field, 500), routes(7, DOCUMENT, 501)] {
            let reply = order(cluster, *host, &other).await;
            assert!(
                matches!(&reply, Reply::Rejected(it) if it.kind == Kind::Conflict),
                "{reply:?}"
            );
        }
        let full = poll(&cluster.client(&[*host]), "entry", u64::MAX).await.expect("answer");
        let Update::Config(full) = full else { panic!("{full:?}") };
        assert_eq!(full.routes.routes[0].timeout_ms, 500, "host {host}");
    }
}

/// Guards against an order that was acknowledged and is refused when it arrives again in another form, at any control
/// host, also after all have restarted; and against other content under its version that is acknowledged or obeyed.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_routes_are_acknowledged_again() {
    let mut cluster = Cluster::start("");
    cluster.wait_for_leader(0).await;
    let reply = order(&cluster, 0, &routes(7, DOCUMENT, 500)).await;
    assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    assert_held(&cluster, &[0, 1, 2]).await;
    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.spawn(i));
    cluster.wait_for_leader(0).await;
    assert_held(&cluster, &[0, 1, 2]).await;
}

/// Guards against an order that is lost after it was acknowledged, while no log tells which voters held it; and against a line
/// for each order in the log when a host starts.
#[tokio::test(flavor = "multi_thread")]
async fn committed_order_names_voters_that_hold_it() {
    let mut cluster = Cluster::start("");
    let leader = cluster.wait_for_leader(0).await;
    let (other, stopped) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.signal(stopped, "STOP");
    let reply = order(&cluster, other, &routes(7, DOCUMENT, 500)).await;
    let Reply::Applied { revision } = reply else { panic!("{reply:?}") };
    let lines = |cluster: &Cluster| -> Vec<String> {
        let logs = (0..3).map(|it| cluster.log(it)).collect::<String>();
        let found = logs.lines().filter(|it| it.contains("event=order_committed "));
        found.map(str::to_owned).collect()
    };
    let found = wait_until("the order is logged", async || {
        Some(lines(&cluster)).filter(|it| !it.is_empty())
    })
    .await;
    let mut names = [format!("control-{leader}"), format!("control-{other}")];
    names.sort();
    let [line] = found.as_slice() else { panic!("{found:?}") };
    let held_by = line.split_once(" held_by=").expect("voters").1.split(' ').next();
    let mut held_by: Vec<_> = held_by.expect("voters").split(',').collect();
    held_by.sort_unstable();
    assert_eq!(held_by, names, "{line}");
    let subject = format!(" order=routes version=7 revision={revision} ");
    assert!(line.contains(&subject) && line.contains(" voters=3 "), "{line}");
    let metric = "gentianpass_control_orders_committed_total{order=\"routes\"} 1";
    assert!(cluster.metrics(leader).await.contains(metric));
    (0..3).for_each(|i| cluster.kill(i));
    (0..3).for_each(|i| cluster.spawn(i));
    for host in 0..3 {
        let client = cluster.client(&[host]);
        wait_until("the host has the order again", async || {
            let Update::Config(full) = poll(&client, "entry", u64::MAX).await.ok()? else {
                return None;
            };
            (full.routes.version == 7).then_some(())
        })
        .await;
    }
    assert_eq!(lines(&cluster), found);
}

/// Guards against an order that is refused when it is sent again under another id because its acknowledgement was lost,
/// here together with the leader.
#[tokio::test(flavor = "multi_thread")]
async fn resent_routes_are_acknowledged_without_leader() {
    let mut cluster = Cluster::start("");
    let leader = cluster.wait_for_leader(0).await;
    let others = [(leader + 1) % 3, (leader + 2) % 3];
    let client = cluster.client(&[leader]);
    let first = submit(&client, routes(7, DOCUMENT, 500));
    // The order is abandoned soon after it was sent, with or without its acknowledgement.
    let _ = tokio::time::timeout(Duration::from_millis(20), first).await;
    cluster.kill(leader);
    let reply = order(&cluster, others[0], &routes(7, OTHER_FORMS[0], 500)).await;
    assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    assert_held(&cluster, &others).await;
}

/// Guards against two orders of one version at the same moment that are both acknowledged although their content differs,
/// and against an order that is refused because its own first copy is being committed.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_routes_of_one_version() {
    let cluster = Cluster::start("");
    cluster.wait_for_leader(0).await;
    for version in 1..=10 {
        let (even, odd) = (routes(version, DOCUMENT, 500), routes(version, DOCUMENT, 501));
        let again = routes(version, OTHER_FORMS[0], 500);
        let (first, other, second) = tokio::join!(
            order(&cluster, 0, &even),
            order(&cluster, 1, &odd),
            order(&cluster, 2, &again)
        );
        let accepted = |it: &Reply| matches!(it, Reply::Applied { .. });
        let all = format!("{first:?} {other:?} {second:?}");
        assert_eq!(accepted(&first), accepted(&second), "one content, two replies: {all}");
        assert_ne!(accepted(&first), accepted(&other), "two contents: {all}");
        let full = poll(&cluster.client(&[0]), "entry", u64::MAX).await.expect("answer");
        let Update::Config(full) = full else { panic!("{full:?}") };
        let expected = if accepted(&first) { 500 } else { 501 };
        assert_eq!(full.routes.routes[0].timeout_ms, expected, "{all}");
    }
}

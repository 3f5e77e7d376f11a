//! Changes by operators: conflicts, resends under the same id, and rejected requests.

use gentianpass::wire::MAX_BODY_BYTES;
use hyper::Method;
use uuid::Uuid;

use crate::cluster::{Cluster, label_edit, label_value};

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

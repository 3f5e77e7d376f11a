//! What control hosts say about their local state.

use gentianpass::wire::control::{Standing, Update};

use crate::cluster::{Cluster, poll, wait_until};

/// Guards against a control host whose digest differs from that of a copy of its configuration, which relays would take for
/// other content, and against one that needs others to tell what it holds.
#[tokio::test(flavor = "multi_thread")]
async fn standing_agrees_with_polled_copy() {
    let mut cluster = Cluster::start("");
    for round in 0..2 {
        let answer = cluster.set_label(round, "caller", &format!("v{round}")).await;
        let polled = poll(&cluster.client(&[0]), "relay", u64::MAX).await.expect("configuration");
        let Update::Config(copy) = polled else { panic!("{polled:?}") };
        for host in 0..3 {
            let client = cluster.client(&[host]);
            let standing: Standing = wait_until("the host has the change", async || {
                let standing = client.standing().await.ok()?;
                (standing.revision >= answer.revision).then_some(standing)
            })
            .await;
            assert_eq!((standing.revision, standing.digest), (copy.revision, copy.digest()));
            assert!(standing.cluster.is_some() && standing.applied > 0, "{standing:?}");
        }
    }
    cluster.kill(0);
    cluster.kill(1);
    let client = cluster.client(&[2]);
    assert!(poll(&client, "relay", 0).await.is_err(), "a poll without a quorum");
    client.standing().await.expect("the local state without a quorum");
}

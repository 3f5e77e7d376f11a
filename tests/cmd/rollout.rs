use std::collections::BTreeMap;

use gentianpass::{
    route::{Service, Table},
    state::Change,
};

use crate::{fake::FakeCluster, run};

/// Guards against an order without effect, and against a status that does not tell the stage and the reason.
#[tokio::test]
async fn start_status() {
    let fake = FakeCluster::start().await;
    let services = BTreeMap::from([("s1".to_owned(), Service::default())]);
    let table = Table { version: 1, services, ..Table::default() };
    fake.lock_state().apply(Change::PutRoutes(Box::new(table)));
    let out = run(&fake, "rollout start s2 v2 --duration 10m").await;
    assert!(out.contains("there is no service \"s2\""), "{out}");
    let out = run(&fake, "rollout start s1 v2 --duration 10m").await;
    assert!(out.starts_with("applied at revision"), "{out}");
    let out = run(&fake, "rollout status s1").await;
    assert_eq!(out, "s1 to \"v2\": trial, trial share 6%: ordered\n");
    let out = run(&fake, "rollout status s2").await;
    assert!(out.contains("no rollout of \"s2\" was ordered"), "{out}");
}

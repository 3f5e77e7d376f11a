//! Patches between routing tables.

use std::collections::BTreeMap;

use gentianpass::route::{Kind, Limits, Patch, Route, Service, Table, To};
use proptest::prelude::*;

fn route(name: u8, timeout_ms: u64) -> Route {
    Route {
        name: format!("route-{name}"),
        host: "labels.example".into(),
        prefix: format!("/{name}/"),
        kind: Kind::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        public: false,
        to: To::Service("s".into()),
    }
}

fn table(version: u64, routes: Vec<Route>) -> Table {
    let services = BTreeMap::from([("s".to_owned(), Service::default())]);
    Table {
        version,
        document: String::new(),
        routes,
        services,
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    prop::collection::vec((0u8..12, 1u64..3), 0..12)
        .prop_map(|it| it.into_iter().map(|(name, timeout)| route(name, timeout)).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Guards against a patched table that differs from the new one. The tables are not validated, so route names may
    /// occur twice.
    #[test]
    fn apply_between(old in routes(), new in routes()) {
        let (old, new) = (table(1, old), table(2, new));
        prop_assert_eq!(Patch::between(&old, &new).apply(&old), Some(new));
    }
}

#[test]
fn apply_wrong_version() {
    let (old, new) = (table(1, vec![route(1, 1)]), table(2, Vec::new()));
    let patch = Patch::between(&old, &new);
    assert_eq!(patch.apply(&table(3, old.routes)), None);
}

#[test]
fn between_changed_services() {
    let old = table(1, vec![route(1, 1)]);
    let mut new = table(2, vec![route(1, 1)]);
    new.services.insert("t".into(), Service::default());
    assert_eq!(Patch::between(&old, &new).apply(&old), Some(new));
}

//! Digest of the configuration, which a copy has in common with the configuration of the control hosts.

use std::collections::BTreeMap;

use gentianpass::{
    route::{Kind, Limits, Route, Service, Table, To},
    state::{Change, Config},
};

use crate::{Fixture, group, node, selector, set_label, target};

fn table(version: u64, timeout_ms: u64) -> Table {
    let route = Route {
        name: "search".into(),
        host: "labels.example".into(),
        prefix: "/search/".into(),
        kind: Kind::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        public: false,
        to: To::Service("labels".into()),
    };
    Table {
        version,
        document: format!("# version {version}"),
        routes: vec![route],
        services: BTreeMap::from([("labels".to_owned(), Service::default())]),
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

fn suspect(fingerprint: u64, target: &str) -> Change {
    Change::Suspect { fingerprint, target: target.into() }
}

/// One change of each part of the configuration.
fn changes() -> Vec<Change> {
    vec![
        set_label("zone/tayside-a", "drain", "true"),
        Change::PutGroup(group()),
        Change::PutSelector(selector()),
        Change::PutNode(node("entry-1", "tayside-a")),
        Change::PutTarget(target("a", "tayside-a", 1, 0, 2)),
        suspect(7, "a"),
        Change::PutRoutes(Box::new(table(1, 1_000))),
        Change::PutRoutes(Box::new(table(2, 2_000))),
    ]
}

fn config() -> Config {
    let mut fixture = Fixture { now_ms: 5_000, ..Fixture::default() };
    changes().into_iter().for_each(|it| fixture.accept(it));
    fixture.tables.config
}

/// Guards against a digest that tells a correct copy from the original: the copy has no operators' document, and its clock
/// does not advance by changes that make no new revision.
#[test]
fn digest_copy() {
    let mut fixture = Fixture::default();
    let mut copy = Config::default();
    for change in changes() {
        let routes = fixture.tables.config.routes.clone();
        fixture.now_ms += 10;
        fixture.accept(change.clone());
        copy.apply(&change.for_entry_hosts(&routes), fixture.now_ms).expect("change");
        assert_eq!(copy.digest(), fixture.tables.config.digest(), "{change:?}");
    }
    fixture.now_ms += 10;
    fixture.accept(Change::Tick);
    let original = &fixture.tables.config;
    assert_ne!(copy.now_ms, original.now_ms);
    assert_ne!(copy.routes.document, original.routes.document);
    assert_eq!(copy.digest(), original.digest());
    assert_eq!(original.for_entry_hosts().digest(), original.digest());
}

/// Guards against a difference between a copy and the original that the digest does not show.
#[test]
fn digest_differs() {
    let original = config();
    let differs = |alter: fn(&mut Config)| {
        let mut other = original.clone();
        alter(&mut other);
        other.digest() != original.digest()
    };
    assert!(differs(|it| it.revision += 1), "revision");
    assert!(differs(|it| it.operator_revision += 1), "operator revision");
    assert!(differs(|it| it.labels.clear()), "label");
    assert!(differs(|it| it.groups.clear()), "group");
    assert!(differs(|it| it.selectors.clear()), "selector");
    assert!(differs(|it| it.nodes.clear()), "entry host");
    assert!(differs(|it| it.targets.get_mut("a").expect("target").slots += 1), "target");
    assert!(differs(|it| it.versions.clear()), "index version");
    assert!(differs(|it| it.suspects.get_mut(&7).expect("suspect").until_ms += 1), "suspect");
    assert!(differs(|it| it.routes.version += 1), "route table version");
    assert!(differs(|it| it.routes.routes[0].prefix = "/other/".into()), "route");
    assert!(differs(|it| it.routes.services.clear()), "service");
    assert!(differs(|it| it.routes.limits.idle_ms += 1), "limit");
}

/// Guards against a digest that depends on the architecture or on the process: hosts of different architectures compare
/// theirs.
#[test]
fn digest_known_value() {
    assert_eq!(format!("{:016x}", config().digest()), "273fb3a71082a52c");
}

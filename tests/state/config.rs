use gentianpass::{
    error::Kind,
    route::{Limits, Table},
    state::{Change, Phase, QUARANTINE_MS, Reply, Target},
};

use crate::{Fixture, group, selector, set_label, target};

/// Guards against a query that reports full coverage although a shard has no replicas: the version must keep its number
/// of shards when the last target of a shard is removed.
#[test]
fn versions_keep_lost_shard() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutTarget(target("a", "z", 1, 0, 2)));
    fixture.accept(Change::PutTarget(target("b", "z", 1, 1, 2)));
    fixture.accept(Change::RemoveTarget { name: "b".into(), incarnation: 1 });
    assert_eq!(fixture.tables.config.versions[&("labels".into(), 1)].shards, 2);
}

/// Guards against versions that accumulate with each index build: a version is removed once no target holds it and a
/// newer one is complete.
#[test]
fn versions_drop_superseded() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutTarget(target("a", "z", 1, 0, 1)));
    fixture.accept(Change::PutTarget(target("a", "z", 2, 0, 1)));
    let versions: Vec<_> = fixture.tables.config.versions.keys().cloned().collect();
    assert_eq!(versions, [("labels".to_owned(), 2)]);
}

/// Guards against targets that disagree on the number of shards of a version.
#[test]
fn put_target_other_layout() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutTarget(target("a", "z", 1, 0, 2)));
    let reply = fixture.apply(Change::PutTarget(target("b", "z", 1, 0, 3)));
    assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::BadRequest));
}

/// Guards against a late announcement or removal by an old process of a target, which would replace or remove the new
/// process.
#[test]
fn put_target_old_incarnation() {
    let mut fixture = Fixture::default();
    let mut newer = target("a", "z", 1, 0, 1);
    newer.incarnation = 2;
    fixture.accept(Change::PutTarget(newer));
    let reply = fixture.apply(Change::PutTarget(target("a", "z", 1, 0, 1)));
    assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::Conflict));
    fixture.accept(Change::RemoveTarget { name: "a".into(), incarnation: 1 });
    assert!(fixture.tables.config.targets.contains_key("a"));
}

/// Guards against a target that serves again after it has announced its leave: an announcement from before the leave is
/// committed after it, through a control host that did not know of the leave.
#[test]
fn put_target_after_leave() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutTarget(target("a", "z", 1, 0, 1)));
    let leaving = Target { phase: Phase::Leaving, ..target("a", "z", 1, 0, 1) };
    fixture.accept(Change::PutTarget(leaving));
    let late = Target { slots: 9, ..target("a", "z", 1, 0, 1) };
    fixture.accept(Change::PutTarget(late));
    assert_eq!(fixture.tables.config.targets["a"].phase, Phase::Leaving);
    fixture.accept(Change::PutTarget(Target { incarnation: 2, ..target("a", "z", 1, 0, 1) }));
    assert_eq!(fixture.tables.config.targets["a"].phase, Phase::Serving, "a new process");
}

/// Guards against two contents of one version that are both acknowledged: a table without routes was replaced by another
/// one with the same version, and one whose document differed in fields that are not used was accepted but not stored.
#[test]
fn put_routes_same_version() {
    let mut fixture = Fixture::default();
    let table = |version: u64, document: &str, header_ms: u64| {
        let limits = Limits { header_ms, ..Limits::default() };
        let document = document.to_owned();
        Change::PutRoutes(Box::new(Table { version, document, limits, ..Table::default() }))
    };
    fixture.accept(table(8, "first", 3_000));
    fixture.accept(table(8, "first", 3_000));
    for other in [table(8, "second", 3_000), table(8, "first", 4_000)] {
        let reply = fixture.apply(other);
        assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::Conflict));
    }
    assert_eq!(fixture.tables.config.routes.document, "first");
}

/// Guards against an acknowledged route table that never takes effect: version 0 stands for no table, also at relays, and
/// each time that such a table was sent made a new revision, even if nothing changed.
#[test]
fn put_routes_version_zero() {
    let mut fixture = Fixture::default();
    for document in ["first", "first", "second"] {
        let table = Table { document: document.to_owned(), ..Table::default() };
        let reply = fixture.apply(Change::PutRoutes(Box::new(table)));
        assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::BadRequest));
    }
    assert_eq!(fixture.tables.config.revision, 0);
}

/// Guards against selectors that refer to a removed group.
#[test]
fn remove_group_in_use() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutGroup(group()));
    fixture.accept(Change::PutSelector(selector()));
    let reply = fixture.apply(Change::RemoveGroup { name: "label-designer".into() });
    assert!(matches!(reply, Reply::Rejected(_)));
    fixture.accept(Change::RemoveSelector { name: "designers".into() });
    fixture.accept(Change::RemoveGroup { name: "label-designer".into() });
}

/// Guards against a quarantine after crashes of a single target, or one that never expires.
#[test]
fn suspect_two_targets() {
    let mut fixture = Fixture::default();
    let suspect = |target: &str| Change::Suspect { fingerprint: 7, target: target.into() };
    fixture.accept(suspect("a"));
    fixture.accept(suspect("a"));
    assert!(!fixture.tables.config.is_quarantined(7));
    fixture.accept(suspect("b"));
    assert!(fixture.tables.config.is_quarantined(7));
    fixture.now_ms = QUARANTINE_MS;
    fixture.accept(Change::Tick);
    assert!(!fixture.tables.config.is_quarantined(7));
}

/// Guards against a crash that extends a suspicion without a new revision, so that copies never learn of it.
#[test]
fn suspect_extended() {
    let mut fixture = Fixture::default();
    for (crashes, at_ms) in [0, 20_000, 400_000].into_iter().enumerate() {
        fixture.now_ms = at_ms;
        fixture.accept(Change::Suspect { fingerprint: 7, target: "a".into() });
        assert_eq!(fixture.tables.config.revision, crashes as u64 + 1);
        assert_eq!(fixture.tables.config.suspects[&7].until_ms, at_ms + QUARANTINE_MS);
    }
}

/// Guards against a new revision, which all hosts fetch, for each report of one crash: several relays may report it, and
/// each repeats its report until it gets a reply, which is late when there is much to fetch.
#[test]
fn suspect_reported_again() {
    let mut fixture = Fixture::default();
    for second in 0..60 {
        fixture.now_ms = second * 1_000;
        fixture.accept(Change::Suspect { fingerprint: 7, target: "a".into() });
    }
    let revision = fixture.tables.config.revision;
    assert!(revision <= 6, "{revision} revisions in a minute");
    fixture.accept(Change::Suspect { fingerprint: 7, target: "b".into() });
    assert_eq!(fixture.tables.config.revision, revision + 1, "another target");
    assert_eq!(fixture.tables.config.suspects[&7].until_ms, fixture.now_ms + QUARANTINE_MS);
}

/// Guards against a new revision, which every entry host would fetch, for a change that alters nothing.
#[test]
fn set_label_same_value() {
    let mut fixture = Fixture::default();
    fixture.accept(set_label("zone/z", "drain", "true"));
    let revision = fixture.tables.config.revision;
    fixture.accept(set_label("zone/z", "drain", "true"));
    assert_eq!(fixture.tables.config.revision, revision);
}

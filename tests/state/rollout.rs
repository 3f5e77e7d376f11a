//! Rollouts in the replicated state.

use std::collections::BTreeMap;

use gentianpass::{
    control::StateMachine,
    error::Kind,
    raft::{Entry as LogEntry, Payload},
    route::{Service, Table},
    state::{
        Change, Config, Entry, Reply, Rollout, Stage, Target,
        rollout::{Advance, Start},
    },
    wire::control::Update,
};

use crate::{Fixture, target};

const START_MS: u64 = 1_700_000_000_000;

fn table(version: u64, services: &[&str]) -> Change {
    let services = services.iter().map(|it| ((*it).to_owned(), Service::default()));
    Change::PutRoutes(Box::new(Table { version, services: services.collect(), ..Table::default() }))
}

fn versioned(name: &str, version: &str) -> Target {
    let labels = [("service", "s1"), ("software", version)];
    let labels: BTreeMap<_, _> =
        labels.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
    Target { labels, holdings: Vec::new(), ..target(name, "z", 1, 0, 1) }
}

fn start(version: &str) -> Change {
    Change::StartRollout(Start {
        service: "s1".into(),
        target_version: version.into(),
        duration_ms: 60_000,
        exposure_ppm: 50_000,
    })
}

fn advance(version: &str, stage: Stage) -> Change {
    Change::AdvanceRollout(Advance {
        service: "s1".into(),
        target_version: version.into(),
        started_ms: START_MS,
        stage,
        exposure_ppm: 50_000,
        reason: "test".into(),
    })
}

/// Tables with the service `s1`, one target with version `v1` and one with `v2`.
fn fixture() -> Fixture {
    let mut fixture = Fixture { now_ms: START_MS, ..Fixture::default() };
    fixture.accept(table(1, &["s1"]));
    fixture.accept(Change::PutTarget(versioned("a", "v1")));
    fixture.accept(Change::PutTarget(versioned("b", "v2")));
    fixture
}

fn rollout(fixture: &Fixture) -> &Rollout {
    &fixture.tables.config.rollouts["s1"]
}

fn rejection(reply: Reply) -> Kind {
    let Reply::Rejected(err) = reply else { panic!("{reply:?}") };
    err.kind
}

/// Guards against a version in force that changes before the rollout is completed, or not when it is.
#[test]
fn advance_rollout_completed() {
    let mut fixture = fixture();
    fixture.accept(start("v2"));
    assert_eq!(rollout(&fixture).stage, Stage::Trial);
    fixture.accept(advance("v2", Stage::Completed));
    assert_eq!(rollout(&fixture).stage, Stage::Trial, "a stage was left out");
    fixture.accept(advance("v2", Stage::Finishing));
    assert_eq!(fixture.tables.config.service_versions["s1"], "v1");
    fixture.accept(advance("v2", Stage::Completed));
    fixture.accept(advance("v2", Stage::RolledBack));
    assert_eq!(rollout(&fixture).stage, Stage::Completed, "an ended rollout goes on");
    assert_eq!(fixture.tables.config.service_versions["s1"], "v2");
}

/// Guards against an order that is sent again and starts its rollout anew, while it runs or after its end.
#[test]
fn start_rollout_repeated() {
    let mut fixture = fixture();
    fixture.accept(start("v2"));
    for stage in [Stage::Finishing, Stage::RolledBack] {
        let before = fixture.tables.config.clone();
        fixture.now_ms += 1_000;
        fixture.accept(start("v2"));
        assert_eq!(fixture.tables.config.rollouts, before.rollouts);
        assert_eq!(fixture.tables.config.revision, before.revision);
        fixture.accept(advance("v2", stage));
    }
    fixture.accept(start("v3"));
    assert_eq!(rollout(&fixture).target_version, "v3");
}

/// Guards against two rollouts of a service at once, and against orders that cannot be carried out.
#[test]
fn start_rollout_refused() {
    let mut fixture = fixture();
    assert_eq!(rejection(fixture.apply(start(""))), Kind::BadRequest);
    let unknown = Start {
        service: "s2".into(),
        target_version: "v2".into(),
        duration_ms: 1,
        exposure_ppm: 0,
    };
    let no_time = Start { service: "s1".into(), duration_ms: 0, ..unknown.clone() };
    for order in [unknown, no_time] {
        assert_eq!(rejection(fixture.apply(Change::StartRollout(order))), Kind::BadRequest);
    }
    assert!(fixture.tables.config.rollouts.is_empty());
    fixture.accept(start("v2"));
    assert_eq!(rejection(fixture.apply(start("v3"))), Kind::Conflict);
    assert_eq!(rollout(&fixture).target_version, "v2");
}

/// Guards against a step for an earlier rollout to the same version, or for another version, that a leader proposed late.
#[test]
fn advance_rollout_late() {
    let mut fixture = fixture();
    fixture.accept(start("v2"));
    fixture.accept(advance("v3", Stage::RolledBack));
    assert_eq!(rollout(&fixture).stage, Stage::Trial);
    fixture.accept(advance("v2", Stage::RolledBack));
    fixture.accept(start("v3"));
    fixture.accept(Change::AdvanceRollout(Advance {
        service: "s1".into(),
        target_version: "v3".into(),
        started_ms: START_MS - 1,
        stage: Stage::RolledBack,
        exposure_ppm: 0,
        reason: String::new(),
    }));
    assert_eq!(rollout(&fixture).stage, Stage::Trial);
}

/// Guards against a rollout that runs on without its service, and against one that ends with any new configuration.
#[test]
fn put_routes_during_rollout() {
    let mut fixture = fixture();
    fixture.accept(start("v2"));
    fixture.accept(table(2, &["s1", "s2"]));
    assert_eq!(rollout(&fixture).stage, Stage::Trial);
    fixture.accept(table(3, &["s2"]));
    assert_eq!(rollout(&fixture).stage, Stage::RolledBack);
    assert!(rollout(&fixture).reason.contains("removed"), "{}", rollout(&fixture).reason);
}

/// Guards against versions in force that are kept for ever, and against one that is forgotten while its targets are down.
#[test]
fn service_versions_retained_with_service() {
    let mut fixture = fixture();
    let remove = |name: &str| Change::RemoveTarget { name: name.into(), incarnation: 1 };
    fixture.accept(remove("a"));
    fixture.accept(remove("b"));
    fixture.accept(Change::PutTarget(versioned("b", "v2")));
    assert_eq!(fixture.tables.config.service_versions["s1"], "v1");
    fixture.accept(remove("b"));
    fixture.accept(table(2, &["s2"]));
    assert!(fixture.tables.config.has_no_rollouts());
}

/// Guards against a host, or the copy of a relay, that loses the rollouts or differs from the others: by replay of the log,
/// by a snapshot, by changes and by the whole configuration.
#[test]
fn copies_have_rollouts() {
    let mut fixture = fixture();
    let changes = vec![
        start("v2"),
        advance("v2", Stage::Finishing),
        table(2, &["s1", "s2"]),
        advance("v2", Stage::Completed),
        start("v3"),
        table(3, &["s2"]),
    ];
    let mut copy = fixture.tables.config.for_entry_hosts();
    let mut replayed = StateMachine { tables: fixture.tables.clone(), ..StateMachine::default() };
    for (index, change) in changes.into_iter().enumerate() {
        let routes = fixture.tables.config.routes.clone();
        fixture.accept(change.clone());
        copy.apply(&change.for_entry_hosts(&routes), fixture.now_ms).expect("change");
        let id = fixture.next_id;
        let entry = Entry { id, base: Some(0), at_ms: fixture.now_ms, change };
        let payload = Payload::Data(bincode::serialize(&entry).expect("entry").into());
        let entry = LogEntry { index: index as u64 + 1, term: 1, payload };
        replayed.apply(&entry).expect("applied");
        assert_eq!(replayed.tables, fixture.tables);
        assert_eq!(copy.digest(), fixture.tables.config.digest());
        let mut restored = StateMachine::default();
        restored.restore(1, &replayed.snapshot()).expect("snapshot");
        assert_eq!(restored.tables, fixture.tables);
        let sent = Update::Config(Box::new(fixture.tables.config.for_entry_hosts())).packed();
        let bytes = bincode::serialize(&sent).expect("update");
        let received: Update = bincode::deserialize(&bytes).expect("update");
        let Update::Config(received) = received.unpacked() else { panic!("changes") };
        assert_eq!(received.digest(), fixture.tables.config.digest());
    }
}

/// Guards against a host that does not start from a snapshot of an earlier release, which holds no rollouts, and against a
/// digest by which the hosts of an earlier release differ although there is no rollout.
#[test]
fn restore_without_rollouts() {
    let mut fixture = fixture();
    let mut snapshot = bincode::serialize(&fixture.tables).expect("tables");
    bincode::serialize_into(&mut snapshot, &fixture.tables.departures).expect("departures");
    let mut restored = StateMachine::default();
    restored.restore(1, &snapshot).expect("snapshot");
    let _ = fixture.tables.config.take_rollouts();
    assert_eq!(restored.tables, fixture.tables);
    let restored = StateMachine { tables: restored.tables, ..StateMachine::default() };
    assert_eq!(restored.snapshot(), snapshot);
    let mut config = Config { revision: 1, ..Config::default() };
    let without = config.digest();
    config.service_versions.insert("s1".into(), "v1".into());
    assert_ne!(config.digest(), without);
}

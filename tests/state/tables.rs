use gentianpass::{
    error::{Kind, Outcome},
    state::{Change, Claim, Entry, KEY_LIFETIME_MS, Reply, Settlement},
};

use crate::{Fixture, set_label, target};

fn claim(key: &str, nonce: u64) -> Claim {
    Claim { key: key.into(), fingerprint: 1, issued_at_ms: 0, nonce, node: "entry-1".into() }
}

/// Guards against an operator who overwrites another operator's change without having seen it.
#[test]
fn apply_stale_base() {
    let mut fixture = Fixture::default();
    let change = |value: &str| set_label("zone/z", "drain", value);
    let entry = |id, value: &str| Entry { id, base: Some(0), at_ms: 0, change: change(value) };
    assert!(matches!(fixture.tables.apply(&entry(1, "true")), Reply::Applied { .. }));
    assert_eq!(fixture.tables.apply(&entry(2, "false")), Reply::Conflict { current: 1 });
}

/// Guards against conflicts of operators' changes with announcements of targets, which raise the revision all the time.
#[test]
fn apply_base_after_announcement() {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutTarget(target("a", "z", 1, 0, 1)));
    let change = set_label("zone/z", "drain", "true");
    let entry = Entry { id: 99, base: Some(0), at_ms: 0, change };
    assert!(matches!(fixture.tables.apply(&entry), Reply::Applied { .. }));
}

/// Guards against a change that is applied twice when its sender repeats it after a lost reply.
#[test]
fn apply_known_id() {
    let mut fixture = Fixture::default();
    let set = set_label("zone/z", "drain", "true");
    let entry = Entry { id: 50, base: Some(0), at_ms: 0, change: set };
    let first = fixture.tables.apply(&entry);
    let object = "zone/z".parse().expect("object");
    fixture.accept(Change::RemoveLabel { object, key: "drain".into() });
    assert_eq!(fixture.tables.apply(&entry), first);
    assert!(fixture.tables.config.labels.is_empty());
}

/// Guards against a second run of a non-idempotent request that may have run: later claims get the recorded outcome, or
/// `Unknown` without one.
#[test]
fn claim_taken() {
    let mut fixture = Fixture::default();
    assert_eq!(fixture.apply(Change::Claim(claim("k", 1))), Reply::Granted);
    let unknown = Reply::Claimed { outcome: Outcome::Unknown, result: None };
    assert_eq!(fixture.apply(Change::Claim(claim("k", 2))), unknown);
    let settlement = Settlement { outcome: Outcome::Done, result: Some("printed".into()) };
    fixture.accept(Change::Settle { key: "k".into(), nonce: 1, settlement });
    let done = Reply::Claimed { outcome: Outcome::Done, result: Some("printed".into()) };
    assert_eq!(fixture.apply(Change::Claim(claim("k", 3))), done);
}

/// Guards against a request that can never run because an earlier attempt claimed its key and did not run, and against
/// a late settlement by that attempt.
#[test]
fn claim_after_not_run() {
    let mut fixture = Fixture::default();
    fixture.apply(Change::Claim(claim("k", 1)));
    let settlement = Settlement { outcome: Outcome::NotRun, result: None };
    fixture.accept(Change::Settle { key: "k".into(), nonce: 1, settlement });
    assert_eq!(fixture.apply(Change::Claim(claim("k", 2))), Reply::Granted);
    let late = Settlement { outcome: Outcome::Done, result: None };
    let reply = fixture.apply(Change::Settle { key: "k".into(), nonce: 1, settlement: late });
    assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::Conflict));
}

/// Guards against a second run of a request after its claim was removed: the key must be rejected as expired.
#[test]
fn claim_expired_key() {
    let mut fixture = Fixture::default();
    fixture.apply(Change::Claim(claim("k", 1)));
    fixture.now_ms = KEY_LIFETIME_MS;
    fixture.accept(Change::Tick);
    assert!(fixture.tables.claims.is_empty());
    let reply = fixture.apply(Change::Claim(claim("k", 2)));
    assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::KeyExpired));
}

/// Guards against two different requests under one idempotency key.
#[test]
fn claim_reused_key() {
    let mut fixture = Fixture::default();
    fixture.apply(Change::Claim(claim("k", 1)));
    let other = Claim { fingerprint: 2, ..claim("k", 2) };
    let reply = fixture.apply(Change::Claim(other));
    assert!(matches!(reply, Reply::Rejected(err) if err.kind == Kind::KeyReused));
}

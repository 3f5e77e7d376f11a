//! Probes of quarantined requests.

use gentianpass::{
    control::StateMachine,
    state::{Change, PROBE_DELAY_MS, Reply},
};

use crate::Fixture;

const FINGERPRINT: u64 = 7;

fn crash(target: &str) -> Change {
    Change::Suspect { fingerprint: FINGERPRINT, target: target.into() }
}

const PROBE: Change = Change::Probe { fingerprint: FINGERPRINT };

fn quarantined() -> Fixture {
    let mut fixture = Fixture { now_ms: 100_000, ..Fixture::default() };
    fixture.accept(crash("a"));
    fixture.accept(crash("b"));
    fixture
}

/// Guards against probes of requests that are not quarantined, which any relay may send.
#[test]
fn probe_without_quarantine() {
    let mut fixture = Fixture::default();
    fixture.accept(crash("a"));
    assert!(matches!(fixture.apply(PROBE), Reply::Rejected(_)));
}

/// Guards against probes by two hosts at once, or one after the other before the outcome of the first is known.
#[test]
fn probe_granted_to_one() {
    let mut fixture = quarantined();
    assert_eq!(fixture.apply(PROBE), Reply::Deferred { wait_ms: PROBE_DELAY_MS });
    fixture.now_ms += PROBE_DELAY_MS;
    assert_eq!(fixture.apply(PROBE), Reply::Granted);
    assert_eq!(fixture.apply(PROBE), Reply::Deferred { wait_ms: 5 * PROBE_DELAY_MS });
}

/// Guards against a request that crashes a target with each of many probes. Up to three retries may reach targets after it has
/// crashed three.
#[test]
fn probe_crashes_targets() {
    let mut fixture = quarantined();
    let mut granted = 0;
    for second in 0..600 {
        fixture.now_ms += 1_000;
        if fixture.apply(PROBE) == Reply::Granted {
            granted += 1;
            fixture.accept(crash(&format!("target-{second}")));
        }
    }
    assert_eq!(granted, 3);
}

/// Guards against delays that remain from a quarantine which has ended.
#[test]
fn probe_answered() {
    let mut fixture = quarantined();
    fixture.now_ms += PROBE_DELAY_MS;
    assert_eq!(fixture.apply(PROBE), Reply::Granted);
    fixture.accept(Change::Exonerate { fingerprint: FINGERPRINT });
    fixture.accept(crash("a"));
    fixture.accept(crash("b"));
    fixture.now_ms += PROBE_DELAY_MS;
    assert_eq!(fixture.apply(PROBE), Reply::Granted);
}

/// Guards against a control host that starts from a snapshot and grants a probe again.
#[test]
fn probe_in_snapshot() {
    let mut fixture = quarantined();
    fixture.now_ms += PROBE_DELAY_MS;
    assert_eq!(fixture.apply(PROBE), Reply::Granted);
    let machine = StateMachine { tables: fixture.tables, ..StateMachine::default() };
    let mut restored = StateMachine::default();
    restored.restore(1, &machine.snapshot()).expect("a snapshot");
    assert_eq!(restored.tables, machine.tables);
}

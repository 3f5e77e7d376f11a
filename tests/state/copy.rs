//! Copies of the configuration that follow the control hosts by their updates only.

use gentianpass::{
    control::{StateMachine, apply_update},
    error::Outcome,
    raft::{self, Payload},
    route::{Kind, Limits, Route, Service, Table, To},
    state::{
        Change, Claim, Config, Entry, Group, Holding, Match, Node, Object, ObjectKind, Phase,
        QUARANTINE_MS, Selector, Settlement, Target,
    },
};
use proptest::prelude::*;

use crate::{group, labels, node, selector, target};

/// A time at which no change is refused because of the clock, which is set back by some steps.
const START_MS: u64 = 10_000_000;

/// What happens to the control hosts or to the copies.
#[derive(Clone, Debug)]
enum Step {
    /// A change is committed.
    Commit {
        change: Change,
        /// How far the clock of the leader moves before it.
        clock_ms: i64,
        base: Base,
        repeat: Repeat,
    },
    /// A copy polls from its revision, or for the full configuration.
    Poll { copy: usize, full: bool },
    /// The control host restarts from a snapshot.
    Restart,
}

/// Whether a change is committed twice, because its sender got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    No,
    SameId,
    /// The sender asked another host, which chose an id of its own.
    OtherId,
}

/// The revision that an operator's change is based on.
#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    Old,
    Missing,
}

/// A control host and two copies.
struct Follow {
    control: StateMachine,
    copies: [Config; 2],
    clock_ms: u64,
    index: u64,
}

impl Follow {
    fn new() -> Self {
        let control = StateMachine::default();
        Self { control, copies: Default::default(), clock_ms: START_MS, index: 0 }
    }

    fn config(&self) -> &Config {
        &self.control.tables.config
    }

    fn run(&mut self, step: &Step) {
        match step {
            Step::Commit { change, clock_ms, base, repeat } => {
                self.clock_ms = self.clock_ms.saturating_add_signed(*clock_ms);
                self.commit(change, *base, None);
                match repeat {
                    Repeat::No => {}
                    Repeat::SameId => self.commit(change, *base, Some(self.index)),
                    Repeat::OtherId => self.commit(change, *base, None),
                }
            }
            Step::Poll { copy, full } => self.poll(*copy, *full),
            Step::Restart => {
                let snapshot = self.control.snapshot();
                self.control.restore(self.index, &snapshot).expect("snapshot");
            }
        }
    }

    /// Commits a change, and checks that the configuration has a new revision if and only if it has changed.
    fn commit(&mut self, change: &Change, base: Base, id: Option<u64>) {
        let before = self.config().clone();
        self.index += 1;
        let base = match base {
            Base::Current => Some(before.operator_revision),
            Base::Old => Some(before.operator_revision.saturating_sub(1)),
            Base::Missing => None,
        };
        let id = u128::from(id.unwrap_or(self.index));
        let entry = Entry { id, base, at_ms: self.clock_ms, change: change.clone() };
        let payload = Payload::Data(bincode::serialize(&entry).expect("entry").into());
        let raft_entry = raft::Entry { index: self.index, term: 1, payload };
        let result = self.control.apply(&raft_entry).expect("entry").expect("a change");
        let after = self.config();
        let Config { revision, operator_revision, now_ms, .. } = *after;
        let is_same = Config { revision, operator_revision, now_ms, ..before.clone() } == *after;
        assert_eq!(after.revision, before.revision + u64::from(result.changed));
        assert_eq!(result.changed, !is_same, "new revision and changed content of {change:?}");
        assert_eq!(result.changed, after.digest() != before.digest(), "digest");
    }

    /// Lets a copy poll, and checks that it has followed.
    fn poll(&mut self, copy: usize, full: bool) {
        let config = &self.control.tables.config;
        let copy = &mut self.copies[copy];
        if full {
            *copy = Config::default();
        }
        let update = self.control.history.update_since(config, copy.revision).expect("update");
        apply_update(copy, update).expect("an update that follows");
        assert_eq!(copy.revision, config.revision);
        let equal = config.for_entry_hosts();
        assert_eq!(Config { now_ms: 0, ..copy.clone() }, Config { now_ms: 0, ..equal });
        assert_eq!(copy.digest(), config.digest());
    }
}

/// Guards against a relay that answers from an old configuration for ever. A second crash extended a suspicion without a
/// new revision; the copy then removed the suspect with the first tick, at which the control hosts kept it, and was a
/// revision ahead at the second: its updates did not follow.
#[test]
fn poll_suspect_again() {
    let suspect =
        |fingerprint| Change::Suspect { fingerprint, target: format!("target-{fingerprint}") };
    for again_ms in [1_000, 20_000] {
        let mut follow = Follow::new();
        let changes = [
            (0, suspect(1)),
            (10, suspect(2)),
            (again_ms, suspect(1)),
            (QUARANTINE_MS + 500, Change::Tick),
            (QUARANTINE_MS + again_ms + 500, Change::Tick),
        ];
        for (at_ms, change) in changes {
            follow.clock_ms = START_MS + at_ms;
            follow.commit(&change, Base::Missing, None);
            follow.poll(0, false);
        }
        assert!(follow.config().suspects.is_empty());
    }
}

fn name() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["a", "a", "b", "c", "not valid"]).prop_map(String::from)
}

fn incarnation() -> impl Strategy<Value = u64> {
    1u64..3
}

fn object() -> impl Strategy<Value = Object> {
    let kind = prop::sample::select(vec![ObjectKind::Zone, ObjectKind::Target]);
    // The decoder of messages refuses names that are not valid.
    let name = prop::sample::select(vec!["a", "b"]);
    (kind, name).prop_map(|(kind, name)| Object::new(kind, name))
}

fn some_target() -> impl Strategy<Value = Target> {
    let phase = prop::sample::select(vec![Phase::Serving, Phase::Serving, Phase::Leaving]);
    let holding = (1u64..4, 0u32..3, 1u32..4).prop_map(|(version, shard, shards)| Holding {
        index: "i".into(),
        version,
        shard,
        shards,
    });
    let holdings = prop::collection::vec(holding, 0..3);
    (name(), incarnation(), 0u32..3, phase, holdings).prop_map(
        |(name, incarnation, slots, phase, holdings)| Target {
            incarnation,
            slots,
            phase,
            holdings,
            ..target(&name, "z", 1, 0, 1)
        },
    )
}

fn some_node() -> impl Strategy<Value = Node> {
    (name(), incarnation(), any::<bool>()).prop_map(|(name, incarnation, leaving)| Node {
        incarnation,
        leaving,
        ..node(&name, "z")
    })
}

fn some_group() -> impl Strategy<Value = Group> {
    (name(), name()).prop_map(|(name, value)| Group {
        name,
        targets: Match(labels(&[("service", &value)])),
        ..group()
    })
}

fn some_selector() -> impl Strategy<Value = Selector> {
    (name(), name()).prop_map(|(name, group)| Selector { name, group, ..selector() })
}

fn route() -> impl Strategy<Value = Route> {
    // Names may occur twice. The timeout 0 and the service `c` are refused.
    (0u8..4, 0u8..4, 0u64..4, name()).prop_map(|(name, prefix, timeout_ms, service)| Route {
        name: format!("route-{name}"),
        host: "labels.example".into(),
        prefix: format!("/{prefix}/"),
        kind: Kind::Idempotent,
        timeout_ms,
        objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        public: false,
        to: To::Service(service),
    })
}

fn table() -> impl Strategy<Value = Table> {
    let routes = prop::collection::vec(route(), 0..4);
    (0u64..6, 0u8..2, routes, 0u32..2, 1u64..3).prop_map(
        |(version, document, routes, max_connections, idle_ms)| {
            let service = Service { max_connections, ..Service::default() };
            Table {
                version,
                document: format!("# {document}"),
                routes,
                services: ["a", "b"].map(|it| (it.to_owned(), service.clone())).into(),
                limits: Limits { idle_ms, ..Limits::default() },
                tenants: Vec::new(),
            }
        },
    )
}

fn claim() -> impl Strategy<Value = Claim> {
    let issued_at = prop::sample::select(vec![0, START_MS, START_MS + 1_000_000]);
    (name(), 0u64..2, issued_at, 0u64..2).prop_map(|(key, fingerprint, issued_at_ms, nonce)| {
        Claim { key, fingerprint, issued_at_ms, nonce, node: "entry-1".into() }
    })
}

fn change() -> impl Strategy<Value = Change> {
    let of_process = || (name(), incarnation());
    let suspect = (0u64..3, name())
        .prop_map(|(fingerprint, target)| Change::Suspect { fingerprint, target })
        .boxed();
    prop_oneof![
        1 => (object(), name(), name()).prop_map(|(object, key, value)| Change::SetLabel {
            object,
            key,
            value
        }),
        1 => (object(), name()).prop_map(|(object, key)| Change::RemoveLabel { object, key }),
        1 => some_group().prop_map(Change::PutGroup),
        1 => name().prop_map(|name| Change::RemoveGroup { name }),
        1 => some_selector().prop_map(Change::PutSelector),
        1 => name().prop_map(|name| Change::RemoveSelector { name }),
        2 => table().prop_map(|it| Change::PutRoutes(Box::new(it))),
        1 => some_node().prop_map(Change::PutNode),
        1 => of_process().prop_map(|(name, incarnation)| Change::RemoveNode { name, incarnation }),
        3 => some_target().prop_map(Change::PutTarget),
        1 => of_process().prop_map(|(name, incarnation)| Change::RemoveTarget { name, incarnation }),
        1 => of_process().prop_map(|(name, incarnation)| Change::RetireTarget { name, incarnation }),
        3 => suspect,
        1 => (0u64..3).prop_map(|fingerprint| Change::Exonerate { fingerprint }),
        1 => (0u64..3).prop_map(|fingerprint| Change::Probe { fingerprint }),
        2 => Just(Change::Tick),
        1 => claim().prop_map(Change::Claim),
        1 => (name(), 0u64..2).prop_map(|(key, nonce)| {
            let settlement = Settlement { outcome: Outcome::NotRun, result: None };
            Change::Settle { key, nonce, settlement }
        }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let quarantine_ms = QUARANTINE_MS as i64;
    let clock_ms = prop::sample::select(vec![
        0,
        10,
        1_000,
        quarantine_ms / 2,
        quarantine_ms,
        quarantine_ms + 500,
        -1_000,
        -quarantine_ms - 1_000,
    ]);
    let base = prop::sample::select(vec![Base::Current, Base::Current, Base::Old, Base::Missing]);
    let repeat = prop_oneof![
        6 => Just(Repeat::No),
        1 => Just(Repeat::SameId),
        1 => Just(Repeat::OtherId),
    ];
    let commit = (change(), clock_ms, base, repeat).prop_map(|(change, clock_ms, base, repeat)| {
        Step::Commit { change, clock_ms, base, repeat }
    });
    prop_oneof![
        12 => commit,
        4 => (0usize..2).prop_map(|copy| Step::Poll { copy, full: false }),
        1 => (0usize..2).prop_map(|copy| Step::Poll { copy, full: true }),
        1 => Just(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    /// Guards against a copy that differs from the configuration of the control hosts under the same revision number, or
    /// that cannot apply their updates: a change altered the configuration without a new revision, so copies never got it.
    #[test]
    fn poll_any_changes(steps in prop::collection::vec(step(), 1..60)) {
        let mut follow = Follow::new();
        for step in &steps {
            follow.run(step);
        }
        follow.poll(0, false);
        follow.poll(1, false);
    }
}

//! The replicated state machine: conflicts, deduplication of changes, claims, index versions and the routing view.

mod config;
mod copy;
mod departure;
mod digest;
mod probe;
mod rollout;
mod tables;
mod view;

use std::{collections::BTreeSet, net::SocketAddr};

use gentianpass::state::{
    Change, Entry, Group, Holding, Labels, Match, Node, Object, ObjectKind, Phase, Reply, Selector,
    Tables, Target,
};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(key, value)| ((*key).into(), (*value).into())).collect()
}

fn target(name: &str, zone: &str, version: u64, shard: u32, shards: u32) -> Target {
    Target {
        name: name.into(),
        incarnation: 1,
        addr: addr(9000),
        zone: zone.into(),
        labels: labels(&[("service", "label-designer")]),
        slots: 3,
        warm_up: 1,
        connections: 30,
        phase: Phase::Serving,
        holdings: vec![Holding { index: "labels".into(), version, shard, shards }],
    }
}

fn node(name: &str, zone: &str) -> Node {
    Node {
        name: name.into(),
        incarnation: 1,
        http: addr(8000),
        rpc: addr(8001),
        zone: zone.into(),
        leaving: false,
    }
}

fn group() -> Group {
    Group {
        name: "label-designer".into(),
        index: "labels".into(),
        targets: Match(labels(&[("service", "label-designer")])),
    }
}

fn selector() -> Selector {
    Selector {
        name: "designers".into(),
        callers: Match(labels(&[("team", "design")])),
        kinds: BTreeSet::from(["label-search".to_owned()]),
        group: "label-designer".into(),
    }
}

fn set_label(object: &str, key: &str, value: &str) -> Change {
    Change::SetLabel {
        object: object.parse().expect("object"),
        key: key.into(),
        value: value.into(),
    }
}

/// Tables that apply changes with a new id and the current operator revision as base.
#[derive(Default)]
struct Fixture {
    tables: Tables,
    next_id: u128,
    now_ms: u64,
}

impl Fixture {
    fn apply(&mut self, change: Change) -> Reply {
        self.next_id += 1;
        let base = Some(self.tables.config.operator_revision);
        let entry = Entry { id: self.next_id, base, at_ms: self.now_ms, change };
        self.tables.apply(&entry)
    }

    fn accept(&mut self, change: Change) {
        let reply = self.apply(change);
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }
}

#[test]
fn object_parse() {
    let object: Object = "zone/tayside-a".parse().expect("object");
    assert_eq!(object, Object::new(ObjectKind::Zone, "tayside-a"));
    assert!("tayside-a".parse::<Object>().is_err());
    assert!("planet/mars".parse::<Object>().is_err());
    assert!("zone/".parse::<Object>().is_err());
}

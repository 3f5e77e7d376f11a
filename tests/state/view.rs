use gentianpass::{
    error::Kind,
    state::{Change, View},
    wire::owner::Class,
};

use crate::{Fixture, group, node, selector, set_label, target};

fn fixture() -> Fixture {
    let mut fixture = Fixture::default();
    fixture.accept(Change::PutGroup(group()));
    fixture.accept(Change::PutSelector(selector()));
    fixture.accept(set_label("caller/janitor", "team", "design"));
    for zone in ["x", "y"] {
        fixture.accept(Change::PutNode(node(&format!("entry-{zone}"), zone)));
        fixture.accept(Change::PutTarget(target(&format!("t-{zone}"), zone, 1, 0, 1)));
    }
    fixture
}

/// Guards against access that no selector grants.
#[test]
fn admit_default_deny() {
    let view = View::build(&fixture().tables.config);
    assert!(view.admit("janitor", "label-search", "label-designer").is_ok());
    for (caller, kind, group) in [
        ("stranger", "label-search", "label-designer"),
        ("janitor", "print-dispatch", "label-designer"),
        ("janitor", "label-search", "print-queue"),
    ] {
        let err = view.admit(caller, kind, group).expect_err("denied");
        assert_eq!(err.kind, Kind::NotAdmitted);
    }
}

/// Guards against new requests to targets and entry hosts in a drained zone.
#[test]
fn build_drained_zone() {
    let mut fixture = fixture();
    fixture.accept(set_label("zone/x", "drain", "true"));
    let view = View::build(&fixture.tables.config);
    let usable: Vec<_> =
        view.targets().filter(|(_, it)| it.usable).map(|(_, it)| &it.name).collect();
    assert_eq!(usable, ["t-y"]);
    let nodes: Vec<_> = view.nodes().filter(|(_, it)| it.usable).map(|(_, it)| &it.name).collect();
    assert_eq!(nodes, ["entry-y"]);
    let shards = &view.group("label-designer").expect("group").versions[0].shards;
    assert_eq!(shards[0].len(), 2, "a drained target is still a replica of its shard");
}

/// Guards against an owner in another zone although the target's own zone has an entry host.
#[test]
fn build_owner_own_zone() {
    let view = View::build(&fixture().tables.config);
    for (_, target) in view.targets() {
        let owner = view.node(target.owner.expect("owner"));
        assert_eq!(owner.zone, target.zone);
    }
}

/// Guards against ignoring the labels that set the admission class of a request kind and whether it is idempotent.
#[test]
fn kind_labels() {
    let mut fixture = fixture();
    fixture.accept(set_label("kind/label-search", "class", "quick"));
    fixture.accept(set_label("kind/print-dispatch", "idempotent", "false"));
    let view = View::build(&fixture.tables.config);
    assert_eq!(view.class("label-search"), Class::Quick);
    assert_eq!(view.class("other"), Class::Broad);
    assert!(!view.is_idempotent("print-dispatch"));
    assert!(view.is_idempotent("label-search"));
}

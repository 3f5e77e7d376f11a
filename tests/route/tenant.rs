//! Tenants: validation, lookup, encoding and patches.

use gentianpass::{
    control::StateMachine,
    route::{KeyDigest, Patch, Route, Table, TableError, Tenant, TenantPatch, Tenants},
    state::{Change, Config, Entry, Tables},
};
use proptest::prelude::*;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::new(key.as_bytes())
}

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|it| digest(it)).collect();
    Tenant { name: name.into(), keys, rate_millis: 1_500, burst: 3, ..Tenant::default() }
}

fn table(tenants: Vec<Tenant>) -> Table {
    Table { tenants, ..crate::table(vec![crate::route("r", "/", crate::to("a"))]) }
}

#[test]
fn check_tenants_invalid() {
    let check = |tenants| table(tenants).check().unwrap_err();
    let name = || "t".to_owned();
    let twice = vec![tenant("t", &["a"]), tenant("t", &["b"])];
    assert_eq!(check(twice), TableError::DuplicateTenant { name: name() });
    let shared = vec![tenant("t", &["a"]), tenant("u", &["b", "a"])];
    assert_eq!(check(shared), TableError::SharedKey { first: name(), second: "u".into() });
    assert_eq!(check(vec![tenant("t", &["a", ""])]), TableError::EmptyKey { tenant: name() });
    for name in ["", "a\r\nb"] {
        let expected = TableError::InvalidTenantName { name: name.into() };
        assert_eq!(check(vec![tenant(name, &["a"])]), expected);
    }
    let reserved = Table { version: u64::MAX, ..table(Vec::new()) };
    assert_eq!(reserved.check(), Err(TableError::ReservedVersion));
    table(vec![tenant("t", &["a", "b", "a"]), tenant("u", &[])]).check().unwrap();
}

#[test]
fn find_by_key() {
    let tenants = Tenants::new(&table(vec![tenant("t", &["a", "b"]), tenant("u", &["c"])]));
    let find = |key| tenants.find(&digest(key)).map(|it| tenants.get(it).name.as_str());
    assert_eq!(["a", "b", "c", "d", ""].map(find), [Some("t"), Some("t"), Some("u"), None, None]);
    assert_eq!(tenants.find_name("u"), tenants.find(&digest("c")));
}

/// Guards against keys, digests and documents in logs and messages that show a change or an error.
#[test]
fn debug_without_keys() {
    let document = r#"{"apiKeys":["secret"]}"#.to_owned();
    let table = Table { document, ..table(vec![tenant("t", &["secret"])]) };
    let bytes = bincode::serialize(&digest("secret")).unwrap();
    let text = format!("{:?}", Change::PutRoutes(Box::new(table)));
    assert!(text.contains("KeyDigest(..)") && !text.contains("secret"), "{text}");
    assert!(!text.contains(&bytes[0..4].iter().map(|it| format!("{it}, ")).collect::<String>()));
}

/// The table as previous releases encode it.
fn encode_old(table: &Table) -> Vec<u8> {
    let Table { version, document, routes, services, limits, tenants: _ } = table;
    bincode::serialize(&(version, document, routes, services, limits)).unwrap()
}

/// Guards against a control host that does not start on the log or the snapshot of the previous release, and against a
/// relay of that release that cannot read a table without tenants.
#[test]
fn decode_old() {
    let old = Table { document: "{}".into(), ..table(Vec::new()) };
    assert_eq!(bincode::serialize(&old).unwrap(), encode_old(&old));
    assert_eq!(bincode::deserialize::<Table>(&encode_old(&old)).unwrap(), old);
}

/// A log entry that puts a routing table, as written by the release before tenants (a9b2fd5).
const OLD_ENTRY: &str = "\
    0100000000000000000000000000000000090000000000000006000000070000000000000002000000000000007b7d010000\
    000000000001000000000000007201000000000000006801000000000000002f01000000f401000000000000500000000000\
    0000020000000300000001000000000000000400000000000000686572650000000001000000000000006101000000000000\
    0001000000000000006105000000060000000000000000400000000000000000040000000000b80b000000000000983a0000\
    00000000\
    ";

/// The snapshot of that release after this entry.
const OLD_TABLES: &str = "\
    0100000000000000000000000000000009000000000000000000000000000000000000000000000000000000000000000000\
    000000000000000000000000000000000000000000000000000000000000070000000000000002000000000000007b7d0100\
    00000000000001000000000000007201000000000000006801000000000000002f01000000f4010000000000005000000000\
    0000000200000003000000010000000000000004000000000000006865726500000000010000000000000061010000000000\
    000001000000000000006105000000060000000000000000400000000000000000040000000000b80b000000000000983a00\
    0000000000000000000000000001000000000000000100000000000000000000000000000000000000010000000000000001\
    0000000000000001000000000000000000000000000000\
    ";

/// The digest of that configuration in that release, which relays of both releases compare.
const OLD_DIGEST: u64 = 0x52ba_93e8_2265_b3db;

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2).map(|it| std::str::from_utf8(it).unwrap());
    digits.map(|it| u8::from_str_radix(it, 16).unwrap()).collect()
}

/// Guards against a control host that does not start on the log or the snapshot of the release before tenants.
#[test]
fn restore_old() {
    let entry: Entry = bincode::deserialize(&bytes(OLD_ENTRY)).unwrap();
    assert_eq!(bincode::serialize(&entry).unwrap(), bytes(OLD_ENTRY));
    let mut tables = Tables::default();
    tables.apply(&entry);
    let mut machine = StateMachine::default();
    machine.restore(1, &bytes(OLD_TABLES)).unwrap();
    assert_eq!(machine.tables, tables);
    let table = &tables.config.routes;
    assert_eq!((table.version, &table.document[..], table.tenants.len()), (7, "{}", 0));
    assert_eq!(table.routes[0].homes, ["here"]);
    assert_eq!(tables.config.digest(), OLD_DIGEST);
    // A table with tenants follows, and is in the snapshot.
    let routes = Table { version: 8, tenants: vec![tenant("t", &["a"])], ..table.clone() };
    let change = Change::PutRoutes(Box::new(routes.clone()));
    machine.tables.apply(&Entry { id: 2, base: None, at_ms: 10, change });
    let mut restored = StateMachine::default();
    restored.restore(2, &machine.snapshot()).unwrap();
    assert_eq!(restored.tables.config.routes, routes);
}

/// Guards against tenants and public routes that are lost in the log, in snapshots or in whole configurations.
#[test]
fn encode_tenants() {
    let mut new = table(vec![Tenant {
        priority: Some(2),
        homes: vec!["here".into()],
        ..tenant("t", &["a"])
    }]);
    let public = Route { public: true, ..crate::route("p", "/p/", crate::to("b")) };
    new.routes.push(public);
    for tenants in [new.tenants.clone(), Vec::new()] {
        let table = Table { tenants, ..new.clone() };
        let config = Config { revision: 3, routes: table.clone(), ..Config::default() };
        let bytes = bincode::serialize(&(&config, 7)).unwrap();
        assert_eq!(bincode::deserialize::<(Config, i32)>(&bytes).unwrap(), (config, 7));
        let without = Table { routes: new.routes[..1].to_vec(), ..table.clone() };
        let digest = |it: &Table| Config { routes: it.clone(), ..Config::default() }.digest();
        assert_ne!(digest(&table), digest(&without));
    }
}

fn tables() -> impl Strategy<Value = Table> {
    let tenants = prop::collection::vec((0u8..12, 0u8..2), 0..12).prop_map(|it| {
        it.into_iter().map(|(name, key)| tenant(&name.to_string(), &[&key.to_string()])).collect()
    });
    let public = prop::collection::vec(any::<bool>(), 0..4);
    (tenants, public).prop_map(|(tenants, public)| {
        let routes = public.into_iter().enumerate().map(|(i, public)| Route {
            public,
            ..crate::route(&i.to_string(), &format!("/{i}/"), crate::to("a"))
        });
        let routes = routes.collect();
        Table { routes, ..table(tenants) }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Guards against a patched copy that differs from the new table in its tenants or its public routes.
    #[test]
    fn apply_between(old in tables(), new in tables()) {
        let new = Table { version: 2, ..new };
        let patched = Patch::between(&old, &new).apply(&old).unwrap();
        let patched = match TenantPatch::between(&old, &new) {
            Some(it) => it.apply(&old, patched),
            None => Some(patched),
        };
        prop_assert_eq!(patched, Some(new));
    }
}

/// Guards against a patch that carries tenants which have not changed.
#[test]
fn patch_size() {
    let many = |last: &str| {
        let mut tenants: Vec<_> = (0..1_000).map(|it| tenant(&it.to_string(), &[])).collect();
        tenants[500].keys.push(digest(last));
        tenants
    };
    let (old, new) = (table(many("a")), Table { version: 2, ..table(many("b")) });
    let change = Change::PutRoutes(Box::new(new.clone())).for_entry_hosts(&old);
    let size = bincode::serialized_size(&change).unwrap();
    assert!(size < 300, "{size} bytes");
    let mut config = Config { routes: old, ..Config::default() };
    config.apply(&change, 1).unwrap();
    assert_eq!(config.routes, new);
    let same = Change::PutRoutes(Box::new(Table { version: 3, ..new.clone() }));
    assert!(matches!(same.for_entry_hosts(&new), Change::PatchRoutes(_)));
}

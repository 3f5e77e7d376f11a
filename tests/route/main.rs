//! Routing tables: validation, and the lookup of the route for a request.

mod document;
mod patch;
mod tenant;

use std::collections::BTreeMap;

use gentianpass::route::{
    Index, Kind, Limits, PPM_SCALE, Part, Route, Service, Shards, Table, TableError, To,
};

fn route(name: &str, prefix: &str, to: To) -> Route {
    Route {
        name: name.into(),
        host: "labels.example".into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout_ms: 500,
        objective_ms: 80,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        public: false,
        to,
    }
}

fn table(routes: Vec<Route>) -> Table {
    let services = ["a", "b"].map(|it| (it.to_owned(), Service::default()));
    Table {
        version: 1,
        document: String::new(),
        routes,
        services: BTreeMap::from(services),
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

fn to(service: &str) -> To {
    To::Service(service.into())
}

#[test]
fn check_valid() {
    let split = To::Split(vec![
        Part { service: "a".into(), weight: 1 },
        Part { service: "b".into(), weight: 0 },
    ]);
    table(vec![route("r", "/r/", to("a")), route("s", "/s/", split)]).check().unwrap();
}

#[test]
fn check_unknown_service() {
    let error = table(vec![route("r", "/", to("c"))]).check().unwrap_err();
    assert_eq!(error, TableError::UnknownService { route: "r".into(), service: "c".into() });
}

/// Guards against a route that is never used because another one has the same host in another case.
#[test]
fn check_duplicate_match_case() {
    let other = Route { host: "Labels.Example".into(), ..route("s", "/x/", to("b")) };
    let error = table(vec![route("r", "/x/", to("a")), other]).check().unwrap_err();
    assert!(matches!(error, TableError::DuplicateMatch { .. }), "{error}");
}

#[test]
fn check_duplicate_match() {
    let routes = vec![route("r", "/x/", to("a")), route("s", "/x/", to("b"))];
    assert!(matches!(table(routes).check(), Err(TableError::DuplicateMatch { .. })));
}

#[test]
fn check_zero_weight() {
    let split = To::Split(vec![Part { service: "a".into(), weight: 0 }]);
    assert!(matches!(
        table(vec![route("r", "/", split)]).check(),
        Err(TableError::ZeroWeight { .. })
    ));
}

#[test]
fn check_zero_timeout() {
    let route = Route { timeout_ms: 0, ..route("r", "/", to("a")) };
    assert!(matches!(table(vec![route]).check(), Err(TableError::ZeroTimeout { .. })));
}

#[test]
fn check_duplicate_shard() {
    let shards = Shards { services: vec!["a".into(), "a".into()], top: 1, min_coverage: 0 };
    let error = table(vec![route("r", "/", To::Shards(shards))]).check();
    assert!(matches!(error, Err(TableError::InvalidShards { .. })));
}

#[test]
fn find_longest_prefix() {
    let routes = vec![route("r", "/x/", to("a")), route("s", "/x/y/", to("b"))];
    let index = Index::new(&table(routes));
    assert_eq!(index.find("labels.example", "/x/z"), Some(0));
    assert_eq!(index.find("labels.example", "/x/y/z"), Some(1));
    assert_eq!(index.find("Labels.Example:8080", "/x/y/z"), Some(1));
    assert_eq!(index.find("labels.example", "/x"), None);
    assert_eq!(index.find("other.example", "/x/z"), None);
}

/// Guards against answers that cover less than the requested share, and against a required number of shards that is one
/// too high because of rounding.
#[test]
fn min_shards_rounds_up() {
    let min_shards = |total: usize, share: f64| {
        let services = (0..total).map(|it| it.to_string()).collect();
        let min_coverage = (share * PPM_SCALE as f64).round() as u64;
        Shards { services, top: 1, min_coverage }.min_shards()
    };
    assert_eq!(min_shards(10, 0.89), 9);
    assert_eq!(min_shards(10, 0.9), 9);
    assert_eq!(min_shards(10, 0.75), 8);
    assert_eq!(min_shards(36, 0.95), 35);
    assert_eq!(min_shards(10, 0.0), 1);
    assert_eq!(min_shards(10, 1.0), 10);
    // A product that overflows must not make the share smaller.
    assert_eq!(min_shards(2, 2f64.powi(63) / PPM_SCALE as f64), 2);
    assert_eq!(min_shards(10, f64::MAX), 10);
}

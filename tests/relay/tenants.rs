//! Requests of tenants: keys, names that targets are told, withdrawn keys and regions.

use std::time::{Duration, Instant};

use futures::{SinkExt, StreamExt};
use gentianpass::{
    route::{KeyDigest, Kind, PPM_SCALE, Route, Tenant},
    state::{Change, Config, Phase},
    wire::relay::{Delegation, Message, Reply, Sender},
};
use hyper::{Request, StatusCode, http::request::Builder};
use tokio::{net::TcpStream, time::sleep};
use tokio_util::codec::LengthDelimitedCodec;

use crate::{
    fake_control::{Answer, FakeControl, config, whole},
    support::{Behaviour, Harness, StubTarget, gather, record, single, target},
};

const KEY: &str = "key-of-one";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|it| KeyDigest::new(it.as_bytes())).collect();
    Tenant { name: name.into(), keys, ..Tenant::default() }
}

fn one() -> Tenant {
    tenant("one", &[KEY])
}

fn with_key(path: &str) -> Builder {
    Request::get(path).header("credential", KEY).header("tenant", "spoofed")
}

async fn put_tenants(harness: &Harness, tenants: Vec<Tenant>) {
    harness.control.put_tenants(tenants);
    sleep(Duration::from_millis(200)).await;
}

/// A relay with one target of the service of these routes.
async fn start(routes: Vec<Route>, tenants: Vec<Tenant>) -> (Harness, StubTarget) {
    let harness = Harness::start().await;
    let target = StubTarget::start(Behaviour::Answer(record(1))).await;
    harness.announce("a", "s", "near", target.addr);
    harness.put_routes(routes).await;
    put_tenants(&harness, tenants).await;
    (harness, target)
}

/// The tenant that each request to the target names. Fails if one has a key.
fn names(target: &StubTarget) -> Vec<Option<String>> {
    let headers = target.headers.lock();
    assert!(headers.iter().all(|it| !it.contains_key("credential")), "a target got the key");
    let name = |it: &hyper::HeaderMap| it.get("tenant").map(|it| it.to_str().unwrap().to_owned());
    headers.iter().map(name).collect()
}

fn named(count: usize) -> Vec<Option<String>> {
    vec![Some("one".to_owned()); count]
}

/// Guards against requests without a valid key that reach a target, against a target that gets the key, or that gets a name
/// from a caller.
#[tokio::test]
async fn key_checked_and_name_set() {
    let public = Route {
        name: "public".into(),
        prefix: "/public/".into(),
        public: true,
        ..single(Kind::Idempotent)
    };
    let (harness, target) = start(vec![single(Kind::Idempotent), public], vec![one()]).await;
    assert_eq!(harness.send(with_key("/one/x")).await.0, StatusCode::OK);
    assert_eq!(names(&target), named(1));
    let twice = with_key("/one/x").header("credential", "other");
    let unknown = Request::get("/one/x").header("credential", "other");
    for request in [Request::get("/one/x"), unknown, twice] {
        assert_eq!(harness.send(request).await.0, StatusCode::UNAUTHORIZED);
    }
    assert_eq!(harness.get("/none/x").await.0, StatusCode::NOT_FOUND);
    assert_eq!(target.request_count(), 1);
    assert_eq!(harness.send(with_key("/public/x")).await.0, StatusCode::OK);
    assert_eq!(names(&target)[1], None);
}

/// Guards against headers that change where there are no tenants.
#[tokio::test]
async fn no_tenants_headers_forwarded() {
    let (harness, target) = start(vec![single(Kind::Idempotent)], Vec::new()).await;
    assert_eq!(harness.send(with_key("/one/x")).await.0, StatusCode::OK);
    let headers = target.headers.lock();
    assert_eq!([&headers[0]["credential"], &headers[0]["tenant"]], [KEY, "spoofed"]);
}

/// Guards against a retry or a hedge that carries the key, or no name.
#[tokio::test]
async fn name_on_retry_and_hedge() {
    for behaviour in [Behaviour::Fail, Behaviour::Silent] {
        let (harness, first) = start(vec![single(Kind::Idempotent)], vec![one()]).await;
        *first.behaviour.lock() = behaviour.clone();
        let second = StubTarget::start(behaviour).await;
        harness.announce("b", "s", "near", second.addr);
        sleep(Duration::from_millis(200)).await;
        harness.send(with_key("/one/x")).await;
        assert_eq!([names(&first), names(&second)].concat(), named(2));
    }
}

/// Guards against a delegate that does not know the tenant, or that is told the key.
#[tokio::test]
async fn name_on_delegated() {
    let harness = Harness::start().await;
    let mut targets = Vec::new();
    for (service, zone) in [("a", "near"), ("b", "beside"), ("c", "beside"), ("d", "beside")] {
        let target = StubTarget::start(Behaviour::Answer(record(1))).await;
        harness.announce(service, service, zone, target.addr);
        targets.push(target);
    }
    harness.put_routes(vec![gather(&["a", "b", "c", "d"], PPM_SCALE)]).await;
    put_tenants(&harness, vec![one()]).await;
    let (_, delegate) = harness.start_second_relay().await;
    assert_eq!(harness.send(with_key("/all/x")).await.0, StatusCode::OK);
    for target in &targets {
        assert_eq!(names(target), named(1));
    }
    assert!(delegate.metrics().contains("exchanges_total{outcome=\"answered\"} 3"));
}

/// Guards against a delegate that trusts a header or a name, or takes over a key that its own table does not have.
#[tokio::test]
async fn delegate_refuses_unknown_sender() {
    let (harness, target) = start(vec![gather(&["s"], PPM_SCALE)], vec![one()]).await;
    let delegation = || {
        let headers = [("host", "labels.example"), ("tenant", "one"), ("credential", KEY)];
        let headers = headers.map(|(name, it)| (name.to_owned(), it.as_bytes().to_vec()));
        Box::new(Delegation {
            version: 2,
            shards: vec![0],
            partial_after_us: 900_000,
            method: "GET".into(),
            uri: "/all/x".into(),
            headers: headers.to_vec(),
            body: Vec::new(),
        })
    };
    let sender = |tenant: &str, key: &str| Sender {
        tenant: tenant.into(),
        key: KeyDigest::new(key.as_bytes()),
    };
    let stream = TcpStream::connect(harness.control.rpc_addr("relay-1")).await.unwrap();
    let mut conn = LengthDelimitedCodec::builder().new_framed(stream);
    let mut send = async |message: Message| -> Reply {
        conn.send(bytes::Bytes::from(bincode::serialize(&message).unwrap())).await.unwrap();
        bincode::deserialize(&conn.next().await.unwrap().unwrap()).unwrap()
    };
    for (message, cause) in [
        (Message::Delegate(delegation()), "no_tenant"),
        (Message::DelegateFor(sender("two", KEY), delegation()), "unknown_tenant"),
        (Message::DelegateFor(sender("one", "other"), delegation()), "unknown_key"),
    ] {
        assert_eq!(send(message).await, Reply::Refused(cause.into()));
    }
    assert_eq!(target.request_count(), 0);
    let accepted = send(Message::DelegateFor(sender("one", KEY), delegation())).await;
    assert_eq!(accepted, Reply::Accepted);
    harness.wait_until(|| target.request_count() == 1).await;
    assert_eq!(names(&target), named(1));
}

/// Guards against a tenant whose priority does not count, or counts after that of the route.
#[tokio::test]
async fn priority_of_tenant_first() {
    let urgent = Tenant { priority: Some(0), ..tenant("two", &["urgent"]) };
    let (harness, target) = start(vec![single(Kind::AtMostOnce)], vec![one(), urgent]).await;
    *target.behaviour.lock() = Behaviour::Slow(Duration::from_millis(250), record(1));
    harness.limit_connections(1);
    sleep(Duration::from_millis(200)).await;
    let send = async |delay_ms: u64, key: &str| {
        sleep(Duration::from_millis(delay_ms)).await;
        harness.send(Request::get("/one/x").header("credential", key)).await.0
    };
    let statuses = tokio::join!(send(0, KEY), send(60, KEY), send(120, "urgent"));
    assert_eq!(statuses, (StatusCode::OK, StatusCode::OK, StatusCode::OK));
    let order: Vec<_> = names(&target).into_iter().flatten().collect();
    assert_eq!(order, ["one", "two", "one"]);
}

/// Guards against a withdrawn key that goes on working on an open connection, for a request that waits, or after another
/// tenant has got it.
#[tokio::test]
async fn withdrawn_key_ends_requests() {
    let (harness, busy) = start(vec![single(Kind::AtMostOnce)], vec![one()]).await;
    // All places of the target are taken, so that the next request waits.
    *busy.behaviour.lock() = Behaviour::Slow(Duration::from_millis(900), record(1));
    harness.limit_connections(1);
    sleep(Duration::from_millis(200)).await;
    let first = harness.send(with_key("/one/x"));
    let second = async {
        sleep(Duration::from_millis(100)).await;
        harness.send(with_key("/one/y")).await
    };
    let withdraw = async {
        sleep(Duration::from_millis(200)).await;
        harness.control.put_tenants(vec![tenant("one", &["new"]), tenant("two", &[KEY])]);
    };
    let (first, second, ()) = tokio::join!(first, second, withdraw);
    assert_eq!((first.0, second.0), (StatusCode::OK, StatusCode::UNAUTHORIZED));
    assert_eq!(busy.request_count(), 1);
    put_tenants(&harness, vec![tenant("one", &["new"])]).await;
    assert_eq!(harness.send(with_key("/one/x")).await.0, StatusCode::UNAUTHORIZED);
}

/// Guards against shards that are sent, or a status that leaves open whether they were, after the key was withdrawn.
#[tokio::test]
async fn withdrawn_key_ends_shards() {
    let harness = Harness::start().await;
    let busy = StubTarget::start(Behaviour::Slow(Duration::from_millis(900), record(1))).await;
    for service in ["s", "b"] {
        harness.announce(service, service, "near", busy.addr);
    }
    harness.put_routes(vec![single(Kind::Idempotent), gather(&["s", "b"], PPM_SCALE)]).await;
    harness.limit_connections(1);
    put_tenants(&harness, vec![one()]).await;
    let withdraw = async {
        sleep(Duration::from_millis(300)).await;
        harness.control.put_tenants(vec![tenant("two", &["new"])]);
    };
    let waiting = async {
        sleep(Duration::from_millis(150)).await;
        let started = Instant::now();
        (harness.send(with_key("/all/y")).await.0, started.elapsed())
    };
    let first = harness.send(with_key("/all/x"));
    let (first, (second, took), ()) = tokio::join!(first, waiting, withdraw);
    assert_eq!((first.0, second), (StatusCode::OK, StatusCode::UNAUTHORIZED));
    assert!(took < Duration::from_millis(600), "{took:?}");
    assert_eq!(busy.request_count(), 2);
}

/// Guards against 401 for a key that a newer configuration may have, and against requests with a withdrawn key at hosts that
/// are cut off, where the settings forbid it.
#[tokio::test]
async fn unconfirmed_configuration() {
    let target_server = StubTarget::start(Behaviour::Answer(record(1))).await;
    let mut first: Config = config(5, 1, vec![single(Kind::Idempotent)]);
    first.routes.tenants = vec![one()];
    first.targets.insert("a".into(), target("a", "s", "near", target_server.addr));
    assert_eq!(first.targets["a"].phase, Phase::Serving);
    for revoke_everywhere in [false, true] {
        let answered = first.clone();
        let (control, addr) = FakeControl::start(move |poll| match poll.revision {
            5 => Answer::Unchanged,
            _ => whole(&answered),
        })
        .await;
        let harness = Harness::start_with(|it| {
            it.control = vec![addr];
            it.max_config_age = Duration::from_millis(2_500);
            it.revoke_age = Duration::from_millis(2_500);
            it.revoke_everywhere = revoke_everywhere;
        })
        .await;
        harness.wait_until(|| harness.relay.is_ready()).await;
        assert_eq!(harness.send(with_key("/one/x")).await.0, StatusCode::OK);
        assert_eq!(harness.get("/one/x").await.0, StatusCode::UNAUTHORIZED);
        control.set_script(|_| Answer::TooLarge);
        sleep(Duration::from_millis(3_500)).await;
        let (status, headers, body) = harness.get("/one/x").await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(headers.contains_key("retry-after") && body == "config_unconfirmed");
        let (status, headers, _) = harness.send(with_key("/one/x")).await;
        let refused = (StatusCode::SERVICE_UNAVAILABLE, true);
        let expected = if revoke_everywhere { refused } else { (StatusCode::OK, false) };
        assert_eq!((status, headers.contains_key("retry-after")), expected);
    }
}

/// Guards against a target in a region that the route or the tenant excludes, and against a wait for one.
#[tokio::test]
async fn regions_of_route_and_tenant() {
    let homes = |names: &[&str]| names.iter().map(|it| (*it).to_owned()).collect::<Vec<_>>();
    let route = Route { homes: homes(&["here", "there"]), ..single(Kind::Idempotent) };
    let (harness, near) = start(vec![route], vec![one()]).await;
    let far = StubTarget::start(Behaviour::Answer(record(2))).await;
    harness.announce("b", "s", "far", far.addr);
    put_tenants(&harness, vec![Tenant { homes: homes(&["there"]), ..one() }]).await;
    assert_eq!(harness.send(with_key("/one/x")).await.0, StatusCode::OK);
    assert_eq!((near.request_count(), far.request_count()), (0, 1));
    for (excluded, cause) in [("elsewhere", "no_common_region"), ("there", "no_target")] {
        put_tenants(&harness, vec![Tenant { homes: homes(&[excluded]), ..one() }]).await;
        harness.control.apply(Change::RemoveTarget { name: "b".into(), incarnation: 1 });
        sleep(Duration::from_millis(200)).await;
        let started = Instant::now();
        let (status, headers, body) = harness.send(with_key("/one/x")).await;
        assert_eq!((status, &body[..]), (StatusCode::SERVICE_UNAVAILABLE, cause.as_bytes()));
        assert!(headers.contains_key("retry-after"));
        assert!(started.elapsed() < Duration::from_millis(300), "{:?}", started.elapsed());
    }
    assert_eq!(near.request_count(), 0);
}

//! Quotas of tenants: who is asked, what callers receive and what reaches the targets.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{SinkExt, StreamExt, future::join_all};
use gentianpass::{
    policy::{self, ownership},
    route::{KeyDigest, Kind, Tenant},
    state::{Change, Node},
    wire::relay::{Message, QuotaReply, QuotaRequest, QuotaRole, Reply},
};
use hyper::{HeaderMap, Request, StatusCode};
use parking_lot::Mutex;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::support::{Behaviour, Harness, StubTarget, single};

const KEY: &str = "k";

/// A relay grants after it has been a confirmed member for 2.5 s.
const TENURE: Duration = policy::quota::TENURE.saturating_add(Duration::from_secs(1));

/// A relay that answers requests for tokens from a script.
struct FakeGranter {
    addr: SocketAddr,
    requests: Arc<Mutex<Vec<QuotaRequest>>>,
    /// The next answers are as this one; none if it is silent.
    answer: Arc<Mutex<Option<QuotaReply>>>,
}

fn granted(tokens: u32, wait_ms: u64) -> Option<QuotaReply> {
    Some(QuotaReply::Granted { id: 1, tokens, lease_us: 1_000_000, wait_us: wait_ms * 1_000 })
}

impl FakeGranter {
    async fn start(answer: Option<QuotaReply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let granter = Self {
            addr: listener.local_addr().unwrap(),
            requests: Arc::default(),
            answer: Arc::new(Mutex::new(answer)),
        };
        let (requests, answer) = (granter.requests.clone(), granter.answer.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (requests, answer) = (requests.clone(), answer.clone());
                tokio::spawn(async move {
                    let mut conn = Framed::new(stream, LengthDelimitedCodec::new());
                    while let Some(Ok(bytes)) = conn.next().await {
                        let message: Message = bincode::deserialize(&bytes).unwrap();
                        let Some(answer) = answer.lock().clone() else { continue };
                        let reply = match message {
                            Message::Quota(it) => {
                                requests.lock().push(it);
                                Reply::Quota(answer)
                            }
                            _ => Reply::Accepted,
                        };
                        let bytes = Bytes::from(bincode::serialize(&reply).unwrap());
                        conn.send(bytes).await.unwrap();
                    }
                });
            }
        });
        granter
    }

    fn asked(&self) -> Vec<QuotaRequest> {
        self.requests.lock().iter().filter(|it| it.needed > 0).cloned().collect()
    }
}

/// A tenant whose owner and deputy are these relays.
fn tenant(ranked: [&str; 2], rate_millis: u64, burst: u64) -> Tenant {
    let names = ["relay-1", "relay-2", "relay-3"];
    let is_ranked = |name: &String| {
        let mut all = names;
        all.sort_by_key(|it| std::cmp::Reverse(ownership::weight(name, it)));
        all[..2] == ranked
    };
    let name = (0..).map(|it| format!("tenant-{it}")).find(is_ranked).unwrap();
    Tenant {
        name,
        keys: vec![KeyDigest::new(KEY.as_bytes())],
        rate_millis,
        burst,
        ..Tenant::default()
    }
}

async fn start(tenant: Tenant) -> (Harness, StubTarget) {
    let harness = Harness::start().await;
    let target = StubTarget::start(Behaviour::Answer(b"x".to_vec())).await;
    harness.announce("a", "s", "near", target.addr);
    harness.put_routes(vec![single(Kind::Idempotent)]).await;
    harness.control.put_tenants(vec![tenant]);
    sleep(Duration::from_millis(200)).await;
    (harness, target)
}

/// Adds two relays to the configuration, the owner and the deputy of the tenant.
async fn start_with_granters(tenant: Tenant) -> (Harness, StubTarget, [FakeGranter; 2]) {
    let (harness, target) = start(tenant).await;
    let granters =
        [FakeGranter::start(granted(1, 0)).await, FakeGranter::start(granted(1, 0)).await];
    for (name, it) in ["relay-2", "relay-3"].into_iter().zip(&granters) {
        let (name, zone, rpc) = (name.to_owned(), "beside".to_owned(), it.addr);
        let node = Node { name, incarnation: 1, http: rpc, rpc, zone, leaving: false };
        harness.control.apply(Change::PutNode(node));
    }
    sleep(Duration::from_millis(200)).await;
    (harness, target, granters)
}

async fn get(harness: &Harness) -> (StatusCode, HeaderMap) {
    let (status, headers, _) = harness.send(Request::get("/one/x").header("credential", KEY)).await;
    (status, headers)
}

fn retry_after(headers: &HeaderMap) -> f64 {
    headers["retry-after"].to_str().unwrap().parse().unwrap()
}

/// Guards against requests above the limit that are held or reach a target, and against a message for a tenant without a
/// limit or for tokens that are here.
#[tokio::test]
async fn admit_asks_owner_when_limited() {
    let ranked = ["relay-2", "relay-3"];
    let unlimited = Tenant { rate_millis: 0, ..tenant(ranked, 0, 5) };
    let (harness, target, [owner, deputy]) = start_with_granters(unlimited).await;
    assert_eq!(get(&harness).await.0, StatusCode::OK);
    assert!(owner.asked().is_empty(), "no message without a limit");

    harness.control.put_tenants(vec![tenant(ranked, 10_000, 5)]);
    sleep(Duration::from_millis(200)).await;
    *owner.answer.lock() = granted(3, 0);
    for _ in 0..3 {
        assert_eq!(get(&harness).await.0, StatusCode::OK);
    }
    let asked = owner.asked();
    assert_eq!((asked.len(), asked[0].needed, asked[0].role), (1, 1, QuotaRole::Owner));

    *owner.answer.lock() = granted(0, 1_500);
    let (start, sent) = (Instant::now(), target.request_count());
    let (status, headers) = get(&harness).await;
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS);
    assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
    let wait = retry_after(&headers);
    assert!((1.5..=3.0).contains(&wait), "{wait}");
    assert_eq!(headers["request-id"], "q-1");
    assert_eq!(get(&harness).await.0, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(owner.asked().len(), 2, "not asked again before a token is expected");
    assert_eq!(target.request_count(), sent);
    assert!(deputy.asked().is_empty());
}

/// Guards against a message for each request of a burst.
#[tokio::test]
async fn waiters_share_answer() {
    let (harness, target, [owner, _]) =
        start_with_granters(tenant(["relay-2", "relay-3"], 10_000, 50)).await;
    *owner.answer.lock() = granted(100, 0);
    let answers = join_all((0..40).map(|_| get(&harness))).await;
    assert!(answers.iter().all(|it| it.0 == StatusCode::OK));
    assert_eq!((owner.asked().len(), target.request_count()), (1, 40));
}

#[tokio::test]
async fn unused_tokens_returned() {
    let (harness, _target, [owner, _]) =
        start_with_granters(tenant(["relay-2", "relay-3"], 10_000, 5)).await;
    *owner.answer.lock() = granted(4, 0);
    assert_eq!(get(&harness).await.0, StatusCode::OK);
    let is_returned = || owner.requests.lock().iter().any(|it| it.returned == Some((1, 3)));
    harness.wait_until(is_returned).await;
    assert_eq!(get(&harness).await.0, StatusCode::OK);
    assert_eq!(owner.asked().len(), 2, "returned tokens are not used");
}

#[tokio::test]
async fn silent_owner_replaced_by_deputy() {
    let (harness, target, [owner, deputy]) =
        start_with_granters(tenant(["relay-2", "relay-3"], 10_000, 5)).await;
    *owner.answer.lock() = None;
    let start = Instant::now();
    assert_eq!(get(&harness).await.0, StatusCode::OK);
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    assert_eq!((deputy.asked()[0].role, target.request_count()), (QuotaRole::Deputy, 1));
}

/// Guards against an owner without the table, or that is not sure of its role, whose refusal counts as the tenant's.
#[tokio::test]
async fn unready_owner_replaced_by_deputy() {
    let (harness, _target, [owner, deputy]) =
        start_with_granters(tenant(["relay-2", "relay-3"], 10_000, 5)).await;
    *owner.answer.lock() = Some(QuotaReply::NotReady);
    assert_eq!(get(&harness).await.0, StatusCode::OK);
    assert_eq!((owner.asked().len(), deputy.asked().len()), (1, 1));
}

#[tokio::test]
async fn no_granter_refused_as_not_run() {
    let (harness, target, [owner, deputy]) =
        start_with_granters(tenant(["relay-2", "relay-3"], 10_000, 5)).await;
    (*owner.answer.lock(), *deputy.answer.lock()) = (None, None);
    let (status, headers) = get(&harness).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(retry_after(&headers) >= 0.25);
    assert_eq!(target.request_count(), 0);
}

/// Guards against a relay that grants to itself before an earlier owner has stopped, and against a lowered limit that
/// is not in force.
#[tokio::test]
async fn own_bucket_follows_table() {
    let tenant_at = |rate_millis, burst| tenant(["relay-1", "relay-2"], rate_millis, burst);
    let (harness, target) = start(tenant_at(1_000_000, 100)).await;
    assert_eq!(get(&harness).await.0, StatusCode::SERVICE_UNAVAILABLE);
    sleep(TENURE).await;
    for _ in 0..50 {
        assert_eq!(get(&harness).await.0, StatusCode::OK);
    }
    harness.control.put_tenants(vec![tenant_at(1_000, 1)]);
    sleep(Duration::from_millis(200)).await;
    let sent = target.request_count();
    let mut refused = 0;
    for _ in 0..40 {
        refused += usize::from(get(&harness).await.0 == StatusCode::TOO_MANY_REQUESTS);
    }
    // The bucket holds the burst of 1 and the margin of 10 tokens, and refills slowly.
    assert!((25..=30).contains(&refused), "{refused}");
    assert_eq!(target.request_count() - sent, 40 - refused);
}

/// Two relays with one bucket: guards against a limit that holds for each relay instead of for both together.
#[tokio::test]
async fn two_relays_share_bucket() {
    let (harness, target) = start(tenant(["relay-1", "relay-2"], 20_000, 10)).await;
    let beside = harness.start_beside(|_| ()).await;
    sleep(TENURE).await;
    let start = Instant::now();
    let mut admitted = [0, 0];
    while start.elapsed() < Duration::from_secs(5) {
        let answers = join_all([&harness, &beside].map(get)).await;
        for (count, (status, _)) in admitted.iter_mut().zip(answers) {
            *count += usize::from(status == StatusCode::OK);
        }
        sleep(Duration::from_millis(5)).await;
    }
    let total = admitted[0] + admitted[1];
    // At least the rate, at most (20 * 5 + 10) * 1.1 + 20 in 5 s.
    assert!((90..=141).contains(&total), "{admitted:?}");
    assert!(admitted[1] > 0, "the relay without the bucket gets tokens: {admitted:?}");
    assert_eq!(target.request_count(), total);
}

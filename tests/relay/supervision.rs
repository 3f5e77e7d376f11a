//! What becomes of a relay whose task that follows the configuration ends, or goes on without reaching a control host.

use std::{
    future::pending,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use gentianpass::{
    error::Result,
    lab::control::{self, ControlHandler},
    relay,
    route::{Kind, Limits, Service, Table},
    state::{Change, Config, Entry, Object, ObjectKind, Reply, Tables},
    supervise::{self, Tasks},
    wire::control::{Applied, Poll, Submit, Update},
};
use hyper::StatusCode;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep, timeout},
};

use crate::support::{
    Behaviour, StubTarget, WAIT_TIMEOUT, get_from, record, settings, single, target,
};

/// A control host whose configuration has the last possible revision, and which adds a change to it once. The relay's
/// arithmetic overflows, and its task panics.
#[derive(Clone)]
struct Overflowing {
    config: Arc<Config>,
    adds_change: Arc<AtomicBool>,
    /// Whether the relay has announced that it is leaving.
    leaving: Arc<AtomicBool>,
}

impl ControlHandler for Overflowing {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        if poll.revision != self.config.revision {
            return Ok(Update::Config(Box::new(Config::clone(&self.config))));
        }
        if self.adds_change.swap(false, Ordering::SeqCst) {
            let object = Object::new(ObjectKind::Zone, "near");
            let change = Change::SetLabel { object, key: "a".into(), value: "b".into() };
            return Ok(Update::Changes(vec![Applied { revision: 0, at_ms: 2, change }]));
        }
        sleep(Duration::from_millis(poll.wait_ms.min(50))).await;
        Ok(Update::Changes(Vec::new()))
    }

    async fn submit(&self, submit: Submit) -> Result<Reply> {
        if let Change::PutNode(node) = submit.change {
            self.leaving.store(node.leaving, Ordering::SeqCst);
        }
        Ok(Reply::Applied { revision: self.config.revision })
    }
}

fn overflowing(target: gentianpass::state::Target) -> Overflowing {
    let table = Table {
        version: 1,
        document: String::new(),
        routes: vec![single(Kind::Idempotent)],
        services: [("s".to_owned(), Service { max_connections: 64, cold_millis_per_s: 0 })].into(),
        limits: Limits::default(),
        tenants: Vec::new(),
    };
    let mut tables = Tables::default();
    for change in [Change::PutRoutes(Box::new(table)), Change::PutTarget(target)] {
        let base = Some(tables.config.operator_revision);
        let reply = tables.apply(&Entry { id: rand::random(), base, at_ms: 1, change });
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }
    tables.config.revision = u64::MAX;
    Overflowing {
        config: Arc::new(tables.config),
        adds_change: Arc::default(),
        leaving: Arc::default(),
    }
}

/// Guards against a relay that stays ready and serves its last configuration for ever after the task that follows the
/// configuration has panicked. It must stop like after SIGTERM: the running request is answered, and the control hosts
/// learn that the relay is leaving.
#[tokio::test]
async fn polling_panics_relay_stops() {
    let slow = Behaviour::Slow(Duration::from_millis(700), record(1));
    let stub = StubTarget::start(slow).await;
    let handler = overflowing(target("a", "s", "near", stub.addr));
    let control = control::serve(handler.clone()).await.unwrap();
    let settings = settings("relay-1", "near", control).await;
    let (addr, grace) = (settings.listen, settings.grace_period);
    let host = relay::create(settings);
    let running = tokio::spawn(relay::run(host.clone()));
    let ready = async {
        while !host.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(WAIT_TIMEOUT, ready).await.expect("the relay is not ready");
    let request = tokio::spawn(async move { get_from(addr, "/one/x").await.0 });
    sleep(Duration::from_millis(200)).await;
    handler.adds_change.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let result = timeout(4 * grace, running).await;
    let result = result.unwrap_or_else(|_| panic!("runs on, ready: {}", host.is_ready()));
    let error = result.unwrap().expect_err("an error").to_string();
    assert!(error.contains("overflow"), "{error}");
    assert!(start.elapsed() < grace + Duration::from_secs(1), "{:?}", start.elapsed());
    assert_eq!(request.await.unwrap(), StatusCode::OK);
    assert!(handler.leaving.load(Ordering::SeqCst), "the relay was not registered as leaving");
}

/// Guards against a relay that goes on with a task that is stuck, beside a sound one.
#[tokio::test]
async fn stuck_task_relay_stops() {
    let stub = StubTarget::start(Behaviour::Answer(record(1))).await;
    let control = control::serve(overflowing(target("a", "s", "near", stub.addr))).await.unwrap();
    let settings = settings("relay-1", "near", control).await;
    let grace = settings.grace_period;
    let mut tasks = Tasks::default();
    tasks.spawn("never", pending::<()>());
    let stuck = supervise::watch("never", Duration::from_millis(50), || 0, 10);
    tasks.spawn("watchdog", async { Err::<(), _>(stuck.await) });
    let running = relay::run_with(relay::create(settings), tasks);
    let result = timeout(4 * grace, running).await.expect("runs on");
    let error = result.expect_err("an error").to_string();
    assert!(error.contains("task never has made no progress"), "{error}");
}

/// Guards against a relay that ends because its control hosts are gone: no other process on its machine would reach them
/// either. One of them refuses connections, the others accept them and do not answer.
#[tokio::test]
async fn control_hosts_gone_relay_runs() {
    let refused = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let mut settings = settings("relay-1", "near", refused).await;
    let mut silent = Vec::new();
    for _ in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        settings.control.push(listener.local_addr().unwrap());
        silent.push(listener);
    }
    let running = relay::run(relay::create(settings));
    let ended = timeout(Duration::from_secs(15), running).await;
    assert!(ended.is_err(), "the relay has ended: {ended:?}");
}

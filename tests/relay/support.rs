//! A relay in this process between a stand-in control host and stand-in targets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use gentianpass::{
    error::Result,
    lab::control::{self, ControlHandler},
    relay::{self, Headers, SERVICE_LABEL, Settings},
    route::{Kind, Limits, Route, Service, Shards, Table, To},
    state::{Change, Config, Entry, Phase, Reply, Tables, Target},
    wire::control::{Poll, Submit, Update},
};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode, body::Incoming, client::conn::http1 as client,
    header::HeaderName, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::sleep,
};

/// How long a test waits for something that takes milliseconds on an idle machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a stand-in target does with requests.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with this body.
    Answer(Vec<u8>),
    /// Answers with this body after this time.
    Slow(Duration, Vec<u8>),
    /// Never answers.
    Silent,
    /// Closes the connection after it has read the request.
    Disconnect,
    /// Says that it did not run the request.
    Shed,
    /// Is another process than the one expected.
    WrongProcess,
    /// Crashes: closes all connections and listens no more.
    Crash,
    /// Fails.
    Fail,
    /// Answers with the id of another request.
    WrongRequest,
}

/// A stand-in target.
pub struct Server {
    pub addr: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub requests: Arc<AtomicUsize>,
    pub headers: Arc<Mutex<Vec<HeaderMap>>>,
    connections: Arc<AtomicUsize>,
}

impl Server {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            requests: Arc::default(),
            headers: Arc::default(),
            connections: Arc::default(),
        };
        let connections = server.connections.clone();
        let (behaviour, requests) = (server.behaviour.clone(), server.requests.clone());
        let headers = server.headers.clone();
        tokio::spawn(async move {
            let crashed = Arc::new(Notify::new());
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    () = crashed.notified() => break,
                };
                let crashed = crashed.clone();
                let behaviour = behaviour.clone();
                let (requests, headers) = (requests.clone(), headers.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    requests.fetch_add(1, Ordering::SeqCst);
                    headers.lock().push(request.headers().clone());
                    let behaviour = behaviour.lock().clone();
                    if matches!(behaviour, Behaviour::Crash) {
                        crashed.notify_one();
                    }
                    async move { respond(behaviour, &request).await }
                });
                let connections = connections.clone();
                tokio::spawn(async move {
                    connections.fetch_add(1, Ordering::SeqCst);
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                    connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn served(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn respond(
    behaviour: Behaviour,
    request: &Request<Incoming>,
) -> std::io::Result<Response<Full<Bytes>>> {
    let id = request.headers().get("request-id").cloned();
    let mut response = Response::new(Full::default());
    let signature = format!("signature-of-{}", request.headers()["expected"].to_str().unwrap());
    match behaviour {
        Behaviour::Answer(body) => *response.body_mut() = Full::new(body.into()),
        Behaviour::Slow(time, body) => {
            sleep(time).await;
            *response.body_mut() = Full::new(body.into());
        }
        Behaviour::Silent => std::future::pending().await,
        Behaviour::Disconnect | Behaviour::Crash => {
            return Err(std::io::Error::other("disconnect"));
        }
        Behaviour::Shed => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("not-run", "1".parse().unwrap());
            return Ok(response);
        }
        Behaviour::WrongProcess => {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(response);
        }
        Behaviour::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Behaviour::WrongRequest => {
            response.headers_mut().insert("request-id", "another".parse().unwrap());
        }
    }
    let headers = response.headers_mut();
    headers.insert("signature", signature.parse().unwrap());
    if let Some(id) = id {
        headers.entry("request-id").or_insert(id);
    }
    Ok(response)
}

/// A stand-in control host that applies changes without consensus.
#[derive(Clone)]
pub struct Control {
    tables: Arc<Mutex<Tables>>,
    /// The host that gets no updates any more.
    stopped: Arc<Mutex<Option<String>>>,
    revision: watch::Sender<u64>,
}

impl Control {
    /// Tells this host about no further changes.
    pub fn stop_updates_of(&self, name: &str) {
        *self.stopped.lock() = Some(name.to_owned());
    }

    /// The address of a host for other hosts.
    pub fn rpc_of(&self, name: &str) -> SocketAddr {
        self.tables.lock().config.nodes[name].rpc
    }

    pub fn apply(&self, change: Change) -> Reply {
        let mut tables = self.tables.lock();
        let base = Some(tables.config.operator_revision);
        let reply = tables.apply(&Entry { id: rand::random(), base, at_ms: 1, change });
        self.revision.send_replace(tables.config.revision);
        reply
    }
}

impl ControlHandler for Control {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let newer = tokio::time::timeout(Duration::from_millis(poll.wait_ms), newer).await.is_ok();
        if !newer || self.stopped.lock().as_ref() == Some(&poll.node) {
            return Ok(Update::Changes(Vec::new()));
        }
        let config: Config = self.tables.lock().config.clone();
        Ok(Update::Config(Box::new(config)))
    }

    async fn submit(&self, submit: Submit) -> Result<Reply> {
        Ok(self.apply(submit.change))
    }
}

/// A relay and the stand-ins around it.
pub struct Bench {
    pub addr: SocketAddr,
    pub control: Control,
    control_addr: SocketAddr,
    pub relay: Arc<relay::Host>,
}

impl Bench {
    pub async fn start() -> Self {
        Self::start_with(|_| ()).await
    }

    /// Starts a relay with changed settings.
    pub async fn start_with(change: impl FnOnce(&mut Settings)) -> Self {
        let control = Control {
            tables: Arc::default(),
            stopped: Arc::default(),
            revision: watch::Sender::new(0),
        };
        let control_addr = control::serve(control.clone()).await.unwrap();
        let (addr, relay) = start_relay("relay-1", "near", control_addr, change).await;
        let bench = Self { addr, control, control_addr, relay };
        bench.until(|| std::net::TcpStream::connect(addr).is_ok()).await;
        bench
    }

    /// Starts another relay and waits until this one knows it.
    pub async fn start_beside(&self) -> (SocketAddr, Arc<relay::Host>) {
        let started = start_relay("relay-2", "beside", self.control_addr, |_| ()).await;
        let known = || self.control.tables.lock().config.nodes.contains_key("relay-2");
        self.until(known).await;
        self.until(|| started.1.is_ready()).await;
        sleep(Duration::from_millis(200)).await;
        started
    }

    /// Announces a target of a service.
    pub fn announce(&self, name: &str, service: &str, zone: &str, addr: SocketAddr) {
        self.control.apply(Change::PutTarget(target(name, service, zone, addr)));
    }

    /// Puts routes in force and waits until requests are routed.
    pub async fn route(&self, routes: Vec<Route>) {
        self.route_with(routes, &Service { max_connections: 64, cold_millis_per_s: 0 }).await;
    }

    /// Like [`Self::route`], with these settings of each service.
    pub async fn route_with(&self, routes: Vec<Route>, service: &Service) {
        let services = routes.iter().flat_map(Route::services);
        let services = services.map(|it| (it.to_owned(), service.clone())).collect();
        let version = self.control.tables.lock().config.routes.version + 1;
        let limits = Limits::default();
        let table = Table { version, document: String::new(), routes, services, limits };
        self.control.apply(Change::PutRoutes(Box::new(table)));
        self.until(|| self.relay.is_ready()).await;
        // The first view may be older than the last announcement.
        sleep(Duration::from_millis(200)).await;
    }

    pub async fn get(&self, path: &str) -> (StatusCode, HeaderMap, Bytes) {
        self.send(Request::get(path)).await
    }

    pub async fn send(
        &self,
        request: hyper::http::request::Builder,
    ) -> (StatusCode, HeaderMap, Bytes) {
        let stream = TcpStream::connect(self.addr).await.unwrap();
        let (mut sender, conn) = client::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(conn);
        let request = request
            .header("host", "labels.example")
            .header("request-id", "q-1")
            .header("deadline", "3000");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let response = sender.send_request(request).await.unwrap();
        let (head, body) = response.into_parts();
        (head.status, head.headers, body.collect().await.unwrap().to_bytes())
    }

    pub async fn until(&self, condition: impl Fn() -> bool) {
        let waiting = async {
            while !condition() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, waiting).await.expect("in time");
    }
}

async fn start_relay(
    name: &str,
    zone: &str,
    control: SocketAddr,
    change: impl FnOnce(&mut Settings),
) -> (SocketAddr, Arc<relay::Host>) {
    let (listen, listen_peers) = (free_addr().await, free_addr().await);
    let regions = [("near", "here"), ("beside", "here"), ("far", "there")];
    let mut settings = Settings {
        name: name.into(),
        zone: zone.into(),
        regions: regions.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into(),
        listen,
        listen_peers,
        control: vec![control],
        headers: headers(),
        repeat_percent: 100,
        repeat_burst: 100,
        repeat_first: 0,
        list_ttl: Duration::from_secs(1),
        grace: Duration::from_secs(2),
    };
    change(&mut settings);
    let relay = relay::start(settings);
    let running = relay.clone();
    tokio::spawn(async move { relay::run(running).await.expect("relay") });
    (listen, relay)
}

/// An address that nothing else uses: each has a loopback IP address of its own, so that a port which is free now is not
/// taken by another test before the relay listens.
async fn free_addr() -> SocketAddr {
    static USED: AtomicUsize = AtomicUsize::new(1);
    let number = USED.fetch_add(1, Ordering::SeqCst);
    let ip = [127, 1, (number / 250) as u8, (number % 250 + 1) as u8];
    TcpListener::bind(SocketAddr::from((ip, 0))).await.unwrap().local_addr().unwrap()
}

pub fn target(name: &str, service: &str, zone: &str, addr: SocketAddr) -> Target {
    Target {
        name: name.into(),
        incarnation: 1,
        addr,
        zone: zone.into(),
        labels: BTreeMap::from([(SERVICE_LABEL.to_owned(), service.to_owned())]),
        slots: 4,
        warm_up: 1,
        connections: 1,
        phase: Phase::Serving,
        holdings: Vec::new(),
    }
}

pub fn single(kind: Kind) -> Route {
    Route {
        name: "single".into(),
        host: "labels.example".into(),
        prefix: "/one/".into(),
        kind,
        timeout_ms: 3_000,
        objective_ms: 1_000,
        priority: 1,
        max_attempts: 2,
        homes: Vec::new(),
        to: To::Service("s".into()),
    }
}

pub fn gather(services: &[&str], min_coverage: u64) -> Route {
    let services = services.iter().map(|it| (*it).to_owned()).collect();
    let to = To::Shards(Shards { services, top: 3, min_coverage });
    Route { name: "gather".into(), prefix: "/all/".into(), to, ..single(Kind::Idempotent) }
}

fn headers() -> Headers {
    Headers {
        request_id: HeaderName::from_static("request-id"),
        deadline: HeaderName::from_static("deadline"),
        expected: HeaderName::from_static("expected"),
        signature: HeaderName::from_static("signature"),
        signatures: HeaderName::from_static("signatures"),
        missing: HeaderName::from_static("missing"),
        not_run: HeaderName::from_static("not-run"),
    }
}

/// A record whose order is that of `number`.
pub fn record(number: u8) -> Vec<u8> {
    vec![number; 16]
}

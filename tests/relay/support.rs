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
    lab::control::{self, Calls},
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
    sync::watch,
    time::sleep,
};

/// How long a test waits for something that takes milliseconds on an idle machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// What a stand-in target does with requests.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Answers with this body.
    Answer(Vec<u8>),
    /// Never answers.
    Silent,
    /// Closes the connection after it has read the request.
    Disconnect,
    /// Says that it did not run the request.
    Shed,
    /// Is another process than the one expected.
    WrongProcess,
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
}

impl Server {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            addr: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            requests: Arc::default(),
            headers: Arc::default(),
        };
        let (behaviour, requests) = (server.behaviour.clone(), server.requests.clone());
        let headers = server.headers.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let behaviour = behaviour.clone();
                let (requests, headers) = (requests.clone(), headers.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    requests.fetch_add(1, Ordering::SeqCst);
                    headers.lock().push(request.headers().clone());
                    let behaviour = behaviour.lock().clone();
                    async move { respond(behaviour, &request).await }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        server
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
        Behaviour::Silent => std::future::pending().await,
        Behaviour::Disconnect => return Err(std::io::Error::other("disconnect")),
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
    revision: watch::Sender<u64>,
}

impl Control {
    pub fn apply(&self, change: Change) -> Reply {
        let mut tables = self.tables.lock();
        let base = Some(tables.config.operator_revision);
        let reply = tables.apply(&Entry { id: rand::random(), base, at_ms: 1, change });
        self.revision.send_replace(tables.config.revision);
        reply
    }
}

impl Calls for Control {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        let mut revision = self.revision.subscribe();
        let newer = revision.wait_for(|it| *it != poll.revision);
        let newer = tokio::time::timeout(Duration::from_millis(poll.wait_ms), newer).await.is_ok();
        if !newer {
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
    pub relay: Arc<relay::Host>,
}

impl Bench {
    pub async fn start() -> Self {
        let control = Control { tables: Arc::default(), revision: watch::Sender::new(0) };
        let control_addr = control::serve(control.clone()).await.unwrap();
        let probe = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = probe.local_addr().unwrap();
        drop(probe);
        let relay = relay::start(Settings {
            name: "relay-1".into(),
            zone: "near".into(),
            regions: BTreeMap::from([
                ("near".to_owned(), "here".to_owned()),
                ("beside".to_owned(), "here".to_owned()),
                ("far".to_owned(), "there".to_owned()),
            ]),
            listen: addr,
            control: vec![control_addr],
            headers: headers(),
            repeat_percent: 100,
            repeat_burst: 100,
            list_ttl: Duration::from_secs(1),
            grace: Duration::from_secs(2),
        });
        tokio::spawn(relay::run(relay.clone()));
        let bench = Self { addr, control, relay };
        bench.until(|| std::net::TcpStream::connect(addr).is_ok()).await;
        bench
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

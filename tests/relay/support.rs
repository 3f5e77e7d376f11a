//! Test harness: a relay in this process with a stub control host and stub targets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use gentianpass::{
    error::Result,
    lab::control::{self, ControlHandler},
    policy::quota::Bound,
    relay::{self, Headers, SERVICE_LABEL, Settings},
    route::{Kind, Limits, Route, Service, Shards, Table, Tenant, To},
    state::{Change, Config, Entry, Phase, Reply, Tables, Target},
    wire::control::{Evidence, Poll, Submit, Update},
};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode, body::Incoming, client::conn::http1 as client,
    header::HeaderName, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, watch},
    time::sleep,
};

/// Timeout for conditions that take milliseconds on an idle machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How a stub target handles requests.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Responds with this body.
    Answer(Vec<u8>),
    /// Responds with this body after a delay.
    Slow(Duration, Vec<u8>),
    /// Never responds.
    Silent,
    /// Closes the connection after it has read the request.
    Disconnect,
    /// Refuses the request and says that it did not run.
    Shed,
    /// Responds with this body and says that it is leaving.
    Leaving(Vec<u8>),
    /// Refuses the request with this `Retry-After`, and says that it did not run.
    Busy(&'static str),
    /// Responds as a process other than the expected one.
    WrongProcess,
    /// Crashes: closes the connection and stops listening.
    Crash,
    /// Responds with an internal server error.
    Fail,
    /// Responds with the id of another request.
    WrongRequest,
}

/// An HTTP server that stands in for a target. It counts requests and records their headers.
pub struct StubTarget {
    pub addr: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub requests: Arc<AtomicUsize>,
    pub headers: Arc<Mutex<Vec<HeaderMap>>>,
    connections: Arc<AtomicUsize>,
}

impl StubTarget {
    pub async fn start(behaviour: Behaviour) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), behaviour).await
    }

    pub async fn start_at(addr: SocketAddr, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
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

    pub fn open_connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn request_count(&self) -> usize {
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
        Behaviour::Leaving(body) => {
            response.headers_mut().insert("leaving", "1".parse().unwrap());
            *response.body_mut() = Full::new(body.into());
        }
        Behaviour::Slow(time, body) => {
            sleep(time).await;
            *response.body_mut() = Full::new(body.into());
        }
        Behaviour::Silent => std::future::pending().await,
        Behaviour::Disconnect | Behaviour::Crash => {
            return Err(std::io::Error::other("disconnect"));
        }
        Behaviour::Shed | Behaviour::Busy(_) => {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            let headers = response.headers_mut();
            headers.insert("not-run", "1".parse().unwrap());
            if let Behaviour::Busy(seconds) = behaviour {
                headers.insert("retry-after", seconds.parse().unwrap());
            }
            headers.extend(id.map(|it| (HeaderName::from_static("request-id"), it)));
            return Ok(response);
        }
        Behaviour::WrongProcess => {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            let headers = response.headers_mut();
            headers.extend(id.map(|it| (HeaderName::from_static("request-id"), it)));
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

/// What a scripted target does next.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes.
    Send(Vec<u8>),
    /// Sends these bytes again and again, after this pause each time, until the relay closes the connection.
    Endless(Duration, Vec<u8>),
    Pause(Duration),
    /// Closes the connection with a reset.
    Reset,
    /// Closes the connection in the regular way.
    Close,
}

/// A target that answers with bytes of a script, for responses that no HTTP server would send.
pub struct ScriptedTarget {
    pub addr: SocketAddr,
    pub connections: Arc<AtomicUsize>,
    pub requests: Arc<AtomicUsize>,
    /// Endless responses that the relay has ended.
    pub ended: Arc<AtomicUsize>,
}

impl ScriptedTarget {
    /// `script` gets the id of a request and its number, from 0.
    pub async fn start(script: impl Fn(&str, usize) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            addr: listener.local_addr().unwrap(),
            connections: Arc::default(),
            requests: Arc::default(),
            ended: Arc::default(),
        };
        let (connections, requests) = (target.connections.clone(), target.requests.clone());
        let (ended, script) = (target.ended.clone(), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, ended, script) = (requests.clone(), ended.clone(), script.clone());
                tokio::spawn(async move {
                    let mut stream = stream;
                    while let Some(id) = read_request_id(&mut stream).await {
                        let number = requests.fetch_add(1, Ordering::SeqCst);
                        if !play(&mut stream, script(&id, number), &ended).await {
                            return;
                        }
                    }
                });
            }
        });
        target
    }
}

/// Reads a request without a body. `None` if the connection has ended.
async fn read_request_id(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let id = head.lines().find_map(|it| it.strip_prefix("request-id: "));
    Some(id.unwrap_or_default().to_owned())
}

/// Returns whether the connection stays open.
async fn play(stream: &mut TcpStream, steps: Vec<Step>, ended: &AtomicUsize) -> bool {
    for step in steps {
        match step {
            Step::Send(bytes) => stream.write_all(&bytes).await.unwrap_or_default(),
            Step::Endless(pause, bytes) => {
                while stream.write_all(&bytes).await.is_ok() {
                    sleep(pause).await;
                }
                ended.fetch_add(1, Ordering::SeqCst);
                return false;
            }
            Step::Pause(time) => sleep(time).await,
            Step::Reset => {
                let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                return false;
            }
            Step::Close => return false,
        }
    }
    true
}

/// A complete response with this id, if any, and body.
pub fn response_bytes(id: Option<&str>, body: &[u8]) -> Vec<u8> {
    let id = id.map_or(String::new(), |it| format!("request-id: {it}\r\n"));
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nsignature: s\r\n{id}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// A control host without consensus: it applies changes at once.
#[derive(Clone)]
pub struct StubControl {
    tables: Arc<Mutex<Tables>>,
    /// The host that gets no more updates.
    stopped: Arc<Mutex<Option<String>>>,
    /// Whether submitted changes get no response.
    submissions_hang: Arc<AtomicBool>,
    /// How long it takes until submitted changes are applied.
    submission_delay: Arc<Mutex<Duration>>,
    /// Whether polls get no response.
    polls_hang: Arc<AtomicBool>,
    /// The host whose polls get no response.
    unanswered: Arc<Mutex<Option<String>>>,
    /// The last evidence of each relay.
    evidence: Arc<Mutex<BTreeMap<String, Evidence>>>,
    revision: watch::Sender<u64>,
    started_at: Instant,
}

impl StubControl {
    /// Withholds all further changes from this host.
    pub fn stop_updates_to(&self, name: &str) {
        *self.stopped.lock() = Some(name.to_owned());
    }

    /// From now on, submitted changes get no response.
    pub fn hang_submissions(&self) {
        self.submissions_hang.store(true, Ordering::SeqCst);
    }

    /// From now on, submitted changes are applied after this time.
    pub fn delay_submissions(&self, delay: Duration) {
        *self.submission_delay.lock() = delay;
    }

    /// From now on, polls get no response, or get one again.
    pub fn hang_polls(&self, hang: bool) {
        self.polls_hang.store(hang, Ordering::SeqCst);
    }

    /// From now on, polls of this host get no response.
    pub fn hang_polls_of(&self, name: &str) {
        *self.unanswered.lock() = Some(name.to_owned());
    }

    /// The last evidence of a relay.
    pub fn evidence(&self, name: &str) -> Option<Evidence> {
        self.evidence.lock().get(name).cloned()
    }

    /// The configuration.
    pub fn config(&self) -> Config {
        self.tables.lock().config.clone()
    }

    /// The targets that are in service.
    pub fn serving_targets(&self) -> Vec<String> {
        let tables = self.tables.lock();
        let serving = tables.config.targets.values().filter(|it| it.phase == Phase::Serving);
        serving.map(|it| it.name.clone()).collect()
    }

    /// The address at which a relay listens to other relays.
    pub fn rpc_addr(&self, name: &str) -> SocketAddr {
        self.tables.lock().config.nodes[name].rpc
    }

    /// The process of a relay that is registered.
    pub fn incarnation(&self, name: &str) -> u64 {
        self.tables.lock().config.nodes[name].incarnation
    }

    /// Adds a copy of the first route under another prefix.
    pub fn add_route(&self, prefix: &str) {
        let mut table = self.tables.lock().config.routes.clone();
        table.version += 1;
        let (name, prefix) = (prefix.to_owned(), prefix.to_owned());
        let added = Route { name, prefix, ..table.routes[0].clone() };
        table.routes.push(added);
        let reply = self.apply(Change::PutRoutes(Box::new(table)));
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }

    /// Replaces the tenants.
    pub fn put_tenants(&self, tenants: Vec<Tenant>) {
        let table = self.tables.lock().config.routes.clone();
        let version = table.version + 1;
        let reply = self.apply(Change::PutRoutes(Box::new(Table { version, tenants, ..table })));
        assert!(matches!(reply, Reply::Applied { .. }), "{reply:?}");
    }

    pub fn apply(&self, change: Change) -> Reply {
        let mut tables = self.tables.lock();
        let base = Some(tables.config.operator_revision);
        let at_ms = 1 + self.started_at.elapsed().as_millis() as u64;
        let reply = tables.apply(&Entry { id: rand::random(), base, at_ms, change });
        self.revision.send_replace(tables.config.revision);
        reply
    }
}

impl ControlHandler for StubControl {
    async fn poll(&self, poll: Poll) -> Result<Update> {
        let is_unanswered = self.unanswered.lock().as_ref() == Some(&poll.node);
        if is_unanswered || self.polls_hang.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|it| *it != poll.revision);
        let changed =
            tokio::time::timeout(Duration::from_millis(poll.wait_ms), changed).await.is_ok();
        if !changed || self.stopped.lock().as_ref() == Some(&poll.node) {
            return Ok(Update::Changes(Vec::new()));
        }
        let config: Config = self.tables.lock().config.clone();
        Ok(Update::Config(Box::new(config)))
    }

    async fn submit(&self, submit: Submit) -> Result<Reply> {
        if self.submissions_hang.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        let delay = *self.submission_delay.lock();
        sleep(delay).await;
        Ok(self.apply(submit.change))
    }

    fn record_evidence(&self, evidence: Evidence) {
        self.evidence.lock().insert(evidence.reporter.process_name.clone(), evidence);
    }
}

/// A relay with the stub control host that it polls.
pub struct Harness {
    pub addr: SocketAddr,
    pub control: StubControl,
    control_addr: SocketAddr,
    pub relay: Arc<relay::Host>,
}

impl Harness {
    pub async fn start() -> Self {
        Self::start_with(|_| ()).await
    }

    /// Starts a relay with modified settings.
    pub async fn start_with(change: impl FnOnce(&mut Settings)) -> Self {
        let control = StubControl {
            tables: Arc::default(),
            stopped: Arc::default(),
            submissions_hang: Arc::default(),
            submission_delay: Arc::default(),
            polls_hang: Arc::default(),
            unanswered: Arc::default(),
            evidence: Arc::default(),
            revision: watch::Sender::new(0),
            started_at: Instant::now(),
        };
        let control_addr = control::serve(control.clone()).await.unwrap();
        let (addr, relay) = start_relay("relay-1", "near", control_addr, change).await;
        let harness = Self { addr, control, control_addr, relay };
        harness.wait_until(|| std::net::TcpStream::connect(addr).is_ok()).await;
        harness
    }

    /// Starts a second relay in another zone and waits until it is registered and ready. The pause at the end
    /// leaves the first relay time to apply the update.
    pub async fn start_second_relay(&self) -> (SocketAddr, Arc<relay::Host>) {
        let started = start_relay("relay-2", "beside", self.control_addr, |_| ()).await;
        let is_registered = || self.control.tables.lock().config.nodes.contains_key("relay-2");
        self.wait_until(is_registered).await;
        self.wait_until(|| started.1.is_ready()).await;
        sleep(Duration::from_millis(200)).await;
        started
    }

    /// Starts a second relay like [`Self::start_second_relay`], with modified settings, and sends requests to it.
    pub async fn start_beside(&self, change: impl FnOnce(&mut Settings)) -> Self {
        let (control, control_addr) = (self.control.clone(), self.control_addr);
        let (addr, relay) = start_relay("relay-2", "beside", control_addr, change).await;
        let beside = Self { addr, control, control_addr, relay };
        beside.wait_until(|| beside.relay.is_ready()).await;
        beside.wait_until(|| std::net::TcpStream::connect(addr).is_ok()).await;
        beside
    }

    /// Announces a target of a service.
    pub fn announce(&self, name: &str, service: &str, zone: &str, addr: SocketAddr) {
        self.control.apply(Change::PutTarget(target(name, service, zone, addr)));
    }

    /// Limits the requests in flight at each target.
    pub fn limit_connections(&self, max_connections: u32) {
        let mut table = self.control.tables.lock().config.routes.clone();
        table.version += 1;
        table.services.values_mut().for_each(|it| it.max_connections = max_connections);
        self.control.apply(Change::PutRoutes(Box::new(table)));
    }

    /// Replaces the routing table and waits until the relay can route requests.
    pub async fn put_routes(&self, routes: Vec<Route>) {
        self.put_routes_with(routes, &Service { max_connections: 64, cold_millis_per_s: 0 }).await;
    }

    /// Like [`Self::put_routes`], with these settings for each service.
    pub async fn put_routes_with(&self, routes: Vec<Route>, service: &Service) {
        let services = routes.iter().flat_map(Route::services);
        let services = services.map(|it| (it.to_owned(), service.clone())).collect();
        let version = self.control.tables.lock().config.routes.version + 1;
        let limits = Limits::default();
        let table = Table {
            version,
            document: String::new(),
            routes,
            services,
            limits,
            tenants: Vec::new(),
        };
        self.control.apply(Change::PutRoutes(Box::new(table)));
        self.wait_until(|| self.relay.is_ready()).await;
        // The relay may not have applied the last announcement and this table yet.
        sleep(Duration::from_millis(200)).await;
    }

    pub async fn get(&self, path: &str) -> (StatusCode, HeaderMap, Bytes) {
        self.send(Request::get(path)).await
    }

    pub async fn send(
        &self,
        request: hyper::http::request::Builder,
    ) -> (StatusCode, HeaderMap, Bytes) {
        self.send_as("q-1", request).await
    }

    /// Sends a request with this id.
    pub async fn send_as(
        &self,
        id: &str,
        request: hyper::http::request::Builder,
    ) -> (StatusCode, HeaderMap, Bytes) {
        send_to(self.addr, id, request).await
    }

    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        let waiting = async {
            while !condition() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("condition not met in time");
    }
}

/// Sends a GET request to a relay.
pub async fn get_from(addr: SocketAddr, path: &str) -> (StatusCode, HeaderMap, Bytes) {
    send_to(addr, "q-1", Request::get(path)).await
}

async fn send_to(
    addr: SocketAddr,
    id: &str,
    request: hyper::http::request::Builder,
) -> (StatusCode, HeaderMap, Bytes) {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut sender, conn) = client::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(conn);
    let request = request
        .header("host", "labels.example")
        .header("request-id", id)
        .header("deadline", "3000");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let response = sender.send_request(request).await.unwrap();
    let (head, body) = response.into_parts();
    (head.status, head.headers, body.collect().await.unwrap().to_bytes())
}

async fn start_relay(
    name: &str,
    zone: &str,
    control: SocketAddr,
    change: impl FnOnce(&mut Settings),
) -> (SocketAddr, Arc<relay::Host>) {
    let mut settings = settings(name, zone, control).await;
    let listen = settings.listen;
    change(&mut settings);
    let relay = relay::create(settings);
    let running = relay.clone();
    tokio::spawn(async move { relay::run(running).await.expect("relay failed") });
    (listen, relay)
}

/// The settings of a relay with addresses that no other relay uses.
pub async fn settings(name: &str, zone: &str, control: SocketAddr) -> Settings {
    let (listen, listen_peers) = (unused_addr().await, unused_addr().await);
    let regions = [("near", "here"), ("beside", "here"), ("far", "there")];
    Settings {
        name: name.into(),
        zone: zone.into(),
        regions: regions.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into(),
        listen,
        listen_peers,
        control: vec![control],
        headers: header_names(),
        retry_percent: 100,
        retry_burst: 100,
        retry_initial: 0,
        quota: Bound::default(),
        address_ttl: Duration::from_secs(1),
        max_config_age: relay::DEFAULT_MAX_CONFIG_AGE,
        revoke_age: relay::DEFAULT_REVOKE_AGE,
        revoke_everywhere: false,
        grace_period: Duration::from_secs(2),
        max_descriptors: relay::DEFAULT_MAX_DESCRIPTORS,
        rollouts: false,
        memory_mb: gentianpass::memory::DEFAULT_MEMORY_MB,
    }
}

/// An address that no other relay of the tests uses. Each has a loopback IP address of its own, so that another test
/// cannot take the free port before the relay listens on it.
async fn unused_addr() -> SocketAddr {
    static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(1);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
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
        public: false,
        to: To::Service("s".into()),
    }
}

pub fn gather(services: &[&str], min_coverage: u64) -> Route {
    let services = services.iter().map(|it| (*it).to_owned()).collect();
    let to = To::Shards(Shards { services, top: 3, min_coverage });
    Route { name: "gather".into(), prefix: "/all/".into(), to, ..single(Kind::Idempotent) }
}

fn header_names() -> Headers {
    Headers {
        request_id: HeaderName::from_static("request-id"),
        deadline: HeaderName::from_static("deadline"),
        expected_process: HeaderName::from_static("expected"),
        signature: HeaderName::from_static("signature"),
        signatures: HeaderName::from_static("signatures"),
        missing_shards: HeaderName::from_static("missing"),
        not_run: HeaderName::from_static("not-run"),
        leaving: HeaderName::from_static("leaving"),
        credential: HeaderName::from_static("credential"),
        tenant: HeaderName::from_static("tenant"),
    }
}

/// A record that sorts by `number`.
pub fn record(number: u8) -> Vec<u8> {
    vec![number; 16]
}

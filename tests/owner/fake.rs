//! A stand-in target that counts what runs and can misbehave.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use gentianpass::{
    error::Kind,
    wire::{
        caller::Row,
        target::{Cancel, Health, Refusal, Run, RunAnswer, Sub, SubAnswer},
    },
};
use parking_lot::Mutex;
use tokio::{net::TcpSocket, sync::Notify};

/// How the stand-in treats a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Answer,
    Shed,
    Draining,
    /// The deadline passes while the request runs.
    TimedOut,
    /// The request never ends and the connection carries no bytes.
    Hang,
    /// The process ends.
    Crash,
    /// The connection is closed without an answer, and the process goes on.
    Break,
    WrongId,
    WrongIndex,
    WrongVersion,
    WrongShard,
    WrongCount,
    /// The head announces more bytes than follow.
    CutOff,
    NotJson,
    /// Status 200 with the body of a refusal.
    Confused,
}

/// Everything that outlives a crash.
pub struct Facts {
    pub mode: Mutex<Mode>,
    /// Applies to the next request only.
    pub once: Mutex<Option<Mode>>,
    pub delay: Mutex<Duration>,
    pub cold: std::sync::atomic::AtomicBool,
    pub running: AtomicU32,
    pub most: AtomicU32,
    /// How many requests had a handler that started.
    pub handled: AtomicU32,
    pub connections: AtomicU32,
    pub health: AtomicU32,
    /// How many health requests are not answered but have their connection closed, as at the connection limit.
    pub full: AtomicU32,
    pub subs: Mutex<Vec<Sub>>,
    pub cancelled: Mutex<HashSet<u64>>,
    cancel: Notify,
    pub incarnation: AtomicU64,
}

pub struct Fake {
    pub name: String,
    pub addr: SocketAddr,
    pub facts: Arc<Facts>,
    thread: Option<(Arc<Notify>, JoinHandle<()>)>,
}

#[derive(Clone)]
struct App {
    name: String,
    facts: Arc<Facts>,
    crash: Arc<Notify>,
}

/// Counts a running request until it ends or its connection is closed.
struct Running<'a>(&'a Facts);

impl<'a> Running<'a> {
    fn new(facts: &'a Facts) -> Self {
        let running = facts.running.fetch_add(1, Ordering::SeqCst) + 1;
        facts.most.fetch_max(running, Ordering::SeqCst);
        facts.handled.fetch_add(1, Ordering::SeqCst);
        Self(facts)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Fake {
    pub fn start(name: &str) -> Self {
        let facts = Facts {
            mode: Mutex::new(Mode::Answer),
            once: Mutex::default(),
            delay: Mutex::default(),
            cold: false.into(),
            running: 0.into(),
            most: 0.into(),
            handled: 0.into(),
            connections: 0.into(),
            health: 0.into(),
            full: 0.into(),
            subs: Mutex::default(),
            cancelled: Mutex::default(),
            cancel: Notify::new(),
            incarnation: 1.into(),
        };
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fake = Self { name: name.into(), addr, facts: Arc::new(facts), thread: None };
        fake.listen();
        fake
    }

    pub fn mode(&self, mode: Mode) {
        *self.facts.mode.lock() = mode;
    }

    pub fn once(&self, mode: Mode) {
        *self.facts.once.lock() = Some(mode);
    }

    pub fn delay(&self, ms: u64) {
        *self.facts.delay.lock() = Duration::from_millis(ms);
    }

    pub fn handled(&self) -> u32 {
        self.facts.handled.load(Ordering::SeqCst)
    }

    pub fn running(&self) -> u32 {
        self.facts.running.load(Ordering::SeqCst)
    }

    pub fn most(&self) -> u32 {
        self.facts.most.load(Ordering::SeqCst)
    }

    /// Ends the process of the target and closes its connections.
    pub fn crash(&mut self) {
        if let Some((crash, thread)) = self.thread.take() {
            crash.notify_one();
            thread.join().expect("thread");
        }
    }

    /// Starts a new process at the same address.
    pub fn restart(&mut self) {
        self.crash();
        self.facts.incarnation.fetch_add(1, Ordering::SeqCst);
        self.listen();
    }

    fn listen(&mut self) {
        let crash = Arc::new(Notify::new());
        let app = App { name: self.name.clone(), facts: self.facts.clone(), crash: crash.clone() };
        let (tx, rx) = std::sync::mpsc::channel();
        let (addr, ended) = (self.addr, crash.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("runtime").block_on(async move {
                let socket = TcpSocket::new_v4().expect("socket");
                socket.set_reuseaddr(true).expect("reuse");
                socket.bind(addr).expect("bind");
                let listener = socket.listen(128).expect("listen");
                tx.send(listener.local_addr().expect("address")).expect("test waits");
                tokio::select! {
                    () = accept(listener, app) => {}
                    () = ended.notified() => {}
                }
            });
        });
        self.addr = rx.recv().expect("listener");
        self.thread = Some((crash, thread));
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.crash();
    }
}

async fn accept(listener: tokio::net::TcpListener, app: App) {
    let facts = app.facts.clone();
    let router = Router::new()
        .route("/v1/sub", post(sub))
        .route("/v1/run", post(run))
        .route("/v1/cancel", post(cancel))
        .route("/v1/health", get(health))
        .with_state(app);
    use axum::serve::ListenerExt;
    let listener = listener.tap_io(move |_| {
        facts.connections.fetch_add(1, Ordering::SeqCst);
    });
    axum::serve(listener, router).await.expect("server");
}

impl App {
    fn mode(&self) -> Mode {
        self.facts.once.lock().take().unwrap_or(*self.facts.mode.lock())
    }

    /// Does what comes before an answer; an error is the whole answer.
    async fn begin(&self, mode: Mode, id: u64) -> Result<(), Response> {
        let delay = *self.facts.delay.lock();
        match mode {
            Mode::Crash => {
                self.crash.notify_one();
                std::future::pending::<()>().await;
            }
            Mode::Break => std::panic::resume_unwind(Box::new("the connection breaks")),
            _ => {}
        }
        let end = tokio::time::Instant::now() + delay;
        loop {
            let cancel = self.facts.cancel.notified();
            if self.facts.cancelled.lock().contains(&id) {
                let status = StatusCode::from_u16(499).expect("status");
                return Err((status, Json(Refusal { error: Kind::Cancelled })).into_response());
            }
            tokio::select! {
                () = cancel => {}
                () = tokio::time::sleep_until(end), if mode != Mode::Hang => break,
            }
        }
        match mode {
            Mode::CutOff => Err(cut_off()),
            Mode::TimedOut => {
                let refusal = Json(Refusal { error: Kind::Timeout });
                Err((StatusCode::GATEWAY_TIMEOUT, refusal).into_response())
            }
            Mode::NotJson => Err("{\"id\":".into_response()),
            Mode::Confused => Err(Json(Refusal { error: Kind::Shed }).into_response()),
            _ => Ok(()),
        }
    }
}

fn refuse(mode: Mode) -> Option<Response> {
    let error = match mode {
        Mode::Shed => Kind::Shed,
        Mode::Draining => Kind::Draining,
        _ => return None,
    };
    Some((StatusCode::SERVICE_UNAVAILABLE, Json(Refusal { error })).into_response())
}

fn cut_off() -> Response {
    // The error follows after a pause, so that the first part has left.
    let body = futures::stream::unfold(0, async |part| {
        if part == 0 {
            return Some((Ok(Bytes::from("{\"id\"")), 1));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        Some((Err(std::io::Error::other("cut off")), 2))
    });
    let body = Body::from_stream(body);
    Response::builder().header("content-length", "4000").body(body).expect("response")
}

async fn sub(State(app): State<App>, Json(sub): Json<Sub>) -> Response {
    let mode = app.mode();
    app.facts.subs.lock().push(sub.clone());
    if let Some(refusal) = refuse(mode) {
        return refusal;
    }
    let _running = Running::new(&app.facts);
    if let Err(response) = app.begin(mode, sub.id).await {
        return response;
    }
    let off = |wrong: Mode| u64::from(mode == wrong);
    let rows = vec![Row { id: u64::from(sub.shard), text: sub.text }];
    let answer = SubAnswer {
        id: sub.id.wrapping_add(off(Mode::WrongId)),
        index: if mode == Mode::WrongIndex { "layouts".into() } else { sub.index },
        version: sub.version + off(Mode::WrongVersion),
        shard: sub.shard + off(Mode::WrongShard) as u32,
        count: rows.len() + off(Mode::WrongCount) as usize,
        rows,
    };
    Json(answer).into_response()
}

async fn run(State(app): State<App>, Json(run): Json<Run>) -> Response {
    let mode = app.mode();
    if let Some(refusal) = refuse(mode) {
        return refusal;
    }
    let _running = Running::new(&app.facts);
    if let Err(response) = app.begin(mode, run.id).await {
        return response;
    }
    let id = run.id.wrapping_add(u64::from(mode == Mode::WrongId));
    Json(RunAnswer { id, result: format!("ran {}", run.body) }).into_response()
}

async fn cancel(State(app): State<App>, Json(cancel): Json<Cancel>) {
    app.facts.cancelled.lock().insert(cancel.id);
    app.facts.cancel.notify_waiters();
}

async fn health(State(app): State<App>) -> Json<Health> {
    app.facts.health.fetch_add(1, Ordering::SeqCst);
    let less = |it: u32| it.checked_sub(1);
    if app.facts.full.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
        std::panic::resume_unwind(Box::new("the connection is closed"));
    }
    Json(Health {
        name: app.name.clone(),
        incarnation: app.facts.incarnation.load(Ordering::SeqCst),
        cold: app.facts.cold.load(Ordering::SeqCst),
        leaving: false,
        in_flight: app.facts.running.load(Ordering::SeqCst),
    })
}

//! A stand-in target that counts its requests and injects faults.

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

/// How the stand-in handles a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Answer,
    Shed,
    Draining,
    /// Responds with status 504: the deadline passed while the request ran.
    TimedOut,
    /// Sends no response until the request is cancelled.
    Hang,
    /// Ends the process.
    Crash,
    /// Closes the connection without a response; the process goes on.
    Disconnect,
    WrongId,
    WrongIndex,
    WrongVersion,
    WrongShard,
    WrongCount,
    /// Sends fewer bytes than the `content-length` header announces.
    Truncate,
    NotJson,
    /// Sends the body of a refusal with status 200.
    RefusalWithOk,
}

/// State that survives a crash of the target.
pub struct TargetState {
    pub mode: Mutex<Mode>,
    /// Replaces `mode` for the next request only.
    pub next_mode: Mutex<Option<Mode>>,
    pub delay: Mutex<Duration>,
    pub cold: std::sync::atomic::AtomicBool,
    pub running: AtomicU32,
    pub max_running: AtomicU32,
    /// How many requests have reached their handler; refused ones do not.
    pub handled: AtomicU32,
    pub connections: AtomicU32,
    pub health_requests: AtomicU32,
    /// How many of the next health requests have their connection closed without a response, as at the connection
    /// limit.
    pub health_requests_to_drop: AtomicU32,
    pub sub_requests: Mutex<Vec<Sub>>,
    pub cancelled: Mutex<HashSet<u64>>,
    cancel: Notify,
    pub incarnation: AtomicU64,
}

pub struct FakeTarget {
    pub name: String,
    pub addr: SocketAddr,
    pub state: Arc<TargetState>,
    thread: Option<(Arc<Notify>, JoinHandle<()>)>,
}

#[derive(Clone)]
struct App {
    name: String,
    state: Arc<TargetState>,
    crash: Arc<Notify>,
}

/// Counts a running request until it ends or its connection is closed.
struct RunningGuard<'a>(&'a TargetState);

impl<'a> RunningGuard<'a> {
    fn new(state: &'a TargetState) -> Self {
        let running = state.running.fetch_add(1, Ordering::SeqCst) + 1;
        state.max_running.fetch_max(running, Ordering::SeqCst);
        state.handled.fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeTarget {
    pub fn start(name: &str) -> Self {
        let state = TargetState {
            mode: Mutex::new(Mode::Answer),
            next_mode: Mutex::default(),
            delay: Mutex::default(),
            cold: false.into(),
            running: 0.into(),
            max_running: 0.into(),
            handled: 0.into(),
            connections: 0.into(),
            health_requests: 0.into(),
            health_requests_to_drop: 0.into(),
            sub_requests: Mutex::default(),
            cancelled: Mutex::default(),
            cancel: Notify::new(),
            incarnation: 1.into(),
        };
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut fake = Self { name: name.into(), addr, state: Arc::new(state), thread: None };
        fake.listen();
        fake
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.state.mode.lock() = mode;
    }

    pub fn set_next_mode(&self, mode: Mode) {
        *self.state.next_mode.lock() = Some(mode);
    }

    pub fn set_delay(&self, ms: u64) {
        *self.state.delay.lock() = Duration::from_millis(ms);
    }

    pub fn handled(&self) -> u32 {
        self.state.handled.load(Ordering::SeqCst)
    }

    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    pub fn max_running(&self) -> u32 {
        self.state.max_running.load(Ordering::SeqCst)
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
        self.state.incarnation.fetch_add(1, Ordering::SeqCst);
        self.listen();
    }

    fn listen(&mut self) {
        let crash = Arc::new(Notify::new());
        let app = App { name: self.name.clone(), state: self.state.clone(), crash: crash.clone() };
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

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.crash();
    }
}

async fn accept(listener: tokio::net::TcpListener, app: App) {
    let state = app.state.clone();
    let router = Router::new()
        .route("/v1/sub", post(sub))
        .route("/v1/run", post(run))
        .route("/v1/cancel", post(cancel))
        .route("/v1/health", get(health))
        .with_state(app);
    use axum::serve::ListenerExt;
    let listener = listener.tap_io(move |_| {
        state.connections.fetch_add(1, Ordering::SeqCst);
    });
    axum::serve(listener, router).await.expect("server");
}

impl App {
    fn mode(&self) -> Mode {
        self.state.next_mode.lock().take().unwrap_or(*self.state.mode.lock())
    }

    /// Does what precedes a successful answer: delay, cancellation and faults. An error is the complete response.
    async fn run_handler(&self, mode: Mode, id: u64) -> Result<(), Response> {
        let delay = *self.state.delay.lock();
        match mode {
            Mode::Crash => {
                self.crash.notify_one();
                std::future::pending::<()>().await;
            }
            Mode::Disconnect => std::panic::resume_unwind(Box::new("closes the connection")),
            _ => {}
        }
        let end = tokio::time::Instant::now() + delay;
        loop {
            let cancel = self.state.cancel.notified();
            if self.state.cancelled.lock().contains(&id) {
                let status = StatusCode::from_u16(499).expect("status");
                return Err((status, Json(Refusal { error: Kind::Cancelled })).into_response());
            }
            tokio::select! {
                () = cancel => {}
                () = tokio::time::sleep_until(end), if mode != Mode::Hang => break,
            }
        }
        match mode {
            Mode::Truncate => Err(truncated_response()),
            Mode::TimedOut => {
                let refusal = Json(Refusal { error: Kind::Timeout });
                Err((StatusCode::GATEWAY_TIMEOUT, refusal).into_response())
            }
            Mode::NotJson => Err("{\"id\":".into_response()),
            Mode::RefusalWithOk => Err(Json(Refusal { error: Kind::Shed }).into_response()),
            _ => Ok(()),
        }
    }
}

fn refusal_response(mode: Mode) -> Option<Response> {
    let error = match mode {
        Mode::Shed => Kind::Shed,
        Mode::Draining => Kind::Draining,
        _ => return None,
    };
    Some((StatusCode::SERVICE_UNAVAILABLE, Json(Refusal { error })).into_response())
}

fn truncated_response() -> Response {
    // The pause lets the first part be sent before the error closes the connection.
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
    app.state.sub_requests.lock().push(sub.clone());
    if let Some(refusal) = refusal_response(mode) {
        return refusal;
    }
    let _running = RunningGuard::new(&app.state);
    if let Err(response) = app.run_handler(mode, sub.id).await {
        return response;
    }
    let one_if = |wrong: Mode| u64::from(mode == wrong);
    let rows = vec![Row { id: u64::from(sub.shard), text: sub.text }];
    let answer = SubAnswer {
        id: sub.id.wrapping_add(one_if(Mode::WrongId)),
        index: if mode == Mode::WrongIndex { "layouts".into() } else { sub.index },
        version: sub.version + one_if(Mode::WrongVersion),
        shard: sub.shard + one_if(Mode::WrongShard) as u32,
        count: rows.len() + one_if(Mode::WrongCount) as usize,
        rows,
    };
    Json(answer).into_response()
}

async fn run(State(app): State<App>, Json(run): Json<Run>) -> Response {
    let mode = app.mode();
    if let Some(refusal) = refusal_response(mode) {
        return refusal;
    }
    let _running = RunningGuard::new(&app.state);
    if let Err(response) = app.run_handler(mode, run.id).await {
        return response;
    }
    let id = run.id.wrapping_add(u64::from(mode == Mode::WrongId));
    Json(RunAnswer { id, result: format!("ran {}", run.body) }).into_response()
}

async fn cancel(State(app): State<App>, Json(cancel): Json<Cancel>) {
    app.state.cancelled.lock().insert(cancel.id);
    app.state.cancel.notify_waiters();
}

async fn health(State(app): State<App>) -> Json<Health> {
    app.state.health_requests.fetch_add(1, Ordering::SeqCst);
    let decrement = |it: u32| it.checked_sub(1);
    if app
        .state
        .health_requests_to_drop
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement)
        .is_ok()
    {
        std::panic::resume_unwind(Box::new("closes the connection"));
    }
    Json(Health {
        name: app.name.clone(),
        incarnation: app.state.incarnation.load(Ordering::SeqCst),
        cold: app.state.cold.load(Ordering::SeqCst),
        leaving: false,
        in_flight: app.state.running.load(Ordering::SeqCst),
    })
}

//! Requesters that send a steady flow of requests on kept connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Connection},
    record::Record,
};

/// A request that was sent, and its answer.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent_at: Instant,
    /// The status; 0 without an answer.
    pub status: u16,
}

/// What requesters send.
#[derive(Clone)]
pub struct Flow {
    pub front: SocketAddr,
    pub host: String,
    pub path: String,
    pub deadline_ms: u64,
    pub per_second: u32,
    pub requesters: u32,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

pub struct Requesters {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no other request of the run has.
pub fn next_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

impl Requesters {
    pub fn start(flow: &Flow, record: &Record) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let attempts = Arc::<Mutex<Vec<Attempt>>>::default();
        let interval = Duration::from_secs(1) * flow.requesters / flow.per_second;
        let threads = (0..flow.requesters).map(|i| {
            let (flow, stop, attempts) = (flow.clone(), stop.clone(), attempts.clone());
            let record = record.clone();
            let mut next = Instant::now() + interval * i / flow.requesters;
            thread::spawn(move || {
                let mut connection = None;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next = (next + interval).max(Instant::now());
                    let attempt = send(&flow, &mut connection);
                    record.note_at(
                        attempt.sent_at,
                        &format!(
                            "sent {}: {}, {} ms",
                            attempt.id,
                            attempt.status,
                            attempt.sent_at.elapsed().as_millis()
                        ),
                    );
                    attempts.lock().unwrap().push(attempt);
                }
            })
        });
        Self { threads: threads.collect(), stop, attempts }
    }

    /// Stops, and returns all attempts.
    pub fn stop(self) -> Vec<Attempt> {
        self.stop.store(true, Ordering::SeqCst);
        for it in self.threads {
            let _ = it.join();
        }
        std::mem::take(&mut *self.attempts.lock().unwrap())
    }
}

fn send(flow: &Flow, kept: &mut Option<Connection>) -> Attempt {
    let id = next_id();
    let deadline = flow.deadline_ms.to_string();
    let mut headers = vec![
        ("Host", flow.host.as_str()),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(flow.headers.iter().map(|(name, value)| (name.as_str(), value.as_str())));
    let request = http::request("GET", &flow.path, &headers, b"");
    let sent_at = Instant::now();
    let timeout = Duration::from_millis(flow.deadline_ms);
    let connection = match kept.take() {
        Some(it) => Ok(it),
        None => Connection::connect(flow.front, Duration::from_secs(1)),
    };
    let answer = connection.and_then(|mut it| Ok((it.exchange(&request, timeout)?, it)));
    let Ok((response, connection)) = answer else { return Attempt { id, sent_at, status: 0 } };
    let closes = response.header("connection").is_some_and(|it| it.contains("close"));
    *kept = (!closes).then_some(connection);
    Attempt { id, sent_at, status: response.status() }
}

//! Requesters: look up addresses, keep connections open and send requests at a steady rate.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::http::{self, Connection};

/// A request as its requester saw it.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub answered: Instant,
    pub to: SocketAddr,
    /// The status of the answer; none if the connection ended without one.
    pub status: Option<u16>,
}

/// What is sent, and how often.
#[derive(Clone)]
pub struct Options {
    pub host: String,
    pub path: String,
    pub deadline: Duration,
    /// The interval between two requests of one requester.
    pub interval: Duration,
    pub zone: String,
    pub region: String,
    /// Directory nodes, the nearest first.
    pub directories: Vec<SocketAddr>,
}

/// The requests of all requesters, by request id.
#[derive(Default)]
pub struct Log {
    pub sent: Mutex<HashMap<String, Sent>>,
    next_id: AtomicU64,
    stop: AtomicBool,
}

impl Log {
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Starts `count` requesters with the same options.
pub fn start(count: u32, opts: &Options, log: &Arc<Log>) -> Vec<JoinHandle<()>> {
    let threads = (0..count).map(|i| {
        let (opts, log) = (opts.clone(), log.clone());
        thread::spawn(move || {
            thread::sleep(opts.interval * i / count);
            run(&opts, &log, i as usize);
        })
    });
    threads.collect()
}

fn run(opts: &Options, log: &Log, seed: usize) {
    let mut addrs = Vec::new();
    let mut valid_until = Instant::now();
    let mut conn: Option<Connection> = None;
    let mut turn = seed;
    let mut next = Instant::now();
    while !log.stop.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + opts.interval).max(Instant::now());
        if valid_until <= Instant::now()
            && let Some((list, ttl)) = resolve(opts)
        {
            conn = conn.filter(|it| list.contains(&it.peer));
            addrs = list;
            valid_until = Instant::now() + ttl;
        }
        if addrs.is_empty() {
            continue;
        }
        if conn.is_none() {
            turn += 1;
            conn = Connection::open(addrs[turn % addrs.len()], Duration::from_secs(1)).ok();
        }
        let Some(open) = &mut conn else { continue };
        let id = format!("{:016x}", log.next_id.fetch_add(1, Ordering::Relaxed));
        let request = format!(
            "GET {}{} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
            opts.path,
            id,
            opts.host,
            opts.deadline.as_millis()
        );
        let at = Instant::now();
        let to = open.peer;
        let answer = open.exchange(request.as_bytes(), opts.deadline);
        let answered = Instant::now();
        let status = answer.as_ref().ok().and_then(|it| it.status());
        log.sent.lock().unwrap().insert(id, Sent { at, answered, to, status });
        let closes =
            answer.as_ref().is_ok_and(|it| it.header("connection").is_some_and(|it| it == "close"));
        if answer.is_err() || closes {
            conn = None;
        }
    }
}

/// Asks the directory nodes, the nearest first.
fn resolve(opts: &Options) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/resolve?name={}&region={}&zone={}", opts.host, opts.region, opts.zone);
    opts.directories.iter().find_map(|it| {
        let response = http::call(*it, "GET", &path, "", Duration::from_secs(1)).ok()?;
        if response.status() != Some(200) {
            return None;
        }
        parse_addresses(&response.text())
    })
}

/// Parses `{"addrs":["IP:PORT",...],"ttl_s":N}`.
fn parse_addresses(text: &str) -> Option<(Vec<SocketAddr>, Duration)> {
    let list = text.split_once("\"addrs\":[")?.1.split_once(']')?.0;
    let addrs: Vec<_> =
        list.split(',').filter_map(|it| it.trim().trim_matches('"').parse().ok()).collect();
    let ttl = text.split_once("\"ttl_s\":")?.1;
    let ttl: String = ttl.chars().take_while(char::is_ascii_digit).collect();
    let ttl = Duration::from_secs(ttl.parse().ok()?);
    (!addrs.is_empty()).then_some((addrs, ttl))
}

//! The deployment of the cases about cold servers, and the check of their rule.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::Fleet,
    record::Record,
    requester::{Attempt, Flow, Requesters},
    server::{Plan, Server},
};

const COLD_PER_S: f64 = 4.0;
const COLD_LOAD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// How long a server stays cold (`coldStartS`).
pub const COLD: Duration = Duration::from_millis(3_000);

/// The interval of reports (`heartbeatMs`).
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_200);

/// The window of the rule.
const WINDOW: Duration = Duration::from_secs(1);

const ZONES: [(&str, &str, bool); 3] = [
    ("tayside-a", "tayside", true),
    ("lothian-a", "lothian", true),
    ("highland-a", "highland", true),
];

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-layout\",\"host\":\"labels.example\",\"pathPrefix\":\"/layout/\",\
         \"routeType\":\"safe\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"printq\",\
         \"maxAttempts\":2,\"allowedRegions\":[]}}],\"services\":[{{\"name\":\"printq\",\"healthPath\":\"/health\",\
         \"maxConns\":130,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{COLD_PER_S:.1}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Three machines with a server of one service in each zone.
pub struct Deployment {
    pub fleet: Fleet,
    pub control: Vec<SocketAddr>,
    pub servers: Vec<Arc<Server>>,
    stop: Arc<AtomicBool>,
    reporters: Vec<JoinHandle<()>>,
}

impl Deployment {
    /// Starts the programs and the servers, and sends the first configuration.
    pub fn start(record: &Record) -> Result<Self, String> {
        let mut fleet = Fleet::new(&ZONES).map_err(|it| it.to_string())?;
        fleet.start_all().map_err(|it| it.to_string())?;
        let control = fleet.machines.iter().map(|it| it.control_addr()).collect();
        fleet.order("/config/replace", &config(), 60).ok_or("no configuration was accepted")?;
        record.say("configuration acknowledged");
        let start = |(i, (zone, ..)): (usize, &(&str, &str, bool))| {
            let plan = Plan {
                id: format!("i-{:08x}", 0x7f3a_91c0 + i),
                service: "printq".into(),
                zone: (*zone).into(),
                addr: (Ipv4Addr::LOCALHOST, 0).into(),
                work: Duration::from_millis(40),
                records: false,
                clock_ahead: Duration::ZERO,
            };
            Server::start(plan, record)
        };
        let servers = ZONES.iter().enumerate().map(start).collect::<Result<_, _>>();
        let servers = servers.map_err(|it| it.to_string())?;
        Ok(Self { fleet, control, servers, stop: Arc::default(), reporters: Vec::new() })
    }

    /// Lets a server report at the usual interval, to the control host of its zone.
    pub fn report_regularly(&mut self, i: usize) {
        let (server, to, stop) = (self.servers[i].clone(), self.control[i], self.stop.clone());
        self.reporters.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                server.report("ready", &[to]);
                thread::sleep(REPORT_INTERVAL);
            }
        }));
    }

    /// Starts the requesters of the first zone.
    pub fn request(&self, record: &Record) -> Requesters {
        let flow = Flow {
            front: self.fleet.machines[0].front_addr(),
            host: "labels.example".into(),
            path: "/layout/2f".into(),
            deadline_ms: 3_000,
            per_second: 45,
            requesters: 15,
            headers: Vec::new(),
        };
        Requesters::start(&flow, record)
    }

    /// Stops the reports.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for it in self.reporters.drain(..) {
            let _ = it.join();
        }
    }
}

/// Makes a server cold.
pub fn turn_cold(server: &Server, record: &Record) {
    *server.cold_until.lock().unwrap() = Some(Instant::now() + COLD);
    record.say(&format!("server {} turns cold for {} ms", server.id, COLD.as_millis()));
}

/// Checks the rule in all seconds that begin at `from` or later and end while the server is cold.
pub fn judge(
    record: &Record,
    server: &Server,
    attempts: &[Attempt],
    from: Instant,
) -> Result<Verdict, String> {
    let served = attempts.iter().filter(|it| it.status == 200).count();
    record.say(&format!("{served} of {} requests were served", attempts.len()));
    if served * 2 < attempts.len() {
        return Err("less than half of the requests were served".into());
    }
    let cold_until = server.cold_until.lock().unwrap().ok_or("the server was never cold")?;
    let sent: HashMap<_, _> = attempts.iter().map(|it| (it.id.as_str(), it.sent_at)).collect();
    let arrivals = server.arrivals.lock().unwrap().clone();
    // Counted are requests that were sent and arrived inside the second.
    let count = |start: Instant| {
        let inside = |at: Instant| at >= start && at < start + WINDOW;
        let sent_inside = |id: &str| sent.get(id).is_some_and(|at| inside(*at));
        arrivals.iter().filter(|it| inside(it.at) && sent_inside(&it.id)).count()
    };
    let starts = attempts.iter().map(|it| it.sent_at);
    let starts = starts.filter(|it| *it >= from && *it + WINDOW <= cold_until);
    let most = starts.map(|it| (count(it), it)).max_by_key(|it| it.0);
    let bound = COLD_PER_S * COLD_LOAD_FACTOR + COLD_SLACK;
    let (most, at) = most.map_or((0, 0), |(count, at)| (count, record.ms(at)));
    record.say(&format!(
        "most requests that the cold server got in one second: {most} (from {at} ms on); bound {bound}"
    ));
    Ok(if most as f64 > bound { Verdict::Broken } else { Verdict::Held })
}

//! The relay that owns cold servers is stopped as planned while the machine of the control host that its successor polls
//! stands still.

use std::{
    collections::HashMap,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cold::REPORT_INTERVAL,
    fleet::{Fleet, Role},
    record::Record,
    requester::{Flow, Requesters},
    server::{Plan, Server},
};

/// The last machine has no disk, and so no control host; its relay polls that of its zone.
const MACHINES: [(&str, &str, bool); 4] = [
    ("tayside-a", "tayside", true),
    ("lothian-a", "lothian", true),
    ("highland-a", "highland", true),
    ("lothian-a", "lothian", false),
];

/// The machine whose relay owns the cold servers, and the one that stands still.
const OWNER: usize = 0;
const FROZEN: usize = 1;

const COLD_PER_S: f64 = 60.0;
const COLD_LOAD_FACTOR: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
const COLD: Duration = Duration::from_millis(3_000);
const WINDOW: Duration = Duration::from_secs(1);

/// New servers of the owner's zone. Their owner after the stop depends on their names, so that some fall to either relay.
const SERVERS: usize = 6;

/// How long the control host stands still.
const FREEZE: Duration = Duration::from_millis(4_000);

/// From the freeze until the new servers start, and from then until the stop of their owner.
const START_AFTER: Duration = Duration::from_millis(500);
const STOP_AFTER: Duration = Duration::from_millis(400);

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-layout\",\"host\":\"labels.example\",\"pathPrefix\":\"/layout/\",\
         \"routeType\":\"safe\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"printq\",\
         \"maxAttempts\":2,\"allowedRegions\":[]}}],\"services\":[{{\"name\":\"printq\",\"healthPath\":\"/health\",\
         \"maxConns\":330,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{COLD_PER_S:.1}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut fleet = Fleet::new(&MACHINES).map_err(|it| it.to_string())?;
    fleet.start_all().map_err(|it| it.to_string())?;
    let control: Vec<_> = fleet.machines.iter().map(|it| it.control_addr()).collect();
    fleet.order("/config/replace", &config(), 60).ok_or("no configuration was accepted")?;
    record.say("configuration acknowledged");
    thread::sleep(Duration::from_secs(4));
    let requesters: Vec<_> = [0, 2, 3]
        .into_iter()
        .map(|i| {
            let flow = Flow {
                front: fleet.machines[i].front_addr(),
                host: "labels.example".into(),
                path: "/layout/2f".into(),
                deadline_ms: 3_000,
                per_second: 1_000,
                requesters: 100,
                headers: Vec::new(),
            };
            Requesters::start(&flow, record)
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let server = |i: usize, zone: &str| {
        let plan = Plan {
            id: format!("i-{:08x}", 0x7f3a_91c0u32.wrapping_mul(i as u32 + 3)),
            service: "printq".into(),
            zone: zone.into(),
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            work: Duration::from_millis(20),
            records: false,
            clock_ahead: Duration::ZERO,
        };
        Server::start(plan, record).map_err(|it| it.to_string())
    };
    // A server of another zone joins, so that all relays begin a poll.
    server(SERVERS, MACHINES[2].0)?.report("ready", &[control[2]]);
    thread::sleep(Duration::from_millis(30));
    let roles = [Role::Control, Role::Relay];
    if trouble {
        roles.iter().for_each(|it| _ = fleet.signal(FROZEN, *it, "STOP"));
        record.say(&format!("machine {} stands still", fleet.machines[FROZEN].name));
    }
    let frozen_at = Instant::now();
    thread::sleep(START_AFTER);
    let mut servers = Vec::new();
    for i in 0..SERVERS {
        let server = server(i, MACHINES[OWNER].0)?;
        *server.cold_until.lock().unwrap() = Some(Instant::now() + COLD);
        servers.push(server);
    }
    let stop = Arc::<AtomicBool>::default();
    let reporters: Vec<_> = servers
        .iter()
        .cloned()
        .map(|server| {
            let (stop, to) = (stop.clone(), control[OWNER]);
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    server.report("ready", &[to]);
                    thread::sleep(REPORT_INTERVAL);
                }
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    fleet.signal(OWNER, Role::Relay, "TERM");
    record.say(&format!("the relay of {} gets SIGTERM", MACHINES[OWNER].0));
    thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
    if trouble {
        roles.iter().for_each(|it| _ = fleet.signal(FROZEN, *it, "CONT"));
    }
    let attempts: Vec<_> = requesters.into_iter().flat_map(Requesters::stop).collect();
    stop.store(true, Ordering::SeqCst);
    for it in reporters {
        let _ = it.join();
    }
    drop(fleet);

    let sent: HashMap<_, _> = attempts.iter().map(|it| (it.id.as_str(), it.sent_at)).collect();
    let bound = COLD_PER_S * COLD_LOAD_FACTOR + COLD_SLACK;
    let mut broken = false;
    let mut most = 0;
    for server in &servers {
        let until = server.cold_until.lock().unwrap().unwrap_or(stopped_at);
        let arrivals = server.arrivals.lock().unwrap();
        // Counted are requests that were sent and arrived inside the second, while the server is cold.
        let pairs = arrivals.iter().filter(|it| it.at < until);
        let mut pairs: Vec<_> =
            pairs.filter_map(|it| Some((*sent.get(it.id.as_str())?, it.at))).collect();
        pairs.sort();
        let count = |start: Instant| {
            pairs.iter().filter(|it| it.0 >= start && it.1 < start + WINDOW).count()
        };
        let worst = pairs.iter().map(|it| (count(it.0), it.0)).max_by_key(|it| it.0);
        let (count, at) = worst.map_or((0, 0), |it| (it.0, record.ms(it.1)));
        most = most.max(count);
        broken |= count as f64 > bound;
        record.say(&format!(
            "server {}: at most {count} requests in one second, from {at} ms on; bound {bound}",
            server.id
        ));
    }
    if (most as f64) < COLD_PER_S / 2.0 {
        return Err("the cold servers got hardly any requests".into());
    }
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

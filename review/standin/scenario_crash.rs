//! Rule BUDGET: a request that crashes the servers that run it must not reach servers in more than three retries later
//! than `stabilityWindowMs` after it has crashed the third one. The request comes again and again, at one machine after
//! the other.

use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Fault, Verdict,
    cluster::Cluster,
    http::Connection,
    record::Record,
    server::{Options, Server},
};

/// Machines without a disk, as on the users' sheet: 8 beside the 3 with one.
const MACHINES_WITHOUT_DISK: usize = 8;

/// Servers of the service, as of `order-intake` on that sheet.
const SERVERS: usize = 4;

/// The path of the request.
const PATH: &str = "/order/2f";

/// How often the request comes again.
const REPEAT_INTERVAL: Duration = Duration::from_millis(2_000);

/// How often it comes in all.
const REPEATS: usize = 16;

/// How long a crashed server is down.
const DOWN: Duration = Duration::from_secs(3);

/// `stabilityWindowMs`.
const STABILITY_WINDOW: Duration = Duration::from_millis(4_000);

/// How many retries may reach servers later than that after the third crash.
const MAX_RETRIES: usize = 3;

const DEADLINE: Duration = Duration::from_millis(3_000);

pub fn run(dir: &Path, trouble: bool) -> Result<Verdict, Fault> {
    let record = Record::new();
    let cluster = Cluster::start(MACHINES_WITHOUT_DISK, 260)?;
    let config = r#"{"version":1,"routes":[{"name":"r-order","host":"orders.example","pathPrefix":"/order/","routeType":"safe","timeoutMs":3000,"targetLatencyMs":500,"priority":2,"service":"order-intake","maxAttempts":2,"allowedRegions":[]}],"services":[{"name":"order-intake","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":0.0}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
    let (status, body) = cluster.put_config(0, config)?;
    if status != 200 {
        return Err(format!("the configuration was answered {status} {body}"));
    }
    record.add("configuration 1 acknowledged");
    let mut servers: Vec<Vec<Arc<Server>>> = Vec::new();
    for place in 0..SERVERS {
        servers.push(vec![start_server(&cluster, place, 1, trouble, &record)?]);
    }
    // Longer than `stabilityWindowMs`, so that all machines are in touch.
    thread::sleep(Duration::from_secs(6));

    let start = Instant::now();
    let mut repeats = Vec::new();
    for i in 0..REPEATS {
        let machine = i % cluster.machines.len();
        repeats.push(send(&cluster, machine, i, &record));
        let next = start + REPEAT_INTERVAL * (i as u32 + 1);
        while Instant::now() < next {
            restart_crashed(&cluster, &mut servers, &record)?;
            thread::sleep(Duration::from_millis(20));
        }
    }
    let verdict = judge(&servers, &record);
    servers.iter().flatten().filter(|it| !it.has_ended()).for_each(|it| it.end());
    record.save(dir)?;
    verdict
}

fn start_server(
    cluster: &Cluster,
    place: usize,
    start: usize,
    crashes: bool,
    record: &Record,
) -> Result<Arc<Server>, Fault> {
    let opts = Options {
        id: format!("i-{place}-{start}"),
        service: "order-intake".into(),
        zone: cluster.machines[place].zone.clone(),
        addr: cluster.server_addr(place),
        slots: 6,
        queue: 24,
        work: Duration::from_millis(20),
        cold: Duration::ZERO,
        crash_prefix: crashes.then(|| PATH.to_owned()),
    };
    Server::start(opts, cluster.controls(), record.clone())
}

/// Starts each crashed server again after its time, under a new id.
fn restart_crashed(
    cluster: &Cluster,
    servers: &mut [Vec<Arc<Server>>],
    record: &Record,
) -> Result<(), Fault> {
    for (place, starts) in servers.iter_mut().enumerate() {
        let last = &starts[starts.len() - 1];
        let crashed = last.arrivals.lock().unwrap().last().map(|it| it.at);
        if last.has_ended() && crashed.is_some_and(|it| it.elapsed() >= DOWN) {
            let next = start_server(cluster, place, starts.len() + 1, true, record)?;
            starts.push(next);
        }
    }
    Ok(())
}

/// Sends the request once to one machine.
fn send(cluster: &Cluster, machine: usize, i: usize, record: &Record) {
    let id = format!("{:016x}", 0xa000 + i);
    let request = format!(
        "GET {PATH} HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    let name = &cluster.machines[machine].name;
    record.add(format!("{id} sent to {name}"));
    let answer = Connection::open(cluster.front(machine), Duration::from_secs(1))
        .and_then(|mut it| it.exchange(request.as_bytes(), DEADLINE));
    match answer {
        Ok(it) => record.add(format!("{id} answered: {} {}", it.start, it.text())),
        Err(err) => record.add(format!("{id} not answered: {err}")),
    }
}

/// Counts the requests that reached servers too late.
fn judge(servers: &[Vec<Arc<Server>>], record: &Record) -> Result<Verdict, Fault> {
    let mut arrivals: Vec<(Instant, String)> = servers
        .iter()
        .flatten()
        .flat_map(|it| {
            let arrivals = it.arrivals.lock().unwrap();
            arrivals.iter().map(|it| (it.at, it.request_id.clone())).collect::<Vec<_>>()
        })
        .collect();
    arrivals.sort();
    let crashes = servers.iter().flatten().filter(|it| it.has_ended()).count();
    if arrivals.is_empty() {
        return Err("the request reached no server".into());
    }
    let Some((third, _)) = (crashes >= 3).then(|| arrivals[2].clone()) else {
        record.add(format!("{crashes} crashes, {} arrivals", arrivals.len()));
        println!("{crashes} crashes");
        return Ok(Verdict::Held);
    };
    let mut late: Vec<_> = arrivals
        .iter()
        .filter(|(at, _)| *at > third + STABILITY_WINDOW)
        .map(|(_, id)| id)
        .collect();
    late.dedup();
    record.add(format!(
        "{crashes} crashes; {} requests reached servers later than {STABILITY_WINDOW:?} after the third crash, the bound is {MAX_RETRIES}",
        late.len()
    ));
    println!("{crashes} crashes, {} late retries, bound {MAX_RETRIES}", late.len());
    Ok(if late.len() > MAX_RETRIES { Verdict::Broken } else { Verdict::Held })
}

//! Rule CONFIG: the acknowledged configuration must come when it is read back. After some hundred changes of a large
//! configuration all control processes are killed at the same moment and start again. The platform kills a process that
//! uses more than `memoryMb`, and starts it again.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{Fault, Verdict, cluster::Cluster, record::Record};

/// `memoryMb` of the users' larger sheets.
const MEMORY_MB: u64 = 160;

/// Routes of the configuration: one step of `big_config`, with the largest count of the sheets in force.
const ROUTES: usize = 350;

/// How many configurations are sent.
const CHANGES: u64 = 400;

/// The pause after each of them. Days of the users' sheets have changes every 60 ms.
const CHANGE_INTERVAL: Duration = Duration::from_millis(80);

/// The smallest disk of the sheets, in bytes.
const DISK_BYTES: u64 = 64_000_000;

/// How long the control hosts have to recover: twice `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(24);

pub fn run(dir: &Path, trouble: bool) -> Result<Verdict, Fault> {
    let record = Record::new();
    let mut cluster = Cluster::start(0, MEMORY_MB)?;
    let mut acknowledged = 0;
    for version in 1..=CHANGES {
        let (status, body) = cluster.put_config(version as usize % 3, &config(version))?;
        if status != 200 {
            return Err(format!("version {version} was answered {status} {body}"));
        }
        acknowledged = version;
        thread::sleep(CHANGE_INTERVAL);
        let killed = cluster.supervise_controls(MEMORY_MB << 20)?;
        if !killed.is_empty() {
            return Err(format!("{killed:?} used too much memory before the disruption"));
        }
    }
    record.add(format!("version {acknowledged} acknowledged, {} bytes each", config(1).len()));
    let disk = cluster.disk_bytes();
    record.add(format!("bytes on the disks of the control hosts: {disk:?}"));
    record.add(format!("most memory of the control processes: {:?}", cluster.control_peaks()));
    if disk.iter().any(|it| *it > DISK_BYTES) {
        return Err("the files would not fit on the disk of the sheet".into());
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        cluster.kill_controls();
        record.add("all control processes killed");
    }
    let result = read_back(&mut cluster, acknowledged, trouble, &record);
    record.add(format!("most memory of the control processes: {:?}", cluster.control_peaks()));
    record.save(dir)?;
    result
}

/// Supervises the control processes, and reads the configuration back from each of them in turn.
fn read_back(
    cluster: &mut Cluster,
    acknowledged: u64,
    trouble: bool,
    record: &Record,
) -> Result<Verdict, Fault> {
    let end = Instant::now() + RECOVERY;
    let mut kills = 0;
    let mut next_read = Instant::now() + Duration::from_secs(1);
    let mut machine = 0;
    while Instant::now() < end {
        for name in cluster.supervise_controls(MEMORY_MB << 20)? {
            kills += 1;
            record
                .add(format!("control process of {name} killed: it uses more than {MEMORY_MB} MB"));
        }
        thread::sleep(Duration::from_millis(2));
        if next_read > Instant::now() {
            continue;
        }
        next_read = Instant::now() + Duration::from_millis(500);
        machine = (machine + 1) % 3;
        let reader = cluster.reader(machine);
        let read = thread::spawn(reader);
        while !read.is_finished() {
            for name in cluster.supervise_controls(MEMORY_MB << 20)? {
                kills += 1;
                record.add(format!(
                    "control process of {name} killed: it uses more than {MEMORY_MB} MB"
                ));
            }
            thread::sleep(Duration::from_millis(2));
        }
        let Ok(Ok((status, text))) = read.join() else { continue };
        let is_newest = text.starts_with(&format!("{{\"version\":{acknowledged},"));
        record.add(format!("read back: {status}, newest: {is_newest}"));
        if status == 200 && is_newest {
            println!("version {acknowledged} came, {kills} processes killed for their memory");
            return Ok(Verdict::Held);
        }
    }
    record.add(format!(
        "version {acknowledged} did not come; {kills} processes killed for their memory"
    ));
    println!("version {acknowledged} did not come, {kills} processes killed for their memory");
    if trouble { Ok(Verdict::Broken) } else { Err("no answer without the disruption".into()) }
}

fn config(version: u64) -> String {
    let routes: Vec<_> = (0..ROUTES)
        .map(|it| {
            format!(
                r#"{{"name":"r-{it:05}","host":"h{it:05}.example","pathPrefix":"/p{it:05}/","routeType":"safe","timeoutMs":{},"targetLatencyMs":500,"priority":2,"service":"print-queue","maxAttempts":2,"allowedRegions":[]}}"#,
                2_000 + version
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"print-queue","healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

//! The platform: writes the settings of each machine, starts the programs of the deploy file, and ends them.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http;

/// The program that the deploy file builds and runs.
const PROGRAM: &str = "target/release/gentianpass-platform";

/// Ports of a machine, as offsets from the first one. The first three are `internalPorts`.
const CONTROL: u16 = 3;
const DIRECTORY: u16 = 4;
const FRONT: u16 = 5;
const READY: u16 = 6;
const SERVER: u16 = 7;
const PORTS: u16 = 8;

/// How long the whole system may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Machines with a disk, one in each zone. They run a control host and a relay, as the deploy file has it.
const DISK_MACHINES: usize = 3;

/// A machine. Those without a disk run a relay only.
pub struct Machine {
    pub name: String,
    pub zone: String,
    region: String,
    pub ip: IpAddr,
    control: Option<Child>,
    relay: Option<Child>,
}

/// The machines of a small deployment in three zones, each zone in a region of its own. Those with a disk come first.
pub struct Cluster {
    pub machines: Vec<Machine>,
    first_port: u16,
    dir: PathBuf,
    /// Whether the settings say that the whole system starts for the first time.
    bootstrap: bool,
    /// `memoryMb` in the settings.
    memory_mb: u64,
}

impl Cluster {
    /// Starts a machine with a disk in each zone and this many without one, and waits until each control host responds.
    pub fn start(without_disk: usize, memory_mb: u64) -> Result<Self, String> {
        let dir = std::env::temp_dir().join(format!("gentianpass-review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|err| format!("{}: {err}", dir.display()))?;
        let count = DISK_MACHINES + without_disk;
        let ips: Vec<_> =
            (0..count).map(|it| IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + it as u8))).collect();
        let first_port = free_ports(&ips).ok_or("no free ports")?;
        let machines = ips.into_iter().enumerate().map(|(i, ip)| {
            let zone = ["a", "b", "c"][i % DISK_MACHINES];
            Machine {
                name: format!("front-{zone}-{}", i / DISK_MACHINES + 1),
                zone: format!("zone-{zone}"),
                region: format!("region-{zone}"),
                ip,
                control: None,
                relay: None,
            }
        });
        let mut cluster =
            Self { machines: machines.collect(), first_port, dir, bootstrap: true, memory_mb };
        for i in 0..cluster.machines.len() {
            if i < DISK_MACHINES {
                cluster.start_role(i, "control")?;
            }
            cluster.start_role(i, "relay")?;
        }
        cluster.wait_until_started()?;
        Ok(cluster)
    }

    fn wait_until_started(&self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        for control in self.controls() {
            // Without a configuration a control host responds 503 once it can serve reads.
            while !matches!(http::call(control, "GET", "/config/get", "", Duration::from_secs(1)),
                Ok(it) if it.text().contains("no configuration"))
            {
                if Instant::now() > end {
                    return Err(format!("control host {control} did not start"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    fn addr(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.machines[machine].ip, self.first_port + port)
    }

    /// The addresses for operators and servers.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..DISK_MACHINES).map(|it| self.addr(it, CONTROL)).collect()
    }

    pub fn directory(&self, machine: usize) -> SocketAddr {
        self.addr(machine, DIRECTORY)
    }

    /// The address of a relay for requesters.
    pub fn front(&self, machine: usize) -> SocketAddr {
        self.addr(machine, FRONT)
    }

    /// The address of a server in the zone of this machine.
    pub fn server_addr(&self, machine: usize) -> SocketAddr {
        self.addr(machine, SERVER)
    }

    fn start_role(&mut self, machine: usize, role: &str) -> Result<(), String> {
        let settings = self.dir.join(format!("{}-{role}.toml", self.machines[machine].name));
        fs::write(&settings, self.settings(machine, role)).map_err(|err| err.to_string())?;
        let log = self.dir.join(format!("{}-{role}.log", self.machines[machine].name));
        let log = File::create(log).map_err(|err| err.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("GENTIANPASS_CONFIG", &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|err| err.to_string())?)
            .stdout(log)
            .spawn()
            .map_err(|err| format!("{PROGRAM}: {err}"))?;
        let machine = &mut self.machines[machine];
        *(if role == "control" { &mut machine.control } else { &mut machine.relay }) = Some(child);
        Ok(())
    }

    /// The settings file of a role, with the values of the users' example.
    fn settings(&self, machine: usize, role: &str) -> String {
        let it = &self.machines[machine];
        let seeds: Vec<_> = self.controls().iter().map(|it| format!("\"{it}\"")).collect();
        let zones: Vec<_> = self.machines[..DISK_MACHINES]
            .iter()
            .map(|it| format!("{} = \"{}\"", it.zone, it.region))
            .collect();
        let data = self.dir.join(format!("{}-data", it.name));
        let data = if machine < DISK_MACHINES {
            format!("dataDir = \"{}\"", data.display())
        } else {
            String::new()
        };
        let listen = match role {
            "control" => format!("control = \"{}\"\n", self.addr(machine, CONTROL)),
            _ => format!(
                "front = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\n",
                self.addr(machine, FRONT),
                self.addr(machine, READY),
                self.addr(machine, DIRECTORY)
            ),
        };
        let serves = if role == "control" { "\"control\"" } else { "\"front\",\"directory\"" };
        format!(
            r#"nodeName = "{name}"
role = "{role}"
machineClass = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
inTolerance = true
{data}
discovery = "registration"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","places"]
config_mode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpuShare = 0.45
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = 1
zones = 1
regions = 1
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 62
coldLoadFactor = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
ttl_max_s = 5
"#,
            name = it.name,
            bootstrap = self.bootstrap,
            memory_mb = self.memory_mb,
            ip = it.ip,
            zone = it.zone,
            region = it.region,
            first = self.first_port,
            last = self.first_port + 2,
            seeds = seeds.join(","),
            data = data,
            zones = zones.join("\n"),
        )
    }

    /// Kills the control processes of all machines at the same moment.
    pub fn kill_controls(&mut self) {
        for child in self.machines.iter_mut().filter_map(|it| it.control.as_mut()) {
            let _ = child.kill();
        }
    }

    /// Does the platform's part once: starts each control process that has ended, as without a bootstrap, and kills each
    /// one that uses more than `memory_bytes`. Returns the names of the killed ones.
    pub fn supervise_controls(&mut self, memory_bytes: u64) -> Result<Vec<String>, String> {
        let mut killed = Vec::new();
        for i in 0..DISK_MACHINES {
            let name = self.machines[i].name.clone();
            let Some(child) = &mut self.machines[i].control else { continue };
            if !matches!(child.try_wait(), Ok(None)) {
                self.bootstrap = false;
                self.start_role(i, "control")?;
                continue;
            }
            if resident_bytes(child.id()).is_some_and(|it| it > memory_bytes) {
                let _ = child.kill();
                killed.push(name);
            }
        }
        Ok(killed)
    }

    /// The most memory that the control process of each machine has used since its start, in bytes.
    pub fn control_peaks(&self) -> Vec<u64> {
        let ids = self.machines.iter().filter_map(|it| it.control.as_ref()).map(Child::id);
        ids.map(|it| status_bytes(it, "VmHWM:").unwrap_or(0)).collect()
    }

    /// The size of the files of each control host, in bytes.
    pub fn disk_bytes(&self) -> Vec<u64> {
        let dirs = self.machines[..DISK_MACHINES].iter().map(|it| format!("{}-data", it.name));
        let size = |it: String| {
            let files = fs::read_dir(self.dir.join(it)).into_iter().flatten().flatten();
            files.filter_map(|it| it.metadata().ok()).map(|it| it.len()).sum()
        };
        dirs.map(size).collect()
    }

    /// Sends SIGTERM to the relay of a machine.
    pub fn terminate_relay(&self, machine: usize) -> Result<(), String> {
        let relay = self.machines[machine].relay.as_ref().ok_or("the relay is not running")?;
        let status = Command::new("bash")
            .args(["-c", &format!("kill -TERM {}", relay.id())])
            .status()
            .map_err(|err| format!("kill: {err}"))?;
        if status.success() { Ok(()) } else { Err("SIGTERM could not be sent".into()) }
    }

    /// Sends a configuration to one control host and returns the status and body of the response.
    pub fn put_config(&self, machine: usize, config: &str) -> Result<(u16, String), String> {
        let control = self.addr(machine, CONTROL);
        let response =
            http::call(control, "POST", "/config/replace", config, Duration::from_secs(2))
                .map_err(|err| format!("{control}: {err}"))?;
        Ok((response.status().unwrap_or(0), response.text()))
    }

    /// Reads the configuration back from one control host.
    pub fn get_config(&self, machine: usize) -> Result<(u16, String), String> {
        self.reader(machine)()
    }

    /// A function that reads the configuration back from one control host.
    pub fn reader(
        &self,
        machine: usize,
    ) -> impl FnOnce() -> Result<(u16, String), String> + Send + use<> {
        let control = self.addr(machine, CONTROL);
        move || {
            let response = http::call(control, "GET", "/config/get", "", Duration::from_secs(2))
                .map_err(|err| format!("{control}: {err}"))?;
            Ok((response.status().unwrap_or(0), response.text()))
        }
    }
}

impl Drop for Cluster {
    /// Kills the processes and removes the temporary folder.
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for child in [&mut machine.control, &mut machine.relay].into_iter().flatten() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn resident_bytes(pid: u32) -> Option<u64> {
    status_bytes(pid, "VmRSS:")
}

/// A field of the kernel's status of a process that is given in kB.
fn status_bytes(pid: u32, field: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix(field))?;
    Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? << 10)
}

/// The first of adjacent ports that are free at all addresses.
fn free_ports(ips: &[IpAddr]) -> Option<u16> {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.subsec_nanos();
    let start = 20_000 + (seed / 1_000 % 1_000) as u16 * 10;
    let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
    (0..100).map(|it| start + it * 10).find(|first| (0..PORTS).all(|it| is_free(first + it)))
}

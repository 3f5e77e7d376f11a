//! Machines of a small deployment: each runs the project's programs as the deploy file says, on an IP of its own, with
//! ports that are the same on all machines.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http;

/// The program that the deploy file builds and runs.
const PROGRAM: &str = "target/release/gentianpass-platform";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Relay,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Relay => "relay",
        }
    }
}

/// The ports of all machines, as offsets from the first one.
#[derive(Clone, Copy)]
struct Ports(u16);

impl Ports {
    const COUNT: u16 = 20;
    const INTERNAL: u16 = 4;

    fn control(self) -> u16 {
        self.0
    }
    fn directory(self) -> u16 {
        self.0 + 1
    }
    fn front(self) -> u16 {
        self.0 + 2
    }
    fn ready(self) -> u16 {
        self.0 + 3
    }
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub region: String,
    pub ip: Ipv4Addr,
    pub has_disk: bool,
    ports: Ports,
    control: Option<Child>,
    relay: Option<Child>,
}

impl Machine {
    pub fn control_addr(&self) -> SocketAddr {
        (self.ip, self.ports.control()).into()
    }
    pub fn front_addr(&self) -> SocketAddr {
        (self.ip, self.ports.front()).into()
    }
    pub fn ready_addr(&self) -> SocketAddr {
        (self.ip, self.ports.ready()).into()
    }
    pub fn directory_addr(&self) -> SocketAddr {
        (self.ip, self.ports.directory()).into()
    }
    fn child(&mut self, role: Role) -> &mut Option<Child> {
        match role {
            Role::Control => &mut self.control,
            Role::Relay => &mut self.relay,
        }
    }
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    dir: PathBuf,
}

impl Fleet {
    /// Prepares machines, given as zone, region and whether they have a disk.
    pub fn new(places: &[(&str, &str, bool)]) -> io::Result<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("gp-review-{pid}-{}", now.as_millis()));
        fs::create_dir_all(&dir)?;
        let net = (pid % 200 + 20) as u8;
        let ip = |i: usize| Ipv4Addr::new(127, 90, net, 10 + i as u8);
        let ips: Vec<_> = (0..places.len()).map(ip).collect();
        let ports = free_ports(&ips, pid)?;
        let machine = |(i, (zone, region, has_disk)): (usize, &(&str, &str, bool))| Machine {
            name: format!("front-{zone}-{}", i + 1),
            zone: (*zone).to_owned(),
            region: (*region).to_owned(),
            ip: ips[i],
            has_disk: *has_disk,
            ports,
            control: None,
            relay: None,
        };
        let machines = places.iter().enumerate().map(machine).collect();
        Ok(Self { machines, dir })
    }

    /// Writes the settings files of these roles of a machine.
    fn write_settings(&self, i: usize, roles: &[Role], bootstrap: bool) -> io::Result<()> {
        let machine = &self.machines[i];
        let Ports(first) = machine.ports;
        let internal = first + Ports::INTERNAL;
        let seeds: Vec<_> = self.machines.iter().filter(|it| it.has_disk).take(3).collect();
        let seeds: Vec<_> = seeds.iter().map(|it| format!("\"{}\"", it.control_addr())).collect();
        let mut zones: Vec<_> =
            self.machines.iter().map(|it| format!("{} = \"{}\"", it.zone, it.region)).collect();
        zones.sort();
        zones.dedup();
        for role in roles.iter().copied() {
            let data = self.dir.join(&machine.name).join("data");
            let disk = if role == Role::Control {
                format!("dataDir = \"{}\"\n", data.display())
            } else {
                String::new()
            };
            let listen = match role {
                Role::Control => format!("control = \"{}\"", machine.control_addr()),
                Role::Relay => format!(
                    "front = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"",
                    machine.front_addr(),
                    machine.ready_addr(),
                    machine.directory_addr()
                ),
            };
            let text = format!(
                "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"front\"\nip = \"{ip}\"\n\
                 zone = \"{zone}\"\nregion = \"{region}\"\ninternalPorts = [{internal},{last}]\n\
                 seeds = [{seeds}]\nbootstrap = {bootstrap}\ninTolerance = {disk_there}\n{disk}\
                 discovery = \"registration\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\n\
                 config_mode = \"highest\"\n[zones]\n{zones}\n[listen]\n{listen}\n\
                 [limits]\ncpuShare = 0.45\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 64\n\
                 [faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n\
                 [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstabilityWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\n\
                 drainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\n\
                 maxSkewMs = 12000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 62\n\
                 coldLoadFactor = 1.5\ncoldSlack = 5\nevacuateMs = 5000\nrecoveryS = 12\nttl_max_s = 5\n",
                name = machine.name,
                role = role.name(),
                ip = machine.ip,
                zone = machine.zone,
                region = machine.region,
                last = internal + 15,
                seeds = seeds.join(","),
                disk_there = machine.has_disk,
                zones = zones.join("\n"),
            );
            fs::create_dir_all(self.dir.join(&machine.name))?;
            fs::write(self.settings_file(i, role), text)?;
        }
        Ok(())
    }

    fn settings_file(&self, i: usize, role: Role) -> PathBuf {
        self.dir.join(&self.machines[i].name).join(format!("{}.toml", role.name()))
    }

    /// Starts all roles of all machines for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        for i in 0..self.machines.len() {
            self.write_settings(i, &[Role::Control, Role::Relay], true)?;
        }
        for i in 0..self.machines.len() {
            if self.machines[i].has_disk {
                self.spawn(i, Role::Control)?;
            }
            self.spawn(i, Role::Relay)?;
        }
        Ok(())
    }

    fn spawn(&mut self, i: usize, role: Role) -> io::Result<()> {
        let log = self.dir.join(&self.machines[i].name).join(format!("{}.log", role.name()));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg(role.name())
            .env("GENTIANPASS_CONFIG", self.settings_file(i, role))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.machines[i].child(role) = Some(child);
        Ok(())
    }

    /// Sends a signal to the process of a role.
    pub fn signal(&mut self, i: usize, role: Role, name: &str) -> bool {
        let child = self.machines[i].child(role).as_ref();
        let Some(pid) = child.map(Child::id) else { return false };
        let args = [format!("-{name}"), pid.to_string()];
        Command::new("kill").args(args).status().is_ok_and(|it| it.success())
    }

    /// Sends a call of the operator to one control host after the other until one answers with a status below 500.
    pub fn operate(&self, method: &str, path: &str, body: &str) -> Option<(usize, http::Message)> {
        let hosts = self.machines.iter().enumerate().filter(|(_, it)| it.has_disk);
        for (i, machine) in hosts {
            let timeout = Duration::from_secs(1);
            let answer = http::call(machine.control_addr(), method, path, body.as_bytes(), timeout);
            if let Ok(answer) = answer
                && answer.status() < 500
            {
                return Some((i, answer));
            }
        }
        None
    }

    /// Repeats [`Self::operate`] until it is acknowledged.
    pub fn order(&self, path: &str, body: &str, attempts: u32) -> Option<usize> {
        for _ in 0..attempts {
            if let Some((i, answer)) = self.operate("POST", path, body)
                && answer.status() == 200
            {
                return Some(i);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// The last lines of the logs, for the record.
    pub fn log_lines(&self, i: usize, role: Role, words: &[&str]) -> Vec<String> {
        let log = self.dir.join(&self.machines[i].name).join(format!("{}.log", role.name()));
        let text = fs::read_to_string(log).unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().any(|it| line.contains(it)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            for role in [Role::Control, Role::Relay] {
                if let Some(child) = machine.child(role) {
                    let _ = child.kill();
                    let _ = child.wait();
                }
            }
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("kept {}", self.dir.display());
        }
    }
}

/// Finds ports that are free on all these addresses.
fn free_ports(ips: &[Ipv4Addr], pid: u32) -> io::Result<Ports> {
    for attempt in 0..200u32 {
        let first = 10_000 + ((pid * 37 + attempt * 23) % 20_000) as u16;
        let free = (first..first + Ports::COUNT)
            .all(|port| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok()));
        if free {
            return Ok(Ports(first));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

//! A child process with a settings file and a log file.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use eyre::WrapErr;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process};

/// The interval at which a process that should exit is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The unit of CPU times in `/proc`: Linux reports them in units of 1/100 s.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// A child process. Dropping it kills the process.
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Runs `PROGRAM --settings FILE` with its output appended to a log file.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> eyre::Result<Self> {
        let child = spawn(program, settings, log)?;
        Ok(Self {
            program: program.to_owned(),
            settings: settings.to_owned(),
            log: log.to_owned(),
            child,
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, or none while the process runs.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Freezes the process (SIGSTOP) and waits until all its threads have stopped. Sending the signal is not enough:
    /// the other threads run on until the thread that takes the signal is scheduled.
    pub fn freeze(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let stopped_or_ended = WaitIdOptions::STOPPED | WaitIdOptions::EXITED;
        let pid = WaitId::Pid(Pid::from_child(&self.child));
        // NOWAIT leaves the exit status to be collected by `ended` or `kill`.
        rustix::process::waitid(pid, stopped_or_ended | WaitIdOptions::NOWAIT)?;
        Ok(())
    }

    /// Resumes a frozen process (SIGCONT).
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Waits until the process has exited.
    pub async fn wait(&mut self, timeout: Duration) -> eyre::Result<ExitStatus> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        eyre::bail!("process {} did not exit within {timeout:?}", self.id())
    }

    /// Runs the program again with the same files. A running process is killed first.
    pub fn restart(&mut self) -> eyre::Result<()> {
        if self.ended()?.is_none() {
            self.kill()?;
        }
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        Ok(())
    }

    /// The user and system CPU time that the process has used, with a resolution of 10 ms.
    pub fn cpu_time(&self) -> eyre::Result<Duration> {
        let path = format!("/proc/{}/stat", self.id());
        let stat = std::fs::read_to_string(&path).wrap_err(path)?;
        // The program name, in parentheses, may contain spaces. User and system time are fields 14 and 15.
        let after_name = stat.rsplit_once(')').map_or("", |(_, it)| it);
        let ticks = after_name.split_whitespace().skip(11).take(2).map(str::parse::<u32>);
        let ticks = ticks.sum::<Result<u32, _>>()?;
        Ok(CLOCK_TICK * ticks)
    }

    /// The last 20 lines of the log.
    pub fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = log.lines().rev().take(20).collect();
        lines.into_iter().rev().collect::<Vec<_>>().join("\n")
    }

    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        // The kernel may give the id of an exited process to another one, so it must not be signalled.
        if let Some(status) = self.ended()? {
            let message = format!("cannot signal: process exited ({status}): {}", self.log_tail());
            return Err(io::Error::new(io::ErrorKind::NotFound, message));
        }
        let pid = Pid::from_child(&self.child);
        Ok(kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> eyre::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    let err = out.try_clone()?;
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(err)
        .spawn()
        .wrap_err_with(|| format!("cannot start {}", program.display()))
}

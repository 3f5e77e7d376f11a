//! Supervision: which tasks end a process, and when a task counts as stuck.

use std::{
    env,
    future::pending,
    io::Write,
    os::{fd::OwnedFd, unix::net::UnixStream},
    process::{Command, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use gentianpass::{
    process,
    supervise::{Failure, MAX_ROUND_TICKS, Tasks, Watched, watch},
};
use tokio::time::{sleep, timeout};

const TICK: Duration = Duration::from_millis(10);

fn ended(task: &'static str, cause: &str) -> Failure {
    Failure::Ended { task, cause: cause.into() }
}

async fn panics() {
    panic!("fault {}", 7)
}

/// Guards against a process that goes on after the panic of a spawned task, which the runtime catches.
#[tokio::test]
async fn ended_panic() {
    let mut tasks = Tasks::default();
    tasks.spawn("hangs", pending::<()>());
    tasks.spawn("panics", panics());
    assert_eq!(tasks.ended().await, ended("panics", "panicked: fault 7"));
}

#[tokio::test]
async fn ended_return() {
    let mut tasks = Tasks::default();
    tasks.spawn("hangs", pending::<()>());
    tasks.spawn("returns", async {});
    assert_eq!(tasks.ended().await, ended("returns", "returned"));
}

#[tokio::test]
async fn ended_error() {
    let mut tasks = Tasks::default();
    tasks.spawn("fails", async { Err::<(), _>("no disk") });
    assert_eq!(tasks.ended().await, ended("fails", "no disk"));
}

/// Guards against a process without essential tasks that ends at once, and against a wait that ends before its time.
#[tokio::test]
async fn ended_none() {
    let mut tasks = Tasks::default();
    assert!(timeout(TICK, tasks.ended()).await.is_err());
    tasks.spawn("hangs", pending::<()>());
    assert!(timeout(TICK, tasks.ended()).await.is_err());
}

/// Guards against a stop that waits for the wrong task, or loses the error of one that fails while it ends.
#[tokio::test]
async fn wait_named_task() {
    let mut tasks = Tasks::default();
    tasks.spawn("returns", async { sleep(TICK).await });
    tasks.spawn("fails", async { Err::<(), _>("no disk") });
    assert_eq!(tasks.wait("returns").await, Ok(()));
    assert_eq!(tasks.wait("returns").await, Ok(()));
    tasks.spawn("fails late", async {
        sleep(TICK).await;
        Err::<(), _>("no disk")
    });
    assert_eq!(tasks.wait("fails late").await, Err(ended("fails late", "no disk")));
}

#[test]
fn tick_stuck() {
    let mut watched = Watched::default();
    let ticks = [0, 0, 1, 1, 1, 2, 2, 2, 2];
    let stuck: Vec<_> = ticks.iter().map(|progress| watched.tick(*progress, 3)).collect();
    assert_eq!(stuck, [false, false, false, false, false, false, false, false, true]);
}

/// Guards against a relay that ends because it reaches no control host. The first one may be asked to wait for 1 s, all others
/// are asked within another second, and each has 1.2 s to fail.
#[test]
fn max_round_ticks_outlasts_round() {
    let round_ms = 1_000 + 1_000 + 1_200 + 100;
    let allowed_ms = u64::from(MAX_ROUND_TICKS) * 1_000;
    assert!(allowed_ms > 2 * 1_000 + round_ms, "{allowed_ms} ms");
}

/// Guards against a process that goes on with a task that waits for ever, and against the end of one whose task works
/// slowly.
#[tokio::test]
async fn watch_stuck() {
    let rounds = AtomicU64::new(0);
    let work = async {
        for _ in 0..5 {
            sleep(4 * TICK).await;
            rounds.fetch_add(1, Ordering::Relaxed);
        }
        pending::<()>().await;
    };
    let watch = watch("works", TICK, || rounds.load(Ordering::Relaxed), 20);
    let failure = tokio::select! {
        () = work => unreachable!(),
        it = timeout(100 * 20 * TICK, watch) => it.expect("not noticed"),
    };
    assert!(matches!(failure, Failure::Stuck { task: "works", .. }), "{failure:?}");
    assert_eq!(rounds.load(Ordering::Relaxed), 5);
}

/// Set for the child process of [`panic_blocked_stderr`].
const CHILD_VARIABLE: &str = "GENTIANPASS_TEST_PANIC";

/// Guards against a process that hangs for good in a write to its standard error, which nobody reads, when a task panics.
#[test]
fn panic_blocked_stderr() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        process::log_to_stdout();
        assert!(std::thread::spawn(|| panic!("fault")).join().is_err());
        // The log holds the lock of standard output, for which the test harness would wait.
        std::process::exit(0);
    }
    let (mut writer, _reader) = UnixStream::pair().unwrap();
    writer.set_nonblocking(true).unwrap();
    while writer.write(&[b'x'; 4096]).is_ok() {}
    writer.set_nonblocking(false).unwrap();
    let mut child = Command::new(env::current_exe().unwrap())
        .args(["--exact", "--nocapture", "panic_blocked_stderr"])
        .env(CHILD_VARIABLE, "1")
        .stdout(Stdio::null())
        .stderr(OwnedFd::from(writer))
        .spawn()
        .unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    let status = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break status;
        }
        if Instant::now() > end {
            child.kill().unwrap();
            child.wait().unwrap();
            panic!("the process hangs");
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(status.success(), "{status}");
}

//! Supervision of the tasks without which a process must not go on. The runtime catches the panic of a spawned task, so
//! that a process whose tasks nobody watches goes on without them.

use std::{
    any::Any,
    collections::HashMap,
    fmt::Display,
    time::{Duration, Instant},
};

use tokio::{
    task::{AbortHandle, Id, JoinError, JoinSet},
    time::MissedTickBehavior,
};

/// How often [`watch`] looks at the progress of a task.
pub const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The number of ticks within which a round of polls ends, well or badly. A round that fails because no control host answers
/// takes a few seconds, and is no reason to end the process.
pub const MAX_ROUND_TICKS: u32 = 10;

/// Why a process cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// An essential task has ended.
    #[error("task {task} has ended: {cause}")]
    Ended {
        /// The task.
        task: &'static str,
        /// The message of its panic, its error, or that it returned.
        cause: String,
    },
    /// An essential task makes no progress.
    #[error("task {task} has made no progress for {} s", stuck_for.as_secs())]
    Stuck {
        /// The task.
        task: &'static str,
        /// The time without progress.
        stuck_for: Duration,
    },
}

/// What an essential task returns: nothing, or a result.
pub trait Outcome: Send + 'static {
    /// The error that the task ended with, if any.
    fn into_error(self) -> Option<String>;
}

impl Outcome for () {
    fn into_error(self) -> Option<String> {
        None
    }
}

impl<T: Send + 'static, E: Display + Send + 'static> Outcome for Result<T, E> {
    fn into_error(self) -> Option<String> {
        self.err().map(|it| format!("{it:#}"))
    }
}

/// The essential tasks of a process. Tasks that still run are aborted when this is dropped.
#[derive(Default)]
pub struct Tasks {
    running: JoinSet<Option<String>>,
    handles: HashMap<Id, (&'static str, AbortHandle)>,
}

impl Tasks {
    /// Starts a task.
    pub fn spawn(
        &mut self,
        task: &'static str,
        future: impl Future<Output: Outcome> + Send + 'static,
    ) {
        let handle = self.running.spawn(async move { future.await.into_error() });
        self.handles.insert(handle.id(), (task, handle));
    }

    /// Aborts a task.
    pub fn abort(&self, task: &str) {
        self.handles.values().filter(|(name, _)| *name == task).for_each(|(_, it)| it.abort());
    }

    /// Waits until any task ends, for whatever reason, and logs that. Never completes without tasks.
    pub async fn ended(&mut self) -> Failure {
        let Some((task, error)) = self.next_ended().await else {
            return std::future::pending().await;
        };
        let cause = error.unwrap_or_else(|| "returned".to_owned());
        log::error!("event=task_ended task={task} cause={cause:?}");
        Failure::Ended { task, cause }
    }

    /// Waits until a task that was told to end has ended. Fails if it panicked or returned an error.
    pub async fn wait(&mut self, task: &'static str) -> Result<(), Failure> {
        while self.handles.values().any(|(name, _)| *name == task) {
            match self.next_ended().await {
                Some((ended, Some(cause))) if ended == task => {
                    return Err(Failure::Ended { task, cause });
                }
                Some(_) => {}
                None => break,
            }
        }
        Ok(())
    }

    /// The task that ended next, with its error or the message of its panic.
    async fn next_ended(&mut self) -> Option<(&'static str, Option<String>)> {
        let (id, error) = match self.running.join_next_with_id().await? {
            Ok((id, error)) => (id, error),
            Err(err) => (err.id(), Some(describe(err))),
        };
        let task = self.handles.remove(&id).map_or("unknown", |(task, _)| task);
        Some((task, error))
    }
}

fn describe(err: JoinError) -> String {
    match err.try_into_panic() {
        Ok(payload) => format!("panicked: {}", panic_message(&*payload)),
        Err(err) => err.to_string(),
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}

/// What a watchdog knows of a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watched {
    progress: u64,
    idle_ticks: u32,
}

impl Watched {
    /// Takes the progress of the task at a tick, and returns whether the task is stuck: its progress has been the same at
    /// `max_idle_ticks` ticks in a row. Only ticks count and not the time between them: a process that was stopped and
    /// goes on had no chance to make progress.
    pub fn tick(&mut self, progress: u64, max_idle_ticks: u32) -> bool {
        if progress == self.progress {
            self.idle_ticks += 1;
        } else {
            *self = Self { progress, idle_ticks: 0 };
        }
        self.idle_ticks >= max_idle_ticks
    }
}

/// Waits until a task is stuck, and logs that. `progress` is a number that changes while the task works, and
/// `max_idle_ticks` the number of ticks, one per `interval`, for which it may stay the same.
pub async fn watch(
    task: &'static str,
    interval: Duration,
    progress: impl Fn() -> u64,
    max_idle_ticks: u32,
) -> Failure {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut watched = Watched::default();
    let mut last_progress = (progress(), Instant::now());
    loop {
        ticks.tick().await;
        let now = progress();
        if now != last_progress.0 {
            last_progress = (now, Instant::now());
        }
        if watched.tick(now, max_idle_ticks) {
            let stuck_for = last_progress.1.elapsed();
            log::error!("event=task_stuck task={task} stuck_ms={}", stuck_for.as_millis());
            return Failure::Stuck { task, stuck_for };
        }
    }
}

//! Enters polls and their connections in the roster of a control host, and logs what the roster finds.

use std::{
    sync::{Arc, OnceLock},
    time::Instant,
};

use tokio::time::MissedTickBehavior;

use crate::{
    control::{
        host::Host,
        roster::{Answer, Behind, CHECK_INTERVAL, Entry, Findings, Refused},
    },
    error::Result,
    state::Revision,
    wire::control::{ProcessId, Update},
};

/// A poll in progress. If it is dropped before its result is recorded, the process has given it up.
pub struct Visit<'a> {
    host: &'a Host,
    process: ProcessId,
    began_at: Instant,
    answer: Answer,
    cause: Option<String>,
}

impl<'a> Visit<'a> {
    /// Enters a poll.
    pub fn begin(host: &'a Host, process: ProcessId, revision: Revision) -> Self {
        let began_at = Instant::now();
        host.roster.lock().begin_poll(&process, revision, began_at);
        Self { host, process, began_at, answer: Answer::Abandoned, cause: None }
    }

    /// Records the result of the poll.
    pub fn end(mut self, result: &Result<Update>) {
        self.answer = Answer::new(result);
        if let Err(err) = result {
            let kind: &str = err.kind.into();
            self.host.metrics.refused_polls.with_label_values(&[kind]).inc();
            let position = self.host.position();
            self.cause = Some(format!("kind={kind} {position} cause={:?}", err.message));
        }
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        let mut roster = self.host.roster.lock();
        let cause = self.cause.take();
        roster.end_poll(&self.process, self.began_at, self.answer, cause, Instant::now());
    }
}

/// A connection, and the first process that has polled over it.
pub struct Link {
    host: Arc<Host>,
    process: OnceLock<ProcessId>,
}

impl Link {
    /// A connection over which no process has polled.
    pub fn new(host: Arc<Host>) -> Self {
        Self { host, process: OnceLock::new() }
    }

    /// Records that a process polls over this connection.
    pub fn record_poll(&self, process: &ProcessId) {
        self.process.get_or_init(|| {
            self.host.roster.lock().connect(process, Instant::now());
            process.clone()
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(process) = self.process.get() {
            self.host.roster.lock().disconnect(process);
        }
    }
}

/// Follows the revisions of this host and calls the roll until the process ends.
pub async fn run(host: Arc<Host>) {
    let mut revision = host.revision.subscribe();
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let newest = *revision.borrow_and_update();
        host.roster.lock().record_revision(newest, Instant::now());
        tokio::select! {
            // The sender lives as long as `host`.
            _ = revision.changed() => {}
            _ = checks.tick() => call(&host),
        }
    }
}

fn call(host: &Host) {
    let found = host.with_tables(|it| host.roster.lock().check(&it.config.nodes, Instant::now()));
    let Findings { newest, polling, behind_count, behind, ceased, refused_count, refused } = found;
    let via = &host.cfg.name;
    for Behind { entry, revision, outdated_for, polled_ago } in behind {
        log::warn!(
            "event=relay_behind {} revision={revision} newest={newest} outdated_ms={} \
             polled_ms_ago={} last_revision={} {} via={via} behind={behind_count} \
             polling={polling}",
            subject(&entry),
            outdated_for.as_millis(),
            polled_ago.as_millis(),
            entry.revision,
            ending(&entry),
        );
    }
    for Refused { entry, count, cause } in refused {
        log::warn!(
            "event=poll_refused {} revision={} newest={newest} took_ms={} count={count} via={via} \
             refused={refused_count} polling={polling} {cause}",
            subject(&entry),
            entry.revision,
            entry.took.as_millis(),
        );
    }
    for entry in &ceased {
        log::warn!(
            "event=polls_ceased {} revision={} newest={newest} polled_ms_ago={} {} via={via} \
             polling={polling}",
            subject(entry),
            entry.revision,
            entry.polled_ago.as_millis(),
            ending(entry),
        );
    }
    host.metrics.ceased_followers.with_label_values::<&str>(&[]).inc_by(ceased.len() as u64);
    for (state, count) in [("polling", polling), ("behind", behind_count)] {
        host.metrics.followers.with_label_values(&[state]).set(count as i64);
    }
}

/// The fields that name a process.
fn subject(entry: &Entry) -> String {
    let Entry { process, zone, .. } = entry;
    let zone = zone.as_deref().unwrap_or("-");
    format!("relay={} zone={zone} incarnation={}", process.process_name, process.incarnation)
}

/// The fields that tell how the last poll ended, and what is open.
fn ending(entry: &Entry) -> String {
    let Entry { answer, took, open, connections, .. } = entry;
    let took_ms = took.as_millis();
    format!("answered={answer} took_ms={took_ms} open={open} connections={connections}")
}

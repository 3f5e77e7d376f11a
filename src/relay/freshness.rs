//! How fresh the configuration of this relay is, and the log of the times in which no control host confirms it.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::{sync::watch, time::timeout};

use crate::{descriptors, policy::rollout::LEASE_MS, relay::host::Host, state::Revision};

/// A configuration that was not confirmed for this long is logged as late. While nothing changes, its age cycles up to
/// two polls and their ways, because a poll is held for a second and the age counts from its sending.
pub const LATE_CONFIG_AGE: Duration = Duration::from_millis(2_500);

/// For how long a confirmation of the configuration allows requests to a version under rollout. Control hosts wait for
/// longer before they go on without a host that does not answer.
const LEASE: Duration = Duration::from_millis(LEASE_MS);

/// Minimum time between two log lines about a configuration that is not confirmed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How often the age is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether to log now that the configuration is not confirmed. `logged_at` is when this was logged last.
pub fn is_log_due(age: Duration, logged_at: Option<Instant>, now: Instant) -> bool {
    let waited = |it| now.saturating_duration_since(it) >= LOG_INTERVAL;
    age > LATE_CONFIG_AGE && logged_at.is_none_or(waited)
}

/// How long a request waits for the first polls of a process that stood still. A poll takes a few round trips.
const PAUSE_END_WAIT: Duration = Duration::from_millis(300);

/// The poll that was open while a process stood still may fail, because its time is over. The next one decides.
const POLLS_AFTER_PAUSE: u64 = 2;

/// Whether a poll may bring another configuration in a moment: the age exceeds the limit although hardly any poll has ended
/// since the last confirmation, so that this process stood still.
pub fn is_poll_awaited(age: Duration, max_age: Duration, ended_polls: u64) -> bool {
    age > max_age && ended_polls < POLLS_AFTER_PAUSE
}

/// The revision and the digest of a configuration.
pub(super) type Identity = (Revision, u64);

/// A confirmation of a configuration by control hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Known {
    /// The time at which the poll was sent. Nothing newer was committed before.
    pub(super) at: Instant,
    /// The time at which its answer arrived.
    pub(super) heard_at: Instant,
}

impl Known {
    fn merge(known: Option<Self>, other: Self) -> Option<Self> {
        let merged =
            |it: Self| Self { at: it.at.max(other.at), heard_at: it.heard_at.max(other.heard_at) };
        Some(known.map_or(other, merged))
    }
}

/// What the polls tell of the configuration.
#[derive(Default)]
struct State {
    /// When the poll that last confirmed the configuration was sent. Commits before it are in force.
    confirmed_at: Option<Instant>,
    /// The latest confirmation of the configuration, by own polls or by those of other relays.
    known: Option<Known>,
    /// The configuration that another relay last said to be confirmed, and when.
    relay_confirmation: Option<(Identity, Instant)>,
    /// The control host that answered last.
    control_host: Option<SocketAddr>,
    /// Polls that were answered since the last confirmation.
    answered: u64,
    /// Polls that failed at all control hosts since the last confirmation.
    failed: u64,
    /// Why the last poll or update failed since the last confirmation.
    failure: Option<String>,
}

/// Tells how long ago control hosts confirmed the configuration in force.
pub(super) struct Freshness {
    started_at: Instant,
    state: Mutex<State>,
    /// Changes when a poll has ended, well or badly.
    ended_poll: watch::Sender<()>,
}

impl Freshness {
    pub(super) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            state: Mutex::default(),
            ended_poll: watch::Sender::default(),
        }
    }

    /// Records that a control host has answered a poll.
    pub(super) fn record_answer(&self, control_host: SocketAddr) {
        let mut state = self.state.lock();
        state.control_host = Some(control_host);
        state.answered += 1;
    }

    /// Records that no control host has answered a poll.
    pub(super) fn record_failed_poll(&self, cause: &str) {
        let mut state = self.state.lock();
        state.failed += 1;
        state.failure = Some(cause.to_owned());
        drop(state);
        self.ended_poll.send_replace(());
    }

    /// Records that an answer could not be applied.
    pub(super) fn record_failed_update(&self, cause: &str) {
        self.state.lock().failure = Some(cause.to_owned());
    }

    /// Records that a poll sent at this time has confirmed the configuration. Returns its age before that, counted from
    /// the start of the process if it was not confirmed before, and whether it was.
    pub(super) fn confirm(&self, sent_at: Instant) -> (Duration, bool) {
        let mut state = self.state.lock();
        let before = state.confirmed_at.replace(sent_at);
        state.known = Known::merge(state.known, Known { at: sent_at, heard_at: Instant::now() });
        (state.answered, state.failed, state.failure) = (0, 0, None);
        drop(state);
        self.ended_poll.send_replace(());
        (before.unwrap_or(self.started_at).elapsed(), before.is_some())
    }

    /// Waits for a short time until polls tell what is in force, if this process stood still for longer than `max_age`.
    /// Returns false if they have not told by then.
    pub(super) async fn polls_after_pause(&self, max_age: Duration) -> bool {
        let mut ended_poll = self.ended_poll.subscribe();
        let polled = async {
            while is_poll_awaited(self.age(), max_age, self.ended_polls()) {
                if ended_poll.changed().await.is_err() {
                    return;
                }
            }
        };
        timeout(PAUSE_END_WAIT, polled).await.is_ok()
    }

    /// The number of polls that have ended since the last confirmation.
    fn ended_polls(&self) -> u64 {
        let state = self.state.lock();
        state.answered + state.failed
    }

    /// When the poll that last confirmed the configuration was sent; none before the first one.
    pub(super) fn confirmed_at(&self) -> Option<Instant> {
        self.state.lock().confirmed_at
    }

    /// Records that control hosts have confirmed this configuration to another relay. That is no lease: control hosts go on
    /// without a host that does not poll.
    pub(super) fn confirm_by_relay(&self, identity: Identity, known: Known) {
        let mut state = self.state.lock();
        state.known = Known::merge(state.known, known);
        state.relay_confirmation = Some((identity, known.at));
    }

    /// Forgets what is known of the configuration, because it is replaced by one for which that does not hold.
    pub(super) fn restart(&self) {
        let mut state = self.state.lock();
        (state.known, state.relay_confirmation) = (None, None);
    }

    /// Returns true if another relay has had this configuration confirmed within [`LATE_CONFIG_AGE`].
    pub(super) fn is_confirmed_by_relay(&self, identity: Identity) -> bool {
        let confirmation = self.state.lock().relay_confirmation;
        confirmation.is_some_and(|(it, at)| it == identity && at.elapsed() <= LATE_CONFIG_AGE)
    }

    /// The latest confirmation of the configuration, by own polls or by those of other relays; none before the first poll.
    pub(super) fn known(&self) -> Option<Known> {
        self.state.lock().known
    }

    /// The time since the configuration was last confirmed, or since the start of the process.
    pub(super) fn age(&self) -> Duration {
        self.known().map_or(self.started_at, |it| it.at).elapsed()
    }

    /// Whether control hosts have confirmed the configuration within the last [`LEASE`].
    pub(super) fn has_lease(&self) -> bool {
        self.confirmed_at().is_some_and(|it| it.elapsed() < LEASE)
    }

    /// The control host that answered last, for the log.
    pub(super) fn control_host(&self) -> String {
        self.state.lock().control_host.map_or_else(|| "-".into(), |it| it.to_string())
    }

    fn log_unconfirmed(&self, host: &Host, age: Duration) {
        let (answered, failed, cause) = {
            let state = self.state.lock();
            (state.answered, state.failed, state.failure.clone().unwrap_or_default())
        };
        let view = host.view();
        let descriptors = descriptors::open_count().map_or_else(|| "-".into(), |it| it.to_string());
        log::warn!(
            "event=config_unconfirmed age_ms={} revision={} version={} control_host={} \
             polls={answered}/{failed} descriptors={descriptors}/{} cause={cause:?}",
            age.as_millis(),
            view.revision,
            view.table.version,
            self.control_host(),
            descriptors::limit(host.cfg.max_descriptors),
        );
    }
}

/// Logs while the configuration is not confirmed. It runs in a task of its own, so that it also tells when the one that
/// polls hangs or has ended.
pub(super) fn spawn_log(host: &Arc<Host>) {
    let host = Arc::downgrade(host);
    tokio::spawn(run_log(host));
}

async fn run_log(host: Weak<Host>) {
    let mut logged_at = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let Some(host) = host.upgrade() else { return };
        let (age, now) = (host.freshness.age(), Instant::now());
        host.metrics.set_config_age(age);
        if is_log_due(age, logged_at, now) {
            if logged_at.is_none() {
                host.metrics.record_config_fault("unconfirmed");
            }
            logged_at = Some(now);
            host.freshness.log_unconfirmed(&host, age);
        } else if age <= LATE_CONFIG_AGE {
            logged_at = None;
        }
    }
}

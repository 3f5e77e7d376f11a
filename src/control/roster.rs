//! The processes that poll this control host: with which revision, and how they were answered. It decides which of them
//! to name in the log, because the log of a relay that is behind may be out of reach.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    time::{Duration, Instant},
};

use crate::{
    error::{self, Error},
    state::{Node, Revision},
    wire::control::{ProcessId, Update},
};

/// How often [`Roster::check`] is called. No process is named more often for the same reason.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A process that polls with a revision is behind if a newer one was applied here this long ago. It usually has the newer
/// one after a round trip.
pub const BEHIND_AFTER: Duration = Duration::from_secs(1);

/// A process without a poll for this long has ceased to poll here. A poll is held for at most a second while nothing
/// changes.
pub const CEASED_AFTER: Duration = Duration::from_secs(2);

/// A process whose polls have come here for this long follows this control host. One that starts or looks for another
/// control host sends single polls to several.
pub const FOLLOWS_AFTER: Duration = Duration::from_secs(3);

/// Maximum number of processes that one check names for the same reason.
pub const MAX_NAMED: usize = 10;

/// Maximum number of processes in the roster; further ones are not followed.
const MAX_MEMBERS: usize = 4_096;

/// Number of the newest revisions whose time of application is known.
const MAX_REVISIONS: usize = 1_024;

/// How a poll ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Answer {
    /// It has not ended.
    #[default]
    Pending,
    /// Nothing was newer than the polled revision.
    Unchanged,
    /// Changes up to this revision.
    Changes(Revision),
    /// The whole configuration at this revision.
    Whole(Revision),
    /// An error.
    Failed(error::Kind),
    /// The process gave it up before the answer.
    Abandoned,
}

impl Answer {
    /// Describes the result of a poll.
    pub fn new(result: &Result<Update, Error>) -> Self {
        match result {
            Ok(Update::Changes(it)) => {
                it.last().map_or(Self::Unchanged, |it| Self::Changes(it.revision))
            }
            Ok(Update::Config(it) | Update::Packed(it, _)) => Self::Whole(it.revision),
            Err(err) => Self::Failed(err.kind),
        }
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending => f.write_str("pending"),
            Self::Unchanged => f.write_str("unchanged"),
            Self::Changes(revision) => write!(f, "changes_to_{revision}"),
            Self::Whole(revision) => write!(f, "whole_{revision}"),
            Self::Failed(kind) => write!(f, "failed_{kind}"),
            Self::Abandoned => f.write_str("abandoned"),
        }
    }
}

/// A process as the roster knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The process.
    pub process: ProcessId,
    /// Its zone, if it is or was registered in the configuration.
    pub zone: Option<String>,
    /// The revision of its last poll.
    pub revision: Revision,
    /// The time since its last poll arrived.
    pub polled_ago: Duration,
    /// How its last poll that has ended did so.
    pub answer: Answer,
    /// How long that poll took.
    pub took: Duration,
    /// Number of polls that have not ended.
    pub open: usize,
    /// Number of open connections over which it has polled.
    pub connections: usize,
}

/// A process whose polls fail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The process.
    pub entry: Entry,
    /// Number of failed polls since it was named last.
    pub count: u64,
    /// Why the last one failed, and what this host knew then.
    pub cause: String,
}

/// A process that polled with an outdated revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behind {
    /// The process. Its last poll may be a later one, with a newer revision.
    pub entry: Entry,
    /// The outdated revision.
    pub revision: Revision,
    /// For how long this host had held a newer revision when the poll arrived. If the poll had no revision of this
    /// configuration: for how long such polls had come.
    pub outdated_for: Duration,
    /// The time since the poll arrived.
    pub polled_ago: Duration,
}

/// What a check has found. The lists have at most [`MAX_NAMED`] entries each, those first that were not named or longest
/// ago; the counts are complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// The newest revision that this host has applied.
    pub newest: Revision,
    /// Number of processes that poll this host.
    pub polling: usize,
    /// Number of those whose last poll had an outdated revision.
    pub behind_count: usize,
    /// Processes that have polled with an outdated revision since they were named last.
    pub behind: Vec<Behind>,
    /// Registered processes that followed this host and have ceased to poll it, named once.
    pub ceased: Vec<Entry>,
    /// Number of processes with failed polls since the last check.
    pub refused_count: usize,
    /// Processes with failed polls since they were named last.
    pub refused: Vec<Refused>,
}

struct LatePoll {
    revision: Revision,
    outdated_for: Duration,
    at: Instant,
}

struct Member {
    zone: Option<String>,
    leaving: bool,
    revision: Revision,
    polled_at: Instant,
    /// Since when polls have come without a pause of [`CEASED_AFTER`].
    polling_since: Instant,
    /// When the last poll arrived or ended.
    seen_at: Instant,
    answer: Answer,
    took: Duration,
    open: usize,
    connections: usize,
    /// Since when its polls come without a revision of this configuration.
    unplaced_since: Option<Instant>,
    /// Whether the revision of the last poll counts as behind.
    is_behind: bool,
    /// The last poll that counts as behind, until the process has been named for it.
    late_poll: Option<LatePoll>,
    /// When the process was named last.
    named_at: Option<Instant>,
    refused_count: u64,
    refused_cause: String,
    has_ceased: bool,
}

impl Member {
    fn new(now: Instant) -> Self {
        Self {
            zone: None,
            leaving: false,
            revision: 0,
            polled_at: now,
            polling_since: now,
            seen_at: now,
            answer: Answer::default(),
            took: Duration::ZERO,
            open: 0,
            connections: 0,
            unplaced_since: None,
            is_behind: false,
            late_poll: None,
            named_at: None,
            refused_count: 0,
            refused_cause: String::new(),
            has_ceased: false,
        }
    }

    fn is_polling(&self, now: Instant) -> bool {
        self.open > 0 || now.saturating_duration_since(self.seen_at) < CEASED_AFTER
    }

    fn entry(&self, process: &ProcessId, now: Instant) -> Entry {
        Entry {
            process: process.clone(),
            zone: self.zone.clone(),
            revision: self.revision,
            polled_ago: now.saturating_duration_since(self.polled_at),
            answer: self.answer,
            took: self.took,
            open: self.open,
            connections: self.connections,
        }
    }
}

/// The processes that poll this control host.
#[derive(Default)]
pub struct Roster {
    members: BTreeMap<ProcessId, Member>,
    /// When this host applied the newest revisions, in order.
    revisions: VecDeque<(Revision, Instant)>,
}

impl Roster {
    /// Records that this host has applied a revision.
    pub fn record_revision(&mut self, revision: Revision, now: Instant) {
        if self.revisions.back().is_some_and(|it| it.0 >= revision) {
            return;
        }
        self.revisions.push_back((revision, now));
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.pop_front();
        }
    }

    /// Records the arrival of a poll.
    pub fn begin_poll(&mut self, process: &ProcessId, revision: Revision, now: Instant) {
        let newest = self.newest();
        let outdated_for = self.outdated_for(revision, now);
        let Some(member) = self.member(process, now) else { return };
        if !member.is_polling(now) {
            member.polling_since = now;
        }
        // A process has no revision of this configuration when it starts, and after its copy has failed.
        let is_unplaced = revision != newest && (revision == 0 || revision == Revision::MAX);
        let unplaced_since = is_unplaced.then(|| member.unplaced_since.unwrap_or(now));
        let outdated_for =
            unplaced_since.map_or(outdated_for, |it| now.saturating_duration_since(it));
        member.unplaced_since = unplaced_since;
        member.is_behind = outdated_for > BEHIND_AFTER;
        if member.is_behind {
            member.late_poll = Some(LatePoll { revision, outdated_for, at: now });
        }
        member.revision = revision;
        (member.polled_at, member.seen_at) = (now, now);
        member.open += 1;
        member.has_ceased = false;
    }

    /// Records the end of a poll that arrived at `began_at`. The cause is that of a failure.
    pub fn end_poll(
        &mut self,
        process: &ProcessId,
        began_at: Instant,
        answer: Answer,
        cause: Option<String>,
        now: Instant,
    ) {
        let Some(member) = self.members.get_mut(process) else { return };
        member.open = member.open.saturating_sub(1);
        member.seen_at = now;
        member.answer = answer;
        member.took = now.saturating_duration_since(began_at);
        if let Some(cause) = cause {
            member.refused_count += 1;
            member.refused_cause = cause;
        }
    }

    /// Records that a process polls over a new connection.
    pub fn connect(&mut self, process: &ProcessId, now: Instant) {
        if let Some(member) = self.member(process, now) {
            member.connections += 1;
        }
    }

    /// Records the end of a connection over which a process has polled.
    pub fn disconnect(&mut self, process: &ProcessId) {
        if let Some(member) = self.members.get_mut(process) {
            member.connections = member.connections.saturating_sub(1);
        }
    }

    /// Finds the processes that must be named now. `nodes` are those of the configuration. Forgets processes that have
    /// ceased to poll and have no connection.
    pub fn check(&mut self, nodes: &BTreeMap<String, Node>, now: Instant) -> Findings {
        let mut found = Findings { newest: self.newest(), ..Findings::default() };
        let mut members: Vec<_> = self.members.iter_mut().collect();
        members.sort_by_key(|(_, it)| it.named_at);
        for (process, member) in members {
            let node = nodes.get(&process.process_name);
            if let Some(node) = node.filter(|it| it.incarnation == process.incarnation) {
                member.zone = Some(node.zone.clone());
                member.leaving = node.leaving;
            }
            if member.refused_count > 0 {
                found.refused_count += 1;
                if found.refused.len() < MAX_NAMED {
                    let entry = member.entry(process, now);
                    let count = std::mem::take(&mut member.refused_count);
                    let cause = std::mem::take(&mut member.refused_cause);
                    member.named_at = Some(now);
                    found.refused.push(Refused { entry, count, cause });
                }
            }
            if found.behind.len() < MAX_NAMED
                && let Some(late) = member.late_poll.take()
            {
                member.named_at = Some(now);
                found.behind.push(Behind {
                    entry: member.entry(process, now),
                    revision: late.revision,
                    outdated_for: late.outdated_for,
                    polled_ago: now.saturating_duration_since(late.at),
                });
            }
            if member.is_polling(now) {
                found.polling += 1;
                found.behind_count += usize::from(member.is_behind);
                continue;
            }
            let has_successor = node.is_some_and(|it| it.incarnation > process.incarnation);
            let is_expected = member.leaving || has_successor || member.zone.is_none();
            let has_followed = member.seen_at.duration_since(member.polling_since) >= FOLLOWS_AFTER;
            if !member.has_ceased && has_followed && !is_expected {
                if found.ceased.len() == MAX_NAMED {
                    continue;
                }
                found.ceased.push(member.entry(process, now));
            }
            member.has_ceased = true;
        }
        self.members.retain(|_, it| !it.has_ceased || it.connections > 0);
        found
    }

    /// The newest revision that this host has applied.
    fn newest(&self) -> Revision {
        self.revisions.back().map_or(0, |it| it.0)
    }

    /// For how long this host has held a newer revision.
    fn outdated_for(&self, revision: Revision, now: Instant) -> Duration {
        let newer = self.revisions.partition_point(|it| it.0 <= revision);
        let applied_at = self.revisions.get(newer).map(|it| it.1);
        applied_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it))
    }

    fn member(&mut self, process: &ProcessId, now: Instant) -> Option<&mut Member> {
        if !self.members.contains_key(process) {
            if self.members.len() >= MAX_MEMBERS {
                return None;
            }
            self.members.insert(process.clone(), Member::new(now));
        }
        self.members.get_mut(process)
    }
}

//! The replicated state machine.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    state::{
        Change, ChangeId, Claims, Config, Departures, Entry, Phase, Probes, Reply, Standing, Target,
    },
};

/// Number of replies kept for changes that are sent again.
const MAX_CACHED_REPLIES: usize = 16_384;

/// The state that the control hosts replicate through the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The configuration, of which entry hosts hold a copy.
    pub config: Config,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    /// Replies to recent changes, for deduplication.
    replies: BTreeMap<ChangeId, Reply>,
    /// Keys of `replies`, the oldest first.
    reply_order: VecDeque<ChangeId>,
    /// Targets that have said that they leave. Encoded apart: snapshots of earlier releases do not have them.
    #[serde(skip)]
    pub departures: Departures,
    /// Probes of quarantined requests. Encoded apart like `departures`.
    #[serde(skip)]
    pub probes: Probes,
}

impl Tables {
    /// Applies a log entry. A change that was applied before gets its recorded reply and has no further effect. The
    /// result depends only on the tables and the entry, so that all control hosts reach the same state.
    pub fn apply(&mut self, entry: &Entry) -> Reply {
        if let Some(reply) = self.replies.get(&entry.id) {
            return reply.clone();
        }
        let reply = self.apply_new(entry).unwrap_or_else(Reply::Rejected);
        if entry.change != Change::Tick {
            self.cache_reply(entry.id, reply.clone());
        }
        reply
    }

    /// Applies a change that has no recorded reply. An operator's change is applied only if it is based on the current
    /// operator revision, so that operators do not overwrite changes that they have not seen.
    fn apply_new(&mut self, entry: &Entry) -> Result<Reply, Error> {
        if entry.change.is_operator_change() {
            let Some(base) = entry.base else {
                return Err(Error::new(Kind::BadRequest, "the change has no base revision"));
            };
            let current = self.config.operator_revision;
            if base != current {
                return Ok(Reply::Conflict { current });
            }
        }
        self.config.advance_clock(entry.at_ms);
        let has_effect = match &entry.change {
            Change::PutTarget(it) if it.phase == Phase::Serving => {
                self.departures.admits(&it.name, it.incarnation, self.config.now_ms)
            }
            Change::Announce { target, healthy_after_ms } if target.phase == Phase::Serving => {
                match self.standing(target, self.config.now_ms) {
                    Standing::Sound => true,
                    Standing::Left => false,
                    Standing::Uncertain { left_at_ms } => *healthy_after_ms == Some(left_at_ms),
                }
            }
            Change::PutTarget(it) | Change::Announce { target: it, .. } => {
                !self.is_of_earlier_process(it)
            }
            _ => true,
        };
        let applied = if has_effect {
            self.config.apply(&entry.change, entry.at_ms)?
        } else {
            Reply::Applied { revision: self.config.revision }
        };
        self.departures.record(&entry.change, &self.config);
        let now_ms = self.config.now_ms;
        match &entry.change {
            Change::Claim(claim) => self.claims.claim(claim, now_ms),
            Change::Settle { key, nonce, settlement } => {
                self.claims.settle(key, *nonce, settlement)?;
                Ok(applied)
            }
            Change::Tick => {
                self.claims.expire(now_ms);
                self.probes.retain_quarantined(&self.config);
                Ok(applied)
            }
            Change::Exonerate { fingerprint } => {
                self.probes.remove(*fingerprint);
                Ok(applied)
            }
            Change::Probe { fingerprint } => self.probes.claim(*fingerprint, &self.config),
            _ => Ok(applied),
        }
    }

    /// What is known of a process that announces itself as serving.
    pub fn standing(&self, target: &Target, now_ms: u64) -> Standing {
        let Target { name, incarnation, .. } = target;
        let known = self.config.targets.get(name);
        let serves =
            known.is_some_and(|it| (it.incarnation, it.phase) == (*incarnation, Phase::Serving));
        match self.departures.standing(name, *incarnation, now_ms) {
            // A leave after it was put into service would have ended it.
            Standing::Uncertain { .. } if serves => Standing::Sound,
            standing => standing,
        }
    }

    /// Recognizes the announcement of a process whose successor has its name and is leaving: the target is out of service.
    fn is_of_earlier_process(&self, target: &Target) -> bool {
        let known = self.config.targets.get(&target.name);
        known.is_some_and(|it| it.incarnation > target.incarnation && it.phase == Phase::Leaving)
    }

    /// Records a reply and drops the oldest one if there are too many.
    fn cache_reply(&mut self, id: ChangeId, reply: Reply) {
        self.replies.insert(id, reply);
        self.reply_order.push_back(id);
        if self.reply_order.len() > MAX_CACHED_REPLIES
            && let Some(old) = self.reply_order.pop_front()
        {
            self.replies.remove(&old);
        }
    }
}

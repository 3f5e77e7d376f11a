//! All replicated tables together.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    state::{Change, ChangeId, Claims, Config, Entry, Reply},
};

/// How many replies are remembered for changes that are sent again.
const MAX_CACHED_REPLIES: usize = 16_384;

/// Everything that the control log determines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tables {
    /// The configuration, which entry hosts hold too.
    pub config: Config,
    /// Claims of non-idempotent requests.
    pub claims: Claims,
    replies: BTreeMap<ChangeId, Reply>,
    reply_order: VecDeque<ChangeId>,
}

impl Tables {
    /// Applies a log entry. The result depends on the tables and the entry alone.
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

    fn apply_new(&mut self, entry: &Entry) -> Result<Reply, Error> {
        if entry.change.is_operator_change() {
            let Some(base) = entry.base else {
                return Err(Error::new(Kind::BadRequest, "the change names no base revision"));
            };
            let current = self.config.operator_revision;
            if base != current {
                return Ok(Reply::Conflict { current });
            }
        }
        let applied = self.config.apply(&entry.change, entry.at_ms)?;
        let now_ms = self.config.now_ms;
        match &entry.change {
            Change::Claim(claim) => self.claims.claim(claim, now_ms),
            Change::Settle { key, nonce, settlement } => {
                self.claims.settle(key, *nonce, settlement)?;
                Ok(applied)
            }
            Change::Tick => {
                self.claims.expire(now_ms);
                Ok(applied)
            }
            _ => Ok(applied),
        }
    }

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

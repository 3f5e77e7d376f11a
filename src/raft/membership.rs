//! The membership and its changes. Each change affects at most one voter, so that the majorities before and after it
//! overlap and no joint consensus is needed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::raft::{Core, Member, MemberId, Payload, core::RoleState, progress::Progress};

/// How many entries a member may lack and still count as caught up, if they also fit into one message. A learner that
/// lags further would delay commits as a voter.
const MAX_LAG_ENTRIES: u64 = 64;

/// The members of the cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners by identity.
    pub members: BTreeMap<MemberId, Member>,
}

impl Membership {
    /// The identities of all voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.members.iter().filter(|(_, it)| it.voter).map(|(id, _)| *id)
    }

    /// Whether `id` is a voter of this membership.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(|it| it.voter)
    }

    /// Whether more than half of the voters satisfy the predicate.
    pub fn has_quorum(&self, mut holds: impl FnMut(MemberId) -> bool) -> bool {
        let total = self.voters().count();
        total > 0 && self.voters().filter(|&it| holds(it)).count() > total / 2
    }

    /// The membership after a change; none if the change does not apply, alters nothing or would leave no voter.
    fn with_change(&self, change: &MemberChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(id, member) => {
                let voter = self.is_voter(*id);
                let replaces = self.members.get(id).and_then(|it| it.replaces);
                next.members.insert(*id, Member { voter, replaces, ..member.clone() });
            }
            MemberChange::Replace { lost, successor } => {
                next.members.get_mut(lost).filter(|it| it.voter)?.voter = false;
                next.members.get_mut(successor).filter(|it| !it.voter)?.replaces = Some(*lost);
            }
            MemberChange::Promote(id) => {
                let member = next.members.get_mut(id).filter(|it| !it.voter)?;
                member.voter = true;
                if member.replaces.take().is_none() {
                    // It takes the place of a successor that has not caught up, if there is one.
                    next.members.values_mut().find_map(|it| it.replaces.take());
                }
            }
            MemberChange::Demote(id) => {
                next.members.get_mut(id).filter(|it| it.voter)?.voter = false;
                next.members.values_mut().for_each(|it| {
                    it.replaces.take_if(|replaced| replaced == id);
                });
            }
            MemberChange::Remove(id) => {
                next.members.remove(id).filter(|it| !it.voter && it.replaces.is_none())?;
            }
        }
        (next != *self && next.voters().next().is_some()).then_some(next)
    }
}

/// A membership change. Each adds or removes at most one voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a learner, or updates name, zone and address of an existing member without changing its vote.
    AddLearner(MemberId, Member),
    /// Makes a lost voter a learner, and records which learner is to be promoted in its place. The lost voter goes
    /// first: it cannot answer, so a quorum without it needs no more members, while a further voter would raise the
    /// quorum to all others, and the loss of any of them would end it for good.
    Replace {
        /// The lost voter.
        lost: MemberId,
        /// The learner that is to take its place once it has caught up.
        successor: MemberId,
    },
    /// Makes a learner a voter once its log has caught up.
    Promote(MemberId),
    /// Makes a voter a learner.
    Demote(MemberId),
    /// Removes a learner that is not to be promoted. A voter must be demoted first.
    Remove(MemberId),
}

impl Core {
    /// Appends the changed membership to the log. The change is dropped unless this leader accepts proposals and both
    /// the previous change and an entry of this leader's own term are committed: until then an uncommitted change of an
    /// earlier leader could take effect, and its majority need not overlap with that of this change. The change is also
    /// dropped if it does not apply or would promote a learner that lags.
    pub(super) fn change_membership(&mut self, now_ms: u64, change: &MemberChange) {
        if !self.accepts_proposals()
            || !self.has_committed_in_term()
            || self.log.membership_index() > self.commit
        {
            return;
        }
        if let MemberChange::Promote(id) = change {
            let RoleState::Leader(leader) = &self.state else { return };
            if !leader.progress.get(id).is_some_and(|it| self.is_caught_up(it)) {
                return;
            }
        }
        let Some(next) = self.log.membership().with_change(change) else { return };
        self.append(Payload::Membership(next));
        self.sync_progress(now_ms);
        self.broadcast(now_ms);
    }

    /// Whether a member lacks few entries: at most [`MAX_LAG_ENTRIES`], and no more bytes than one message takes.
    pub(super) fn is_caught_up(&self, progress: &Progress) -> bool {
        let missing = self.log.last().0.saturating_sub(progress.match_index);
        missing <= MAX_LAG_ENTRIES
            && self
                .log
                .slice(progress.match_index + 1, self.log.last().0, self.opts.max_message_bytes)
                .is_some_and(|it| it.len() as u64 == missing)
    }

    /// Starts tracking progress of new members and stops tracking removed ones.
    pub(super) fn sync_progress(&mut self, now_ms: u64) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let members = &self.log.membership().members;
        leader.progress.retain(|id, _| members.contains_key(id));
        let next = self.log.last().0 + 1;
        for id in members.keys() {
            leader.progress.entry(*id).or_insert_with(|| Progress::new(next, now_ms));
        }
    }
}

//! Membership repair: replaces lost voters by learners, promotes learners until the configured number of voters is
//! reached, and removes learners that are gone.

use crate::raft::{Member, MemberChange, MemberId, Status};

/// A member counts as connected if it responded within this time. Only a connected learner is promoted, and a voter
/// that was superseded by a new identity is lost when it is no longer connected.
const RECENT_CONTACT_MS: u64 = 1_000;

/// A learner that is silent for this many times `repair_after_ms` is removed. If its host returns, it joins again.
const REMOVAL_FACTOR: u64 = 10;

/// Returns the next membership change that the leader should propose, if any. Each change alters at most one voter, so
/// a lost voter is replaced in two steps: first it is demoted, then its successor is promoted once it has caught up.
pub fn next_change(
    status: &Status,
    own_id: MemberId,
    now_ms: u64,
    repair_after_ms: u64,
    wanted_voters: usize,
) -> Option<MemberChange> {
    if !status.membership_committed {
        return None;
    }
    let repair = Repair { status, own_id, now_ms, repair_after_ms };
    let members = &status.membership.members;
    // An earlier version promoted the successor first, so that the lost voter may still have to be demoted.
    let replaced = members.values().filter(|it| it.voter).filter_map(|it| it.replaces);
    if let Some(id) = replaced.into_iter().find(|it| status.membership.is_voter(*it)) {
        return Some(MemberChange::Demote(id));
    }
    let pending = members.values().filter(|it| !it.voter && it.replaces.is_some()).count();
    let voters = status.membership.voters().count();
    if pending > 0 || voters < wanted_voters {
        let ready = members.iter().filter(|(id, it)| !it.voter && repair.is_ready(**id));
        // A zone without a voter is preferred.
        let has_voter = |zone: &str| members.values().any(|it| it.voter && it.zone == zone);
        if let Some((id, _)) =
            ready.min_by_key(|(_, it)| (it.replaces.is_none(), has_voter(&it.zone)))
        {
            return Some(MemberChange::Promote(*id));
        }
    }
    let lost = members.iter().filter(|(id, it)| it.voter && repair.is_lost(**id));
    let replace = |(id, voter): (&MemberId, &Member)| {
        let successor = repair.successor(*id, voter)?;
        Some(MemberChange::Replace { lost: *id, successor })
    };
    if let Some(change) = lost.into_iter().find_map(replace) {
        return Some(change);
    }
    let obsolete = members
        .iter()
        .find(|(id, it)| !it.voter && it.replaces.is_none() && repair.is_obsolete(**id));
    obsolete.map(|(id, _)| MemberChange::Remove(*id))
}

/// What the leader knows of the members at one moment.
struct Repair<'a> {
    status: &'a Status,
    own_id: MemberId,
    now_ms: u64,
    repair_after_ms: u64,
}

impl Repair<'_> {
    fn silence_ms(&self, id: MemberId) -> u64 {
        let last_heard_ms =
            self.status.members.get(&id).map_or(self.now_ms, |it| it.last_contact_ms);
        if id == self.own_id { 0 } else { self.now_ms.saturating_sub(last_heard_ms) }
    }

    fn is_connected(&self, id: MemberId) -> bool {
        self.silence_ms(id) < RECENT_CONTACT_MS
    }

    /// Whether a later identity runs at the address of this one. The host then restarted with an empty disk, so that this
    /// identity cannot return.
    fn is_superseded(&self, id: MemberId) -> bool {
        let members = &self.status.membership.members;
        let rpc = members[&id].rpc;
        let silence_ms = self.silence_ms(id);
        members.iter().any(|(other, it)| {
            *other != id && it.rpc == rpc && self.silence_ms(*other) < silence_ms
        })
    }

    /// Whether a voter is lost: silent for long, or superseded, so that there is no need to wait.
    fn is_lost(&self, id: MemberId) -> bool {
        self.silence_ms(id) >= self.repair_after_ms
            || (self.is_superseded(id) && !self.is_connected(id))
    }

    /// Whether a learner can be promoted.
    fn is_ready(&self, id: MemberId) -> bool {
        self.is_connected(id) && self.status.members.get(&id).is_some_and(|it| it.caught_up)
    }

    /// The learner that replaces a lost voter: the identity that superseded it, also before it has caught up, because
    /// the voter cannot return; else one that is ready, preferably of the same zone.
    fn successor(&self, lost: MemberId, voter: &Member) -> Option<MemberId> {
        let members = &self.status.membership.members;
        let learners = || members.iter().filter(|(_, it)| !it.voter && it.replaces.is_none());
        let superseding =
            learners().find(|(id, it)| it.rpc == voter.rpc && self.is_connected(**id));
        let ready = || {
            learners()
                .filter(|(id, _)| **id != lost && self.is_ready(**id))
                .min_by_key(|(_, it)| it.zone != voter.zone)
        };
        superseding.or_else(ready).map(|(id, _)| *id)
    }

    /// Whether a learner is gone for good.
    fn is_obsolete(&self, id: MemberId) -> bool {
        let silence_ms = self.silence_ms(id);
        silence_ms >= self.repair_after_ms * REMOVAL_FACTOR
            || (silence_ms >= self.repair_after_ms && self.is_superseded(id))
    }
}

//! Replacement of voters that stay silent, and more voters until there are as many as wanted.

use crate::raft::{MemberChange, MemberId, Status};

/// How many entries a learner may lack when it replaces a voter.
const MAX_LAG_ENTRIES: u64 = 64;

/// A learner that was last_heard_ms from within this time may replace a voter.
const MAX_LEARNER_SILENCE_MS: u64 = 1_000;

/// The next change of the membership that a leader should make, if any. A silent voter is replaced in two steps: a
/// caught-up learner becomes a voter, then the silent one becomes a learner.
pub fn next_membership_change(
    status: &Status,
    own_id: MemberId,
    now_ms: u64,
    repair_after_ms: u64,
    wanted_voters: usize,
) -> Option<MemberChange> {
    if !status.membership_committed {
        return None;
    }
    let members = &status.membership.members;
    let silence_ms = |id: &MemberId| {
        let last_heard_ms = status.members.get(id).map_or(now_ms, |it| it.heard_ms);
        if *id == own_id { 0 } else { now_ms.saturating_sub(last_heard_ms) }
    };
    let replaced = members.values().filter(|it| it.voter).filter_map(|it| it.replaces);
    if let Some(id) = replaced.into_iter().find(|it| status.membership.is_voter(*it)) {
        return Some(MemberChange::Demote(id));
    }
    let superseded = |id: &MemberId| {
        let rpc = members[id].rpc;
        members.iter().any(|(other, it)| other != id && it.rpc == rpc)
    };
    let silent = |id: &MemberId| silence_ms(id) >= repair_after_ms;
    // A process with another identity at the address of a voter has an empty disk: the voter cannot come back.
    let lost =
        |id: &MemberId| silent(id) || (superseded(id) && silence_ms(id) >= MAX_LEARNER_SILENCE_MS);
    let caught_up = |id: &MemberId| {
        let matched = status.members.get(id).map_or(0, |it| it.matched);
        matched + MAX_LAG_ENTRIES >= status.last && silence_ms(id) < MAX_LEARNER_SILENCE_MS
    };
    if let Some((lost_id, voter)) = members.iter().find(|(id, it)| it.voter && lost(id)) {
        let learners = members.iter().filter(|(id, it)| !it.voter && caught_up(id));
        let best = learners.min_by_key(|(_, it)| it.zone != voter.zone);
        if let Some((id, _)) = best {
            return Some(MemberChange::Promote { id: *id, replaces: Some(*lost_id) });
        }
    }
    if status.membership.voters().count() < wanted_voters {
        let learner = members.iter().find(|(id, it)| !it.voter && caught_up(id));
        if let Some((id, _)) = learner {
            return Some(MemberChange::Promote { id: *id, replaces: None });
        }
    }
    let obsolete = members.iter().find(|(id, it)| !it.voter && silent(id) && superseded(id));
    obsolete.map(|(id, _)| MemberChange::Remove(*id))
}

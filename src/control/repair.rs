//! Membership repair: replaces lost voters by learners, and promotes learners until the configured number of voters is
//! reached.

use crate::raft::{MemberChange, MemberId, Status};

/// Maximum number of log entries that a learner may lack to be promoted.
const MAX_LAG_ENTRIES: u64 = 64;

/// A member counts as connected if it responded within this time. Only a connected learner is promoted, and a voter
/// that was superseded by a new identity is lost when it is no longer connected.
const RECENT_CONTACT_MS: u64 = 1_000;

/// Returns the next membership change that the leader should propose, if any. Each change alters at most one voter, so
/// a lost voter is replaced in two steps: a caught-up learner is promoted, preferably one of the same zone, and then
/// the lost voter is demoted. Learners that stay silent are removed if a new identity uses their address.
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
    let members = &status.membership.members;
    let silence_ms = |id: &MemberId| {
        let last_heard_ms = status.members.get(id).map_or(now_ms, |it| it.last_contact_ms);
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
    // Another identity at the address of a voter means that its host restarted with an empty disk. The old identity
    // cannot return, so there is no need to wait for `repair_after_ms`.
    let lost =
        |id: &MemberId| silent(id) || (superseded(id) && silence_ms(id) >= RECENT_CONTACT_MS);
    let caught_up = |id: &MemberId| {
        let matched = status.members.get(id).map_or(0, |it| it.match_index);
        matched + MAX_LAG_ENTRIES >= status.last_index && silence_ms(id) < RECENT_CONTACT_MS
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

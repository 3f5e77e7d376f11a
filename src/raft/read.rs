//! Linearizable reads without log entries (ReadIndex in the Raft literature).
//!
//! A leader may have been deposed without knowing it, so its commit index can be stale. Before it answers reads, it
//! sends a numbered round of messages to its followers. Once a quorum has answered the round, the member was still the
//! leader when the round started, and its commit index of that moment covers everything committed before the reads
//! arrived. One round confirms all reads that were queued when it started; reads that arrive later wait for the next
//! one.

use std::mem;

use crate::raft::{
    Action, Core, Index,
    core::{Leader, RoleState},
    replication::SendReason,
};

/// Reads that one round confirms. The round started after all of them had arrived.
pub(super) struct ReadBatch {
    round: u64,
    /// The commit index when the round started.
    index: Index,
    tokens: Vec<u64>,
}

impl Core {
    /// Queues a read on the leader; any other member fails it at once.
    pub(super) fn read(&mut self, token: u64) {
        match &mut self.state {
            RoleState::Leader(leader) => leader.queued_reads.push(token),
            _ => self.read_results.push(Action::ReadFailed(token)),
        }
    }

    /// Fails all reads that are queued or being confirmed.
    pub(super) fn fail_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let confirming = leader.confirming_reads.take().map_or_else(Vec::new, |it| it.tokens);
        let tokens = confirming.into_iter().chain(leader.queued_reads.drain(..));
        self.read_results.extend(tokens.map(Action::ReadFailed));
    }

    /// Answers the confirmed reads and, if no round is in progress, starts one for the queued reads. Reads stay queued
    /// until an entry of the leader's own term is committed, because before that its commit index may be stale.
    pub(super) fn advance_reads(&mut self, now_ms: u64) {
        self.finish_read_round();
        let confirmable = self.has_committed_in_term();
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.state else { return };
        if !confirmable || leader.confirming_reads.is_some() || leader.queued_reads.is_empty() {
            return;
        }
        leader.round += 1;
        let tokens = mem::take(&mut leader.queued_reads);
        leader.confirming_reads = Some(ReadBatch { round: leader.round, index: commit, tokens });
        self.send_to_followers(now_ms, SendReason::ReadRound);
        self.finish_read_round();
    }

    /// Answers the reads of the current round if a quorum has answered it.
    fn finish_read_round(&mut self) {
        let own = self.opts.id;
        let membership = self.log.membership();
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Leader { progress, confirming_reads, .. } = leader;
        let Some(pending) = confirming_reads else { return };
        let answered =
            |id| id == own || progress.get(&id).is_some_and(|it| it.acked_round >= pending.round);
        if !membership.has_quorum(answered) {
            return;
        }
        let (index, tokens) = (pending.index, mem::take(&mut pending.tokens));
        *confirming_reads = None;
        self.read_results.extend(tokens.into_iter().map(|it| Action::ReadReady(it, index)));
    }
}

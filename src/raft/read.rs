//! Reads that are never stale: a quorum confirms the leader after the reads arrived.

use std::mem;

use crate::raft::{
    Action, Core, Index,
    core::{Leader, RoleState},
    replication::SendReason,
};

/// Reads that one round of messages confirms. The round started after all of them had arrived.
pub(super) struct ReadBatch {
    round: u64,
    index: Index,
    tokens: Vec<u64>,
}

impl Core {
    pub(super) fn read(&mut self, token: u64) {
        match &mut self.state {
            RoleState::Leader(leader) => leader.queued_reads.push(token),
            _ => self.read_results.push(Action::ReadFailed(token)),
        }
    }

    pub(super) fn fail_reads(&mut self) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let confirming = leader.confirming_reads.take().map_or_else(Vec::new, |it| it.tokens);
        let tokens = confirming.into_iter().chain(leader.queued_reads.drain(..));
        self.read_results.extend(tokens.map(Action::ReadFailed));
    }

    /// Answers the reads that are confirmed and starts a round for those that wait.
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

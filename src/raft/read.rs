//! Reads that are never stale: a quorum confirms the leader after the reads arrived.

use std::mem;

use crate::raft::{
    Action, Core, Index,
    core::{Leader, State},
    replication::Cause,
};

/// Reads that one round of messages confirms. The round started after all of them had arrived.
pub(super) struct Confirming {
    round: u64,
    index: Index,
    tokens: Vec<u64>,
}

impl Core {
    pub(super) fn read(&mut self, token: u64) {
        match &mut self.state {
            State::Leader(leader) => leader.waiting.push(token),
            _ => self.reads.push(Action::ReadFailed(token)),
        }
    }

    pub(super) fn fail_reads(&mut self) {
        let State::Leader(leader) = &mut self.state else { return };
        let confirming = leader.confirming.take().map_or_else(Vec::new, |it| it.tokens);
        let tokens = confirming.into_iter().chain(leader.waiting.drain(..));
        self.reads.extend(tokens.map(Action::ReadFailed));
    }

    /// Answers the reads that are confirmed and starts a round for those that wait.
    pub(super) fn advance_reads(&mut self, now_ms: u64) {
        self.finish_round();
        let confirmable = self.leads_committed_term();
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else { return };
        if !confirmable || leader.confirming.is_some() || leader.waiting.is_empty() {
            return;
        }
        leader.round += 1;
        let tokens = mem::take(&mut leader.waiting);
        leader.confirming = Some(Confirming { round: leader.round, index: commit, tokens });
        self.send_followers(now_ms, Cause::Round);
        self.finish_round();
    }

    fn finish_round(&mut self) {
        let own = self.opts.id;
        let membership = self.log.membership();
        let State::Leader(leader) = &mut self.state else { return };
        let Leader { progress, confirming, .. } = leader;
        let Some(pending) = confirming else { return };
        let answered =
            |id| id == own || progress.get(&id).is_some_and(|it| it.round >= pending.round);
        if !membership.quorum(answered) {
            return;
        }
        let (index, tokens) = (pending.index, mem::take(&mut pending.tokens));
        *confirming = None;
        self.reads.extend(tokens.into_iter().map(|it| Action::ReadReady(it, index)));
    }
}

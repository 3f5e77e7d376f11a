//! Elections: timers, pre-votes, votes, and stepping down without a quorum.

use std::collections::BTreeMap;

use crate::raft::{
    Body, Core, Index, MemberId, Message, Payload, Term,
    core::{Leader, RoleState},
};

impl Core {
    pub(super) fn tick(&mut self, now_ms: u64) {
        match &mut self.state {
            RoleState::Leader(leader) => {
                leader.transfer.take_if(|it| it.1 <= now_ms);
                let due = leader.next_heartbeat_ms <= now_ms;
                if !self.is_quorum_active(now_ms) {
                    self.become_follower(now_ms, None);
                } else if due {
                    self.heartbeat(now_ms);
                }
            }
            _ if now_ms < self.election_deadline_ms => {}
            _ => self.start_pre_vote(now_ms),
        }
    }

    pub(super) fn receive(&mut self, now_ms: u64, message: Message) {
        if message.to != self.opts.id || !self.accept_cluster(message.cluster) {
            return;
        }
        let Message { from, term, body, .. } = message;
        if let Body::PreVote { next_term, last } = body {
            return self.handle_pre_vote(now_ms, from, next_term, last);
        }
        if let Body::PreVoteReply { next_term, granted: true } = body {
            return self.record_pre_vote(now_ms, from, next_term);
        }
        if term > self.hard_state.term {
            let protected = matches!(body, Body::Vote { transfer: false, .. });
            if protected && self.has_recent_leader(now_ms) {
                return;
            }
            self.set_term(term, None);
            self.become_follower(now_ms, None);
        }
        if term < self.hard_state.term {
            match body {
                Body::Append { .. } | Body::SnapshotPart { .. } => self.send(from, Body::StaleTerm),
                Body::Vote { .. } => self.send(from, Body::VoteReply { granted: false }),
                _ => {}
            }
            return;
        }
        self.dispatch_body(now_ms, from, body);
    }

    fn dispatch_body(&mut self, now_ms: u64, from: MemberId, body: Body) {
        match body {
            Body::Vote { last, .. } => self.handle_vote(now_ms, from, last),
            Body::VoteReply { granted } => self.record_vote(now_ms, from, granted),
            Body::Append { prev, entries, commit, round } => {
                self.record_leader_contact(now_ms, from);
                self.handle_append(from, prev, entries, commit, round);
            }
            Body::SnapshotPart { index, term, membership, total, offset, data, round } => {
                self.record_leader_contact(now_ms, from);
                let base = (index, term);
                self.handle_snapshot_part(from, base, &membership, total, offset, &data, round);
            }
            Body::Appended { matched, round } => self.handle_appended(now_ms, from, matched, round),
            Body::AppendRejected { prev, hint, round } => {
                self.handle_append_rejected(now_ms, from, prev, hint, round);
            }
            Body::SnapshotAck { index, received, round } => {
                self.handle_snapshot_ack(now_ms, from, index, received, round);
            }
            Body::TimeoutNow if self.is_electable() => self.start_election(now_ms, true),
            Body::TimeoutNow
            | Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::StaleTerm => {}
        }
    }

    /// Becomes a follower of this term. Reads that wait here cannot be confirmed any more.
    pub(super) fn become_follower(&mut self, now_ms: u64, leader: Option<MemberId>) {
        self.fail_reads();
        self.incoming_snapshot = None;
        self.state = RoleState::Follower { leader };
        self.reset_election_timer(now_ms);
    }

    /// Lets the follower with the longest log start an election as soon as it has every entry. Until then this member
    /// takes no proposals, because an entry that reaches only the others would make them refuse their votes.
    pub(super) fn transfer_leadership(&mut self, now_ms: u64) {
        let own = self.opts.id;
        let RoleState::Leader(leader) = &mut self.state else { return };
        let voters = self.log.membership().voters().filter(|it| *it != own);
        let best = voters.max_by_key(|it| leader.progress.get(it).map(|it| it.match_index));
        let Some(best) = best else { return };
        leader.transfer = Some((best, now_ms + self.opts.election_ms));
        self.try_complete_transfer(best);
    }

    pub(super) fn try_complete_transfer(&mut self, id: MemberId) {
        let RoleState::Leader(leader) = &self.state else { return };
        let matched = leader.progress.get(&id).map(|it| it.match_index);
        if leader.transfer.is_some_and(|it| it.0 == id) && matched == Some(self.log.last().0) {
            self.send(id, Body::TimeoutNow);
        }
    }

    fn record_leader_contact(&mut self, now_ms: u64, from: MemberId) {
        if self.leader() != Some(from) {
            self.become_follower(now_ms, Some(from));
        }
        self.last_leader_contact_ms = Some(now_ms);
        self.reset_election_timer(now_ms);
    }

    fn start_pre_vote(&mut self, now_ms: u64) {
        self.election_attempts += 1;
        self.become_follower(now_ms, None);
        if !self.is_electable() {
            return;
        }
        self.state = RoleState::PreCandidate { votes: [self.opts.id].into() };
        let body = Body::PreVote { next_term: self.hard_state.term + 1, last: self.log.last() };
        self.send_to_voters(&body);
        self.record_pre_vote(now_ms, self.opts.id, self.hard_state.term + 1);
    }

    fn start_election(&mut self, now_ms: u64, transfer: bool) {
        self.become_follower(now_ms, None);
        self.set_term(self.hard_state.term + 1, Some(self.opts.id));
        self.state = RoleState::Candidate { votes: [self.opts.id].into() };
        self.send_to_voters(&Body::Vote { last: self.log.last(), transfer });
        self.record_vote(now_ms, self.opts.id, true);
    }

    fn handle_pre_vote(
        &mut self,
        now_ms: u64,
        from: MemberId,
        next_term: Term,
        last: (Index, Term),
    ) {
        let granted = next_term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.has_recent_leader(now_ms);
        self.send(from, Body::PreVoteReply { next_term, granted });
    }

    fn handle_vote(&mut self, now_ms: u64, from: MemberId, last: (Index, Term)) {
        let free = self.hard_state.vote.is_none_or(|it| it == from);
        let granted =
            free && self.is_up_to_date(last) && !matches!(self.state, RoleState::Leader(_));
        if granted {
            self.set_term(self.hard_state.term, Some(from));
            self.reset_election_timer(now_ms);
        }
        self.send(from, Body::VoteReply { granted });
    }

    fn record_pre_vote(&mut self, now_ms: u64, from: MemberId, next_term: Term) {
        let RoleState::PreCandidate { votes } = &mut self.state else { return };
        if next_term != self.hard_state.term + 1 {
            return;
        }
        votes.insert(from);
        if self.log.membership().has_quorum(|it| votes.contains(&it)) {
            self.start_election(now_ms, false);
        }
    }

    fn record_vote(&mut self, now_ms: u64, from: MemberId, granted: bool) {
        let RoleState::Candidate { votes } = &mut self.state else { return };
        if !granted {
            return;
        }
        votes.insert(from);
        if self.log.membership().has_quorum(|it| votes.contains(&it)) {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        self.state = RoleState::Leader(Leader {
            progress: BTreeMap::new(),
            next_heartbeat_ms: now_ms + self.opts.heartbeat_ms,
            round: 0,
            queued_reads: Vec::new(),
            confirming_reads: None,
            transfer: None,
        });
        self.sync_progress(now_ms);
        self.append(Payload::Noop);
        self.broadcast(now_ms);
    }

    fn is_quorum_active(&self, now_ms: u64) -> bool {
        let RoleState::Leader(leader) = &self.state else { return false };
        let oldest = now_ms.saturating_sub(2 * self.opts.election_ms);
        self.log.membership().has_quorum(|id| {
            id == self.opts.id
                || leader.progress.get(&id).is_some_and(|it| it.last_contact_ms >= oldest)
        })
    }

    /// A voter may lead. So may one whose demotion is not known to be committed: it may have the longest log, and then
    /// nobody else could win.
    fn is_electable(&self) -> bool {
        self.log.memberships_since(self.commit).any(|it| it.is_voter(self.opts.id))
    }

    /// Whether a leader is at work as far as this member knows, so that no election is needed.
    fn has_recent_leader(&self, now_ms: u64) -> bool {
        let recent = |at: u64| at + self.opts.election_ms > now_ms;
        matches!(self.state, RoleState::Leader(_))
            || self.last_leader_contact_ms.is_some_and(recent)
    }

    fn is_up_to_date(&self, last: (Index, Term)) -> bool {
        let (index, term) = self.log.last();
        (last.1, last.0) >= (term, index)
    }

    fn accept_cluster(&mut self, cluster: u128) -> bool {
        if self.hard_state.cluster.is_none() {
            self.hard_state.cluster = Some(cluster);
            self.hard_state_changed = true;
        }
        self.hard_state.cluster == Some(cluster)
    }

    fn send_to_voters(&mut self, body: &Body) {
        let voters: Vec<_> = self.membership().voters().filter(|it| *it != self.opts.id).collect();
        for id in voters {
            self.send(id, body.clone());
        }
    }
}

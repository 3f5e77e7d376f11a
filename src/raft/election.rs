//! Elections: timers, pre-votes, votes, and stepping down without a quorum.

use std::collections::BTreeMap;

use crate::raft::{
    Body, Core, Index, MemberId, Message, Payload, Term,
    core::{Leader, State},
};

impl Core {
    pub(super) fn tick(&mut self, now_ms: u64) {
        match &mut self.state {
            State::Leader(leader) => {
                leader.transfer.take_if(|it| it.1 <= now_ms);
                let due = leader.heartbeat_due_ms <= now_ms;
                if !self.hears_quorum(now_ms) {
                    self.follow(now_ms, None);
                } else if due {
                    self.heartbeat(now_ms);
                }
            }
            _ if now_ms < self.election_due_ms => {}
            _ => self.pre_campaign(now_ms),
        }
    }

    pub(super) fn receive(&mut self, now_ms: u64, message: Message) {
        if message.to != self.opts.id || !self.same_cluster(message.cluster) {
            return;
        }
        let Message { from, term, body, .. } = message;
        if let Body::PreVote { next_term, last } = body {
            return self.answer_pre_vote(now_ms, from, next_term, last);
        }
        if let Body::PreVoteReply { next_term, granted: true } = body {
            return self.count_pre_vote(now_ms, from, next_term);
        }
        if term > self.hard.term {
            let protected = matches!(body, Body::Vote { transfer: false, .. });
            if protected && self.leader_is_recent(now_ms) {
                return;
            }
            self.set_term(term, None);
            self.follow(now_ms, None);
        }
        if term < self.hard.term {
            match body {
                Body::Append { .. } | Body::SnapshotPart { .. } => self.send(from, Body::StaleTerm),
                Body::Vote { .. } => self.send(from, Body::VoteReply { granted: false }),
                _ => {}
            }
            return;
        }
        self.receive_current(now_ms, from, body);
    }

    fn receive_current(&mut self, now_ms: u64, from: MemberId, body: Body) {
        match body {
            Body::Vote { last, .. } => self.answer_vote(now_ms, from, last),
            Body::VoteReply { granted } => self.count_vote(now_ms, from, granted),
            Body::Append { prev, entries, commit, round } => {
                self.hear_leader(now_ms, from);
                self.take_entries(from, prev, entries, commit, round);
            }
            Body::SnapshotPart { index, term, membership, total, offset, data, round } => {
                self.hear_leader(now_ms, from);
                let base = (index, term);
                self.take_part(from, base, &membership, total, offset, &data, round);
            }
            Body::Appended { matched, round } => self.count_appended(now_ms, from, matched, round),
            Body::Mismatched { prev, hint, round } => {
                self.back_off(now_ms, from, prev, hint, round);
            }
            Body::SnapshotAck { index, received, round } => {
                self.continue_snapshot(now_ms, from, index, received, round);
            }
            Body::TimeoutNow if self.may_lead() => self.campaign(now_ms, true),
            Body::TimeoutNow
            | Body::PreVote { .. }
            | Body::PreVoteReply { .. }
            | Body::StaleTerm => {}
        }
    }

    /// Becomes a follower of this term. Reads that wait here cannot be confirmed any more.
    pub(super) fn follow(&mut self, now_ms: u64, leader: Option<MemberId>) {
        self.fail_reads();
        self.incoming = None;
        self.state = State::Follower { leader };
        self.reset_election(now_ms);
    }

    /// Lets the follower with the longest log start an election as soon as it has every entry. Until then this member
    /// takes no proposals, because an entry that reaches only the others would make them refuse their votes.
    pub(super) fn transfer(&mut self, now_ms: u64) {
        let own = self.opts.id;
        let State::Leader(leader) = &mut self.state else { return };
        let voters = self.log.membership().voters().filter(|it| *it != own);
        let best = voters.max_by_key(|it| leader.progress.get(it).map(|it| it.match_index));
        let Some(best) = best else { return };
        leader.transfer = Some((best, now_ms + self.opts.election_ms));
        self.continue_transfer(best);
    }

    pub(super) fn continue_transfer(&mut self, id: MemberId) {
        let State::Leader(leader) = &self.state else { return };
        let matched = leader.progress.get(&id).map(|it| it.match_index);
        if leader.transfer.is_some_and(|it| it.0 == id) && matched == Some(self.log.last().0) {
            self.send(id, Body::TimeoutNow);
        }
    }

    fn hear_leader(&mut self, now_ms: u64, from: MemberId) {
        if self.leader() != Some(from) {
            self.follow(now_ms, Some(from));
        }
        self.heard_leader_ms = Some(now_ms);
        self.reset_election(now_ms);
    }

    fn pre_campaign(&mut self, now_ms: u64) {
        self.tries += 1;
        self.follow(now_ms, None);
        if !self.may_lead() {
            return;
        }
        self.state = State::PreCandidate { votes: [self.opts.id].into() };
        let body = Body::PreVote { next_term: self.hard.term + 1, last: self.log.last() };
        self.send_voters(&body);
        self.count_pre_vote(now_ms, self.opts.id, self.hard.term + 1);
    }

    fn campaign(&mut self, now_ms: u64, transfer: bool) {
        self.follow(now_ms, None);
        self.set_term(self.hard.term + 1, Some(self.opts.id));
        self.state = State::Candidate { votes: [self.opts.id].into() };
        self.send_voters(&Body::Vote { last: self.log.last(), transfer });
        self.count_vote(now_ms, self.opts.id, true);
    }

    fn answer_pre_vote(
        &mut self,
        now_ms: u64,
        from: MemberId,
        next_term: Term,
        last: (Index, Term),
    ) {
        let granted =
            next_term > self.hard.term && self.up_to_date(last) && !self.leader_is_recent(now_ms);
        self.send(from, Body::PreVoteReply { next_term, granted });
    }

    fn answer_vote(&mut self, now_ms: u64, from: MemberId, last: (Index, Term)) {
        let free = self.hard.vote.is_none_or(|it| it == from);
        let granted = free && self.up_to_date(last) && !matches!(self.state, State::Leader(_));
        if granted {
            self.set_term(self.hard.term, Some(from));
            self.reset_election(now_ms);
        }
        self.send(from, Body::VoteReply { granted });
    }

    fn count_pre_vote(&mut self, now_ms: u64, from: MemberId, next_term: Term) {
        let State::PreCandidate { votes } = &mut self.state else { return };
        if next_term != self.hard.term + 1 {
            return;
        }
        votes.insert(from);
        if self.log.membership().quorum(|it| votes.contains(&it)) {
            self.campaign(now_ms, false);
        }
    }

    fn count_vote(&mut self, now_ms: u64, from: MemberId, granted: bool) {
        let State::Candidate { votes } = &mut self.state else { return };
        if !granted {
            return;
        }
        votes.insert(from);
        if self.log.membership().quorum(|it| votes.contains(&it)) {
            self.lead(now_ms);
        }
    }

    fn lead(&mut self, now_ms: u64) {
        self.state = State::Leader(Leader {
            progress: BTreeMap::new(),
            heartbeat_due_ms: now_ms + self.opts.heartbeat_ms,
            round: 0,
            waiting: Vec::new(),
            confirming: None,
            transfer: None,
        });
        self.sync_progress(now_ms);
        self.append(Payload::Noop);
        self.broadcast(now_ms);
    }

    fn hears_quorum(&self, now_ms: u64) -> bool {
        let State::Leader(leader) = &self.state else { return false };
        let oldest = now_ms.saturating_sub(2 * self.opts.election_ms);
        self.log.membership().quorum(|id| {
            id == self.opts.id
                || leader.progress.get(&id).is_some_and(|it| it.last_contact_ms >= oldest)
        })
    }

    /// A voter may lead. So may one whose demotion is not known to be committed: it may have the longest log, and then
    /// nobody else could win.
    fn may_lead(&self) -> bool {
        self.log.memberships_since(self.commit).any(|it| it.is_voter(self.opts.id))
    }

    /// Whether a leader is at work as far as this member knows, so that no election is needed.
    fn leader_is_recent(&self, now_ms: u64) -> bool {
        let recent = |at: u64| at + self.opts.election_ms > now_ms;
        matches!(self.state, State::Leader(_)) || self.heard_leader_ms.is_some_and(recent)
    }

    fn up_to_date(&self, last: (Index, Term)) -> bool {
        let (index, term) = self.log.last();
        (last.1, last.0) >= (term, index)
    }

    fn same_cluster(&mut self, cluster: u128) -> bool {
        if self.hard.cluster.is_none() {
            self.hard.cluster = Some(cluster);
            self.hard_changed = true;
        }
        self.hard.cluster == Some(cluster)
    }

    fn send_voters(&mut self, body: &Body) {
        let voters: Vec<_> = self.membership().voters().filter(|it| *it != self.opts.id).collect();
        for id in voters {
            self.send(id, body.clone());
        }
    }
}

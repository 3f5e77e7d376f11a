//! Leader election: timers, pre-votes, votes, leadership transfer, and stepping down without contact with a quorum.
//!
//! When the election timer expires, a member first asks for pre-votes, which change no state at the receiver. Only with
//! a quorum of pre-votes does it raise its term and ask for votes. A member that returns after a partition therefore
//! cannot depose a working leader with a higher term. Members also ignore vote requests while they are in contact with
//! a leader, unless that leader has asked for the election to transfer its leadership.

use std::collections::BTreeMap;

use crate::raft::{
    Body, Core, Index, MemberId, Message, Payload, Term,
    core::{Leader, RoleState},
};

impl Core {
    /// Runs the timers: heartbeats, quorum check and transfer timeout of a leader, the election timer of the others.
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

    /// Handles a message. Drops it if it is for another member or from another cluster. A higher term makes this member
    /// a follower in that term; a request of an older term is refused, by which its sender learns the current term.
    /// Requests for pre-votes and granted pre-votes are handled before terms are compared, because they change no term.
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

    /// Handles a message of the current term.
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

    /// Becomes a follower in the current term. A leader fails its pending reads, because it can no longer confirm them.
    pub(super) fn become_follower(&mut self, now_ms: u64, leader: Option<MemberId>) {
        self.fail_reads();
        self.incoming_snapshot = None;
        self.state = RoleState::Follower { leader };
        self.reset_election_timer(now_ms);
    }

    /// Starts a leadership transfer: the voter with the most replicated log starts an election as soon as it has every
    /// entry. Meanwhile this member accepts no proposals, because voters that received a new entry would refuse to vote
    /// for a successor that lacks it. The transfer is given up after `election_ms`.
    pub(super) fn transfer_leadership(&mut self, now_ms: u64) {
        let own = self.opts.id;
        let RoleState::Leader(leader) = &mut self.state else { return };
        let voters = self.log.membership().voters().filter(|it| *it != own);
        let successor = voters.max_by_key(|it| leader.progress.get(it).map(|it| it.match_index));
        let Some(successor) = successor else { return };
        leader.transfer = Some((successor, now_ms + self.opts.election_ms));
        self.try_complete_transfer(successor);
    }

    /// Tells the target of a leadership transfer to start its election, if `id` is the target and has every entry.
    pub(super) fn try_complete_transfer(&mut self, id: MemberId) {
        let RoleState::Leader(leader) = &self.state else { return };
        let matched = leader.progress.get(&id).map(|it| it.match_index);
        if leader.transfer.is_some_and(|it| it.0 == id) && matched == Some(self.log.last().0) {
            self.send(id, Body::TimeoutNow);
        }
    }

    /// Records contact with the leader of the current term and restarts the election timer.
    fn record_leader_contact(&mut self, now_ms: u64, from: MemberId) {
        if self.leader() != Some(from) {
            self.become_follower(now_ms, Some(from));
        }
        self.last_leader_contact_ms = Some(now_ms);
        self.reset_election_timer(now_ms);
    }

    /// Asks all voters for pre-votes. A member that is not electable only forgets its leader and restarts its timer.
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

    /// Raises the term, votes for itself and asks all voters for their votes. With `transfer` set, the receivers vote
    /// although they are in contact with the old leader.
    fn start_election(&mut self, now_ms: u64, transfer: bool) {
        self.become_follower(now_ms, None);
        self.set_term(self.hard_state.term + 1, Some(self.opts.id));
        self.state = RoleState::Candidate { votes: [self.opts.id].into() };
        self.send_to_voters(&Body::Vote { last: self.log.last(), transfer });
        self.record_vote(now_ms, self.opts.id, true);
    }

    /// Grants a pre-vote if the sender could win: its term would be higher, its log is up to date, and this member is
    /// not in contact with a leader.
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

    /// Grants the vote if this member has not voted for another candidate in this term and the sender's log is up to
    /// date.
    fn handle_vote(&mut self, now_ms: u64, from: MemberId, last: (Index, Term)) {
        let may_vote = self.hard_state.vote.is_none_or(|it| it == from);
        let granted =
            may_vote && self.is_up_to_date(last) && !matches!(self.state, RoleState::Leader(_));
        if granted {
            self.set_term(self.hard_state.term, Some(from));
            self.reset_election_timer(now_ms);
        }
        self.send(from, Body::VoteReply { granted });
    }

    /// Counts a granted pre-vote; a quorum of them starts the election.
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

    /// Counts a granted vote; a quorum of them makes this member the leader.
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

    /// Becomes leader and appends a no-op, because entries of earlier terms are committed only with one of this term.
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

    /// Whether a quorum replied to this leader within two election timeouts. A leader without such a quorum steps down:
    /// the others may have elected another leader.
    fn is_quorum_active(&self, now_ms: u64) -> bool {
        let RoleState::Leader(leader) = &self.state else { return false };
        let oldest = now_ms.saturating_sub(2 * self.opts.election_ms);
        self.log.membership().has_quorum(|id| {
            id == self.opts.id
                || leader.progress.get(&id).is_some_and(|it| it.last_contact_ms >= oldest)
        })
    }

    /// Whether this member may become leader: it is a voter in the membership at the commit index or in a later one. A
    /// member whose demotion may be uncommitted counts, because it may have the longest log, so that no other voter
    /// could win.
    fn is_electable(&self) -> bool {
        self.log.memberships_since(self.commit).any(|it| it.is_voter(self.opts.id))
    }

    /// Whether this member is the leader or heard from one within `election_ms`, so that no election is needed.
    fn has_recent_leader(&self, now_ms: u64) -> bool {
        let recent = |at: u64| at + self.opts.election_ms > now_ms;
        matches!(self.state, RoleState::Leader(_))
            || self.last_leader_contact_ms.is_some_and(recent)
    }

    /// Whether a log that ends with `last` is at least as complete as this member's: a higher last term wins, then the
    /// higher index.
    fn is_up_to_date(&self, last: (Index, Term)) -> bool {
        let (index, term) = self.log.last();
        (last.1, last.0) >= (term, index)
    }

    /// Whether messages of this cluster are accepted. A member without a cluster joins that of the first message.
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

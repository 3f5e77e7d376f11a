//! Replication of the log from the leader to its followers, and commitment of entries.

use crate::raft::{
    Body, Core, Entry, Index, MemberId, Payload, Term,
    core::{Leader, RoleState},
    progress::{Mode, Progress},
};

/// Limit on entries that are sent to a follower but not yet acknowledged.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4_096;

/// Why a message is sent to a follower.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SendReason {
    /// There may be new entries, or the commit index advanced.
    NewEntries,
    /// A read round started.
    ReadRound,
    /// The heartbeat interval has passed. Lost messages are detected and resent by means of heartbeats.
    Heartbeat,
}

impl Core {
    /// Appends commands to the leader's log and replicates them.
    pub(super) fn propose(&mut self, now_ms: u64, commands: Vec<Vec<u8>>) {
        if !self.accepts_proposals() {
            return;
        }
        for command in commands {
            self.append(Payload::Data(command.into()));
        }
        self.broadcast(now_ms);
    }

    /// Sends new entries and the commit index to all followers.
    pub(super) fn broadcast(&mut self, now_ms: u64) {
        self.send_to_followers(now_ms, SendReason::NewEntries);
    }

    pub(super) fn heartbeat(&mut self, now_ms: u64) {
        if let RoleState::Leader(leader) = &mut self.state {
            leader.next_heartbeat_ms = now_ms + self.opts.heartbeat_ms;
        }
        self.send_to_followers(now_ms, SendReason::Heartbeat);
    }

    pub(super) fn send_to_followers(&mut self, now_ms: u64, reason: SendReason) {
        let RoleState::Leader(leader) = &self.state else { return };
        let own = self.opts.id;
        let ids: Vec<_> = leader.progress.keys().copied().filter(|it| *it != own).collect();
        for id in ids {
            self.send_to_follower(now_ms, id, reason);
        }
    }

    /// Sends the next message to a follower: entries, a heartbeat without entries, or a part of a snapshot. A follower
    /// that has not replied for two election timeouts is probed again from its last matching entry and gets only
    /// heartbeats until it replies. A follower with too many unacknowledged entries gets no further ones.
    pub(super) fn send_to_follower(&mut self, now_ms: u64, id: MemberId, reason: SendReason) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.progress.get_mut(&id) else { return };
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            return self.send_snapshot_part(now_ms, id, reason);
        }
        if progress.paused && reason == SendReason::NewEntries {
            return;
        }
        if reason == SendReason::Heartbeat
            && progress.last_contact_ms + 2 * self.opts.election_ms <= now_ms
        {
            progress.mode = Mode::Probe;
            progress.next_index = progress.match_index + 1;
            progress.paused = true;
        }
        let prev = progress.next_index - 1;
        let window_full = progress.next_index > progress.match_index + MAX_IN_FLIGHT_ENTRIES;
        let Some(prev_term) = self.log.term(prev) else {
            return self.start_snapshot(now_ms, id);
        };
        let last = self.log.last().0;
        let max_bytes =
            if progress.paused || window_full { None } else { Some(self.opts.max_message_bytes) };
        let entries = max_bytes.map_or_else(
            || Some(Vec::new()),
            |max_bytes| self.log.slice(progress.next_index, last, max_bytes),
        );
        let Some(entries) = entries else { return self.start_snapshot(now_ms, id) };
        match progress.mode {
            Mode::Replicate => progress.next_index += entries.len() as u64,
            Mode::Probe | Mode::Snapshot { .. } => progress.paused = true,
        }
        let (commit, round) = (self.commit, leader.round);
        self.send_before_save(id, Body::Append { prev: (prev, prev_term), entries, commit, round });
    }

    /// Handles an `Append` of the leader. If it starts before the commit index, only acknowledges the committed
    /// entries, which are the same everywhere. If the log contains `prev`, appends the entries; an entry that conflicts
    /// with the leader's is replaced together with all later ones. Otherwise rejects the message with a hint: the index
    /// after the last entry if the log is too short, else the first index of the conflicting term, so that a whole term
    /// is skipped at once.
    pub(super) fn handle_append(
        &mut self,
        from: MemberId,
        prev: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        if prev.0 < self.commit {
            return self.send(from, Body::Appended { matched: self.commit, round });
        }
        if self.log.term(prev.0) != Some(prev.1) {
            let last = self.log.last().0;
            let hint = if prev.0 > last {
                last + 1
            } else {
                self.log.first_index_of_term(prev.0, self.commit + 1)
            };
            return self.send(from, Body::AppendRejected { prev: prev.0, hint, round });
        }
        let matched = prev.0 + entries.len() as u64;
        for entry in entries {
            self.append_received(entry);
        }
        self.commit = self.commit.max(commit.min(matched));
        self.send(from, Body::Appended { matched, round });
    }

    /// Appends an entry of the leader, unless the log has it already.
    fn append_received(&mut self, entry: Entry) {
        if self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last().0 {
            assert!(entry.index > self.commit, "a committed entry must not be replaced");
            self.log.truncate(entry.index);
        }
        let from = self.first_unsaved.map_or(entry.index, |it| it.min(entry.index));
        self.first_unsaved = Some(from);
        self.log.push(entry);
    }

    /// Handles a follower's acknowledgement: advances its progress, sends it more entries, and commits what a quorum
    /// holds.
    pub(super) fn handle_appended(
        &mut self,
        now_ms: u64,
        from: MemberId,
        matched: Index,
        round: u64,
    ) {
        let last = self.log.last().0;
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.record_contact(from, now_ms, round) else { return };
        progress.match_index = progress.match_index.max(matched);
        let synchronized = match &progress.mode {
            Mode::Snapshot { snapshot, .. } => matched >= snapshot.index,
            Mode::Probe => true,
            Mode::Replicate => false,
        };
        if synchronized {
            progress.mode = Mode::Replicate;
            progress.next_index = progress.match_index + 1;
        }
        if !matches!(progress.mode, Mode::Snapshot { .. }) {
            progress.paused = false;
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        }
        if progress.next_index <= last {
            self.send_to_follower(now_ms, from, SendReason::NewEntries);
        }
        self.advance_commit(now_ms);
        self.try_complete_transfer(from);
    }

    /// Handles a rejection: probes the follower again from its hint. Ignores a rejection that is outdated because a
    /// later reply has moved the progress past it, and one that arrives while a snapshot is being sent.
    pub(super) fn handle_append_rejected(
        &mut self,
        now_ms: u64,
        from: MemberId,
        prev: Index,
        hint: Index,
        round: u64,
    ) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.record_contact(from, now_ms, round) else { return };
        let answers_probe = prev + 1 == progress.next_index;
        let outdated = prev <= progress.match_index
            || matches!(progress.mode, Mode::Snapshot { .. })
            || (matches!(progress.mode, Mode::Probe) && !answers_probe);
        if outdated {
            return;
        }
        progress.mode = Mode::Probe;
        progress.next_index = hint.clamp(progress.match_index + 1, prev);
        progress.paused = false;
        self.send_to_follower(now_ms, from, SendReason::NewEntries);
    }

    /// Counts the leader's own entries towards the quorum. Called when this step's save is durable.
    pub(super) fn mark_own_entries_durable(&mut self, now_ms: u64) {
        let last = self.log.last().0;
        let own = self.opts.id;
        let RoleState::Leader(leader) = &mut self.state else { return };
        if let Some(progress) = leader.progress.get_mut(&own) {
            progress.match_index = last;
            progress.next_index = last + 1;
            progress.last_contact_ms = now_ms;
        }
        self.advance_commit(now_ms);
    }

    /// Commits the entries that a quorum of voters holds. Entries of earlier terms are committed only together with one
    /// of the current term, because a later leader may still replace them even if a quorum holds them. A leader that is
    /// no longer a voter steps down once the membership that demoted it is committed.
    fn advance_commit(&mut self, now_ms: u64) {
        let RoleState::Leader(leader) = &self.state else { return };
        let membership = self.log.membership();
        let matched = |id: &MemberId| leader.progress.get(id).map_or(0, |it| it.match_index);
        let mut match_indices: Vec<_> = membership.voters().map(|it| matched(&it)).collect();
        match_indices.sort_unstable();
        let Some(&index) = match_indices.get((match_indices.len().max(1) - 1) / 2) else { return };
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        self.broadcast(now_ms);
        let own_is_voter = self.membership().is_voter(self.opts.id);
        if !own_is_voter && self.log.membership_index() <= self.commit {
            self.become_follower(now_ms, None);
        }
    }

    /// Whether this leader has committed an entry of its own term. Only then does its commit index include everything
    /// that earlier leaders committed.
    pub(super) fn has_committed_in_term(&self) -> bool {
        matches!(self.state, RoleState::Leader(_))
            && self.log.term(self.commit) == Some(self.hard_state.term)
    }
}

impl Leader {
    /// Records a follower's reply and its read round. None if the sender is not a member.
    pub(super) fn record_contact(
        &mut self,
        from: MemberId,
        now_ms: u64,
        round: u64,
    ) -> Option<&mut Progress> {
        let progress = self.progress.get_mut(&from)?;
        progress.last_contact_ms = now_ms;
        progress.acked_round = progress.acked_round.max(round);
        Some(progress)
    }
}

//! Transfer of snapshots, in parts, to followers that need entries which the leader no longer retains.

use std::sync::Arc;

use crate::raft::{
    Action, Body, Core, Index, MemberId, Membership, Snapshot, Term, core::RoleState,
    progress::Mode, replication::SendReason,
};

/// A snapshot that is being received.
pub(super) struct IncomingSnapshot {
    /// Index and term of the last entry applied to the snapshot.
    base: (Index, Term),
    /// The contiguous bytes received so far.
    data: Vec<u8>,
}

impl Core {
    /// Starts to send the newest snapshot to a follower.
    pub(super) fn start_snapshot(&mut self, now_ms: u64, id: MemberId) {
        let Some(snapshot) = self.log.snapshot().cloned() else { return };
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.progress.get_mut(&id) else { return };
        progress.mode = Mode::Snapshot { snapshot, received: 0 };
        progress.paused = false;
        self.send_snapshot_part(now_ms, id, SendReason::NewEntries);
    }

    /// Sends the next part of a snapshot. A part without acknowledgement is resent with heartbeats. A follower that has
    /// not replied for `election_ms` gets empty parts until it does, and read rounds send empty parts too.
    pub(super) fn send_snapshot_part(&mut self, now_ms: u64, id: MemberId, reason: SendReason) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&id) else { return };
        let Mode::Snapshot { snapshot, received } = &progress.mode else { return };
        if progress.paused && reason == SendReason::NewEntries {
            return;
        }
        let silent = progress.last_contact_ms + self.opts.election_ms <= now_ms;
        let start = (*received as usize).min(snapshot.data.len());
        let end = if reason == SendReason::ReadRound || silent {
            start
        } else {
            (start + self.opts.max_message_bytes).min(snapshot.data.len())
        };
        let body = Body::SnapshotPart {
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            total: snapshot.data.len() as u64,
            offset: start as u64,
            data: snapshot.data[start..end].to_vec(),
            round,
        };
        progress.paused = true;
        self.send_before_save(id, body);
    }

    /// Handles an acknowledgement and sends the next part. Ignores it if it brings no news or is for another snapshot.
    pub(super) fn handle_snapshot_ack(
        &mut self,
        now_ms: u64,
        from: MemberId,
        index: Index,
        arrived: u64,
        round: u64,
    ) {
        let RoleState::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.record_contact(from, now_ms, round) else { return };
        let Mode::Snapshot { snapshot, received } = &mut progress.mode else { return };
        if snapshot.index != index || *received == arrived {
            return;
        }
        *received = arrived;
        progress.paused = false;
        self.send_to_follower(now_ms, from, SendReason::NewEntries);
    }

    /// Handles a part of a snapshot. The last part installs the snapshot; a snapshot that is not newer than the commit
    /// index is only acknowledged. A part that does not start where the received bytes end is dropped, and the
    /// acknowledgement tells the leader where to continue.
    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: MemberId,
        base: (Index, Term),
        membership: &Membership,
        total: u64,
        offset: u64,
        data: &[u8],
        round: u64,
    ) {
        if base.0 <= self.commit {
            return self.send(from, Body::Appended { matched: self.commit, round });
        }
        let mut incoming = match self.incoming_snapshot.take() {
            Some(it) if it.base == base => it,
            _ => IncomingSnapshot { base, data: Vec::new() },
        };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(data);
        }
        let received = incoming.data.len() as u64;
        if received < total {
            self.incoming_snapshot = Some(incoming);
            return self.send(from, Body::SnapshotAck { index: base.0, received, round });
        }
        let (index, term) = base;
        let membership = membership.clone();
        self.install(Snapshot { index, term, membership, data: incoming.data });
        self.send(from, Body::Appended { matched: index, round });
    }

    /// Replaces log and state machine by a complete snapshot.
    fn install(&mut self, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        let entries = self.log.restore(snapshot.clone());
        self.snapshot_actions.push(Action::SaveSnapshot(snapshot.clone(), entries));
        self.snapshot_actions.push(Action::Restore(snapshot));
    }
}

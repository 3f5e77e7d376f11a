//! Scenarios that the random runs rarely reach.

use std::collections::{BTreeMap, BTreeSet};

use gentianpass::{
    control::repair,
    raft::{
        Action, Body, Core, Entry, Event, HardState, Index, MemberChange, MemberId, Membership,
        Message, Options, Payload, Recovered, Role, Term,
    },
};

use crate::node::{member, membership};

/// Members whose messages are delivered immediately, but only between connected ones. Their disks are not simulated.
struct Cluster {
    cores: BTreeMap<MemberId, Core>,
    connected: BTreeSet<MemberId>,
    /// Time on the clock of all members, in milliseconds.
    now: u64,
}

fn entry(index: Index, term: Term, payload: Payload) -> Entry {
    Entry { index, term, payload }
}

/// A member that starts from these entries, with snapshots that keep no trailing entries.
fn core(id: MemberId, term: Term, entries: Vec<Entry>) -> Core {
    let opts = Options {
        id,
        election_ms: 300,
        heartbeat_ms: 60,
        seed: id as u64,
        max_message_bytes: 1_000,
        trailing_entries: 0,
        trailing_bytes: usize::MAX,
    };
    let hard = HardState { term, vote: None, cluster: Some(1) };
    Core::new(opts, Recovered { hard, snapshot: None, entries }, 0)
}

/// The entry that bootstraps a cluster.
fn bootstrap_entry(members: Membership) -> Entry {
    entry(1, 1, Payload::Membership(members))
}

impl Cluster {
    fn new(cores: impl IntoIterator<Item = Core>) -> Self {
        let cores: BTreeMap<_, _> = cores.into_iter().map(|it| (it.id(), it)).collect();
        let connected = cores.keys().copied().collect();
        Self { cores, connected, now: 0 }
    }

    /// Processes an event and all messages that result from it. Returns the other actions.
    fn step(&mut self, id: MemberId, event: Event) -> Vec<Action> {
        let mut other_actions = Vec::new();
        let mut events = vec![(id, event)];
        while let Some((id, event)) = events.pop() {
            let Some(core) = self.cores.get_mut(&id) else { continue };
            for action in core.step(self.now, event) {
                match action {
                    Action::Send(it)
                        if self.connected.contains(&it.to) && self.connected.contains(&id) =>
                    {
                        events.insert(0, (it.to, Event::Receive(it)));
                    }
                    other => other_actions.push(other),
                }
            }
        }
        other_actions
    }

    /// Lets time pass, with a tick of every member each 10 ms.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now += 10;
            for id in self.cores.keys().copied().collect::<Vec<_>>() {
                self.step(id, Event::Tick);
            }
        }
    }

    fn leader(&self) -> MemberId {
        let leads = |it: &&Core| it.role() == Role::Leader;
        self.cores.values().find(leads).map(Core::id).expect("a leader")
    }
}

/// Guards against committing an entry of an earlier term because a quorum holds it. A later leader could still replace
/// it, so the leader must first commit an entry of its own term.
#[test]
fn entry_of_earlier_term_is_not_committed_alone() {
    let entries =
        vec![bootstrap_entry(membership([1, 2, 3])), entry(2, 2, Payload::Data(vec![2].into()))];
    let mut leader = core(1, 3, entries);
    let reply = |term, body| Event::Receive(Message { from: 2, to: 1, cluster: 1, term, body });
    let now = 1_000;
    leader.step(now, Event::Tick);
    leader.step(now, reply(3, Body::PreVoteReply { next_term: 4, granted: true }));
    leader.step(now, reply(4, Body::VoteReply { granted: true }));
    assert_eq!(leader.role(), Role::Leader);
    leader.step(now, reply(4, Body::Appended { matched: 2, round: 0 }));
    assert_eq!(
        leader.status().commit_index,
        0,
        "a quorum holds entry 2, but its term is an earlier one"
    );
    leader.step(now, reply(4, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(leader.status().commit_index, 3, "entry 3 has the leader's term");
}

/// Guards against two uncommitted membership changes at once. Their majorities need not overlap, so two leaders could
/// be elected in one term.
#[test]
fn second_membership_change_is_dropped() {
    let mut cluster =
        Cluster::new((1..=5).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3]))])));
    cluster.advance(2_000);
    let leader = cluster.leader();
    cluster.connected = [leader].into();
    cluster.step(leader, Event::ChangeMembership(MemberChange::AddLearner(4, member(false))));
    cluster.step(leader, Event::ChangeMembership(MemberChange::AddLearner(5, member(false))));
    let members = &cluster.cores[&leader].status().membership.members;
    assert!(members.contains_key(&4) && !members.contains_key(&5));
}

/// Guards against counting learners towards the quorum that commits an entry.
#[test]
fn learner_does_not_count() {
    let mut cluster =
        Cluster::new((1..=4).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3]))])));
    cluster.advance(2_000);
    let leader = cluster.leader();
    cluster.step(leader, Event::ChangeMembership(MemberChange::AddLearner(4, member(false))));
    cluster.advance(500);
    let before = cluster.cores[&leader].status().commit_index;
    cluster.connected = [leader, 4].into();
    cluster.step(leader, Event::Propose(vec![vec![1]]));
    assert_eq!(cluster.cores[&leader].status().commit_index, before);
    assert_eq!(cluster.cores[&4].status().last_index, before + 1, "the learner has the entry");
}

/// Guards against a member that deposes a working leader when it returns from a partition, during which its election
/// timer expired again and again.
#[test]
fn returning_member_does_not_disrupt() {
    let mut cluster =
        Cluster::new((1..=3).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3]))])));
    cluster.advance(2_000);
    let leader = cluster.leader();
    let term = cluster.cores[&leader].hard_state().term;
    let isolated = if leader == 1 { 2 } else { 1 };
    cluster.connected.remove(&isolated);
    cluster.advance(5_000);
    cluster.connected.insert(isolated);
    cluster.advance(2_000);
    assert_eq!((cluster.leader(), cluster.cores[&leader].hard_state().term), (leader, term));
}

/// Guards against a leader that keeps its role, and answers reads, without contact with a quorum. Half of the voters is
/// not a quorum.
#[test]
fn even_split_has_no_leader() {
    let mut cluster = Cluster::new(
        (1..=4).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3, 4]))])),
    );
    cluster.advance(2_000);
    let leader = cluster.leader();
    let other = if leader == 1 { 2 } else { 1 };
    cluster.connected = [leader, other].into();
    cluster.advance(5_000);
    assert!(cluster.cores.values().all(|it| it.role() != Role::Leader));
    let other_actions = cluster.step(leader, Event::Read(7));
    assert_eq!(other_actions, [Action::ReadFailed(7)]);
}

/// Guards against a cluster that can never elect a leader. A leader stopped after it appended its own demotion, so its
/// log is longer than that of the remaining voter, who cannot win. It must be able to win, replicate its demotion and
/// step down, after which the voter leads.
#[test]
fn member_with_uncommitted_demotion_can_lead() {
    let start = vec![bootstrap_entry(membership([1, 2]))];
    let mut demoted = membership([1, 2]);
    demoted.members.insert(1, member(false));
    let longer = [start.clone(), vec![entry(2, 2, Payload::Membership(demoted))]].concat();
    let mut cluster = Cluster::new([core(1, 2, longer), core(2, 2, start)]);
    cluster.advance(5_000);
    assert_eq!(cluster.leader(), 2);
}

/// Guards against a leadership transfer that fails because of a proposal accepted during it: voters that received the
/// new entry would refuse to vote for a successor that lacks it.
#[test]
fn leadership_transfer_rejects_proposals() {
    let mut cluster =
        Cluster::new((1..=3).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3]))])));
    cluster.advance(2_000);
    let leader = cluster.leader();
    let connected = cluster.connected.clone();
    cluster.connected = [leader].into();
    cluster.step(leader, Event::TransferLeadership);
    assert!(!cluster.cores[&leader].accepts_proposals());
    let last = cluster.cores[&leader].status().last_index;
    cluster.step(leader, Event::Propose(vec![vec![1]]));
    assert_eq!(cluster.cores[&leader].status().last_index, last);
    cluster.connected = connected;
    cluster.advance(200);
    assert_ne!(cluster.leader(), leader, "the transfer completes once the members are connected");
    let successor = cluster.leader();
    assert!(cluster.cores[&successor].accepts_proposals());
}

/// Guards against a replacement that first raises the number of voters: with one of four voters lost, the quorum needed
/// all others, and the loss of the successor's disk, or of any other, ended it for good.
#[test]
fn successor_lost_again_keeps_quorum() {
    let mut cluster =
        Cluster::new((1..=4).map(|id| core(id, 1, vec![bootstrap_entry(membership([1, 2, 3]))])));
    cluster.advance(2_000);
    let leader = cluster.leader();
    let lost = leader % 3 + 1;
    cluster.connected.remove(&lost);
    cluster.step(leader, Event::ChangeMembership(MemberChange::AddLearner(4, member(false))));
    let repair = |cluster: &mut Cluster| {
        for _ in 0..40 {
            cluster.advance(50);
            let status = cluster.cores[&leader].status();
            let change = repair::next_change(&status, leader, cluster.now, 1_300, 3)?;
            cluster.step(leader, Event::ChangeMembership(change));
            if cluster.cores[&leader].status().membership.is_voter(4) {
                return Some(());
            }
        }
        None
    };
    cluster.advance(1_400);
    assert!(repair(&mut cluster).is_some(), "the learner is a voter");
    // The successor's disk is lost while its promotion may not have reached the other voter.
    cluster.connected.remove(&4);
    let before = cluster.cores[&leader].status().commit_index;
    cluster.step(leader, Event::Propose(vec![vec![1]]));
    cluster.advance(400);
    assert!(cluster.cores[&leader].status().commit_index > before, "two of three voters remain");
}

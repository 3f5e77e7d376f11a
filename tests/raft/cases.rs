//! Single situations that random runs reach seldom.

use std::collections::{BTreeMap, BTreeSet};

use gentianpass::raft::{
    Action, Body, Core, Entry, Event, HardState, Index, MemberChange, MemberId, Membership,
    Message, Options, Payload, Recovered, Role, Term,
};

use crate::node::{member, membership};

/// Members whose messages arrive at once, but only between those listed.
struct Group {
    cores: BTreeMap<MemberId, Core>,
    connected: BTreeSet<MemberId>,
    now: u64,
}

fn entry(index: Index, term: Term, payload: Payload) -> Entry {
    Entry { index, term, payload }
}

fn core(id: MemberId, term: Term, entries: Vec<Entry>) -> Core {
    let opts = Options {
        id,
        election_ms: 300,
        heartbeat_ms: 60,
        seed: id as u64,
        max_message_bytes: 1_000,
        trailing_entries: 0,
    };
    let hard = HardState { term, vote: None, cluster: Some(1) };
    Core::new(opts, Recovered { hard, snapshot: None, entries }, 0)
}

fn first(members: Membership) -> Entry {
    entry(1, 1, Payload::Membership(members))
}

impl Group {
    fn new(cores: impl IntoIterator<Item = Core>) -> Self {
        let cores: BTreeMap<_, _> = cores.into_iter().map(|it| (it.id(), it)).collect();
        let connected = cores.keys().copied().collect();
        Self { cores, connected, now: 0 }
    }

    fn step(&mut self, id: MemberId, event: Event) -> Vec<Action> {
        let mut seen = Vec::new();
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
                    other => seen.push(other),
                }
            }
        }
        seen
    }

    fn pass(&mut self, ms: u64) {
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

/// Guards against the commit of an entry of an earlier term by counting copies: a later leader could replace it.
#[test]
fn old_term_entry_waits() {
    let entries = vec![first(membership([1, 2, 3])), entry(2, 2, Payload::Data(vec![2]))];
    let mut leader = core(1, 3, entries);
    let answer = |term, body| Event::Receive(Message { from: 2, to: 1, cluster: 1, term, body });
    let now = 1_000;
    leader.step(now, Event::Tick);
    leader.step(now, answer(3, Body::PreVoteReply { next_term: 4, granted: true }));
    leader.step(now, answer(4, Body::VoteReply { granted: true }));
    assert_eq!(leader.role(), Role::Leader);
    leader.step(now, answer(4, Body::Appended { matched: 2, round: 0 }));
    assert_eq!(
        leader.status().commit_index,
        0,
        "two of three hold entry 2, but it is of an old term"
    );
    leader.step(now, answer(4, Body::Appended { matched: 3, round: 0 }));
    assert_eq!(leader.status().commit_index, 3, "entry 3 is of the leader's term");
}

/// Guards against two changes at once: their majorities need not overlap.
#[test]
fn second_change_waits() {
    let mut group = Group::new((1..=5).map(|id| core(id, 1, vec![first(membership([1, 2, 3]))])));
    group.pass(2_000);
    let leader = group.leader();
    group.connected = [leader].into();
    group.step(leader, Event::ChangeMembership(MemberChange::AddLearner(4, member(false))));
    group.step(leader, Event::ChangeMembership(MemberChange::AddLearner(5, member(false))));
    let members = &group.cores[&leader].status().membership.members;
    assert!(members.contains_key(&4) && !members.contains_key(&5));
}

/// Guards against commits by learners: they are not part of the majority.
#[test]
fn learner_does_not_count() {
    let mut group = Group::new((1..=4).map(|id| core(id, 1, vec![first(membership([1, 2, 3]))])));
    group.pass(2_000);
    let leader = group.leader();
    group.step(leader, Event::ChangeMembership(MemberChange::AddLearner(4, member(false))));
    group.pass(500);
    let before = group.cores[&leader].status().commit_index;
    group.connected = [leader, 4].into();
    group.step(leader, Event::Propose(vec![vec![1]]));
    assert_eq!(group.cores[&leader].status().commit_index, before);
    assert_eq!(group.cores[&4].status().last_index, before + 1, "the learner has the entry");
}

/// Guards against elections by a member that was cut off and returns: the leader stays.
#[test]
fn returning_member_does_not_disrupt() {
    let mut group = Group::new((1..=3).map(|id| core(id, 1, vec![first(membership([1, 2, 3]))])));
    group.pass(2_000);
    let leader = group.leader();
    let term = group.cores[&leader].hard_state().term;
    let away = if leader == 1 { 2 } else { 1 };
    group.connected.remove(&away);
    group.pass(5_000);
    group.connected.insert(away);
    group.pass(2_000);
    assert_eq!((group.leader(), group.cores[&leader].hard_state().term), (leader, term));
}

/// Guards against a leader that goes on without a majority, also when the halves are equal.
#[test]
fn equal_halves_have_no_leader() {
    let mut group =
        Group::new((1..=4).map(|id| core(id, 1, vec![first(membership([1, 2, 3, 4]))])));
    group.pass(2_000);
    let leader = group.leader();
    let other = if leader == 1 { 2 } else { 1 };
    group.connected = [leader, other].into();
    group.pass(5_000);
    assert!(group.cores.values().all(|it| it.role() != Role::Leader));
    let seen = group.step(leader, Event::Read(7));
    assert_eq!(seen, [Action::ReadFailed(7)]);
}

/// Guards against a deadlock: a leader that stopped while it demoted itself has the longest log, so that nobody else
/// can win.
#[test]
fn half_demoted_member_can_lead() {
    let start = vec![first(membership([1, 2]))];
    let mut demoted = membership([1, 2]);
    demoted.members.insert(1, member(false));
    let longer = [start.clone(), vec![entry(2, 2, Payload::Membership(demoted))]].concat();
    let mut group = Group::new([core(1, 2, longer), core(2, 2, start)]);
    group.pass(5_000);
    assert_eq!(group.leader(), 2);
}

/// Guards against a planned handover that fails: a proposal taken meanwhile reaches only some of the voters, which then
/// refuse their votes to the successor.
#[test]
fn handover_takes_no_proposals() {
    let mut group = Group::new((1..=3).map(|id| core(id, 1, vec![first(membership([1, 2, 3]))])));
    group.pass(2_000);
    let leader = group.leader();
    let connected = group.connected.clone();
    group.connected = [leader].into();
    group.step(leader, Event::TransferLeadership);
    assert!(!group.cores[&leader].accepts_proposals());
    let last = group.cores[&leader].status().last_index;
    group.step(leader, Event::Propose(vec![vec![1]]));
    assert_eq!(group.cores[&leader].status().last_index, last);
    group.connected = connected;
    group.pass(200);
    assert_ne!(group.leader(), leader, "the request is repeated until the successor leads");
    let successor = group.leader();
    assert!(group.cores[&successor].accepts_proposals());
}

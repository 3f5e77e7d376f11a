//! Simulation of hosts that lose their disks and are replaced by themselves: the repair of the membership as the control
//! hosts do it, beside crashes, partitions and messages that arrive seconds late. One disk is lost at a time; the next
//! one not before the host that lost the last one has been back for [`CATCH_UP_MS`].

use std::collections::BTreeMap;

use gentianpass::{
    control::repair,
    raft::{Core, Event, Member, MemberChange, MemberId, Message, Role},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    model::Model,
    node::{Defect, Node, member},
};

const STEP_MS: u64 = 10;
const HOSTS: usize = 3;

/// How long a host counts as lost after it is back with an empty disk.
const CATCH_UP_MS: u64 = 4_000;

/// A voter that is silent for this long is replaced: a third of [`CATCH_UP_MS`].
const REPAIR_AFTER_MS: u64 = CATCH_UP_MS / 3;

/// Interval at which a leader looks for a membership change, and a host without membership asks to join.
const REPAIR_INTERVAL_MS: u64 = 250;

/// How long a host stays away that has lost its disk.
const MAX_ABSENCE_MS: u64 = 1_500;

const RECOVERY_MS: u64 = 12_000;

/// Which faults a run injects besides the loss of disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// None: the next disk is lost as soon as it is allowed.
    DisksOnly,
    /// Crashes, also of all hosts at once, partitions and delays. The next disk is lost once the last loss is repaired.
    All,
}

/// What a run exercised.
#[derive(Debug, Default)]
pub struct Summary {
    /// Number of committed entries.
    pub committed: u64,
    /// Number of disks that were lost.
    pub lost_disks: usize,
}

struct Sim {
    rng: StdRng,
    faults: Faults,
    now: u64,
    /// The member that runs on each host.
    hosts: [MemberId; HOSTS],
    nodes: BTreeMap<MemberId, Node>,
    network: Vec<(u64, Message)>,
    /// Hosts that are cut off, and until when.
    cut: Option<(usize, u64)>,
    /// When the host that lost its disk last is back, and whether its loss is repaired.
    back_at: u64,
    model: Model,
    next_id: u64,
    lost_disks: usize,
}

/// Runs one seed. The error is a violated safety property, or that no entry is committed at the end.
pub fn run(seed: u64, faults: Faults, losses: usize) -> Result<Summary, String> {
    let mut sim = Sim::new(seed, faults);
    let end = 60_000;
    while sim.lost_disks < losses && sim.now < end {
        sim.inject_faults();
        sim.advance()?;
    }
    sim.cut = None;
    let recovered = sim.now + RECOVERY_MS;
    while sim.now < recovered {
        sim.advance()?;
    }
    let committed = sim.model.len();
    for _ in 0..100 {
        sim.advance()?;
    }
    if sim.model.len() == committed {
        let voters = sim.nodes.iter().filter_map(|(id, it)| {
            let core = it.core.as_ref()?;
            Some((*id, core.role(), core.membership().voters().collect::<Vec<_>>()))
        });
        let voters: Vec<_> = voters.collect();
        return Err(format!("no entry was committed after the faults: {:?} {voters:?}", sim.hosts));
    }
    Ok(Summary { committed, lost_disks: sim.lost_disks })
}

impl Sim {
    fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = [1, 2, 3];
        let mut nodes: BTreeMap<MemberId, _> = hosts
            .iter()
            .map(|id| (*id, Node::new(*id, rng.random_range(0..5_000), Defect::None)))
            .collect();
        let voters = hosts.iter().enumerate().map(|(i, id)| (*id, at_host(i, true)));
        nodes.get_mut(&1).expect("first member").bootstrap_with(voters.collect());
        for node in nodes.values_mut() {
            node.start(0, rng.random());
        }
        Self {
            rng,
            faults,
            now: 0,
            hosts,
            nodes,
            network: Vec::new(),
            cut: None,
            back_at: 0,
            model: Model::default(),
            next_id: 0,
            lost_disks: 0,
        }
    }

    fn advance(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        let now = self.now;
        let due = self.network.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>();
        for (_, message) in due {
            if self.connected(message.from, message.to)
                && let Some(node) = self.nodes.get_mut(&message.to)
                && node.core.is_some()
            {
                node.inbox.push_back(message);
            }
        }
        for id in self.hosts {
            self.run_node(id)?;
        }
        if self.now.is_multiple_of(REPAIR_INTERVAL_MS / STEP_MS * STEP_MS) {
            self.join()?;
            self.repair()?;
        }
        self.next_id += 1;
        let command = self.next_id.to_le_bytes().to_vec();
        if self.rng.random_bool(0.3) {
            self.step_leaders(&Event::Propose(vec![command]))?;
        }
        Ok(())
    }

    /// Whether messages pass between two members. Those of an earlier member of a host still arrive.
    fn connected(&self, from: MemberId, to: MemberId) -> bool {
        let is_cut =
            |id| self.cut.is_some_and(|(host, until)| host_of(id) == host && until > self.now);
        is_cut(from) == is_cut(to)
    }

    fn run_node(&mut self, id: MemberId) -> Result<(), String> {
        let node = self.nodes.get_mut(&id).expect("member");
        if node.unavailable_until > self.now {
            return Ok(());
        }
        if node.core.is_none() {
            node.start(self.now, self.rng.random());
        }
        while let Some(message) = self.nodes.get_mut(&id).and_then(|it| it.inbox.pop_front()) {
            self.step(id, Event::Receive(message))?;
        }
        self.step(id, Event::Tick)?;
        match self.nodes[&id].compaction() {
            Some(event) => self.step(id, event),
            None => Ok(()),
        }
    }

    fn step(&mut self, id: MemberId, event: Event) -> Result<(), String> {
        let node = self.nodes.get_mut(&id).expect("member");
        let sent = node.step(self.now, event, None, &mut self.model, &mut self.rng)?;
        for message in sent {
            let late = self.faults == Faults::All && self.rng.random_bool(0.03);
            let delay = self.rng.random_range(1..if late { 4_000 } else { 20 });
            self.network.push((self.now + delay, message));
        }
        Ok(())
    }

    fn step_leaders(&mut self, event: &Event) -> Result<(), String> {
        self.leaders().into_iter().try_for_each(|id| self.step(id, event.clone()))
    }

    fn leaders(&self) -> Vec<MemberId> {
        let leads = |id: &MemberId| {
            let node = &self.nodes[id];
            let leads = node.core.as_ref().is_some_and(|it| it.role() == Role::Leader);
            leads && node.unavailable_until <= self.now
        };
        self.hosts.iter().copied().filter(leads).collect()
    }

    /// Hosts that the leaders do not know ask them to join.
    fn join(&mut self) -> Result<(), String> {
        for leader in self.leaders() {
            for (i, id) in self.hosts.into_iter().enumerate() {
                let runs = self.nodes[&id].unavailable_until <= self.now;
                if runs && self.connected(leader, id) {
                    let change = MemberChange::AddLearner(id, at_host(i, false));
                    self.step(leader, Event::ChangeMembership(change))?;
                }
            }
        }
        Ok(())
    }

    fn repair(&mut self) -> Result<(), String> {
        for id in self.leaders() {
            let node = &self.nodes[&id];
            let Some(core) = &node.core else { continue };
            let now_ms = self.now + node.clock_offset_ms;
            let status = core.status();
            let change = repair::next_change(&status, id, now_ms, REPAIR_AFTER_MS, HOSTS);
            if let Some(change) = change {
                self.step(id, Event::ChangeMembership(change))?;
            }
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        if self.may_lose_disk() && self.rng.random_bool(0.02) {
            self.lose_disk();
        }
        if self.faults == Faults::DisksOnly {
            return;
        }
        if self.rng.random_bool(0.004) {
            let i = self.rng.random_range(0..HOSTS);
            let all = self.rng.random_bool(0.3);
            for (host, id) in self.hosts.into_iter().enumerate() {
                if all || host == i {
                    let away = self.rng.random_range(10..1_500);
                    let node = self.nodes.get_mut(&id).expect("member");
                    node.unavailable_until = node.unavailable_until.max(self.now + away);
                    if self.rng.random_bool(0.7) {
                        node.crash();
                    }
                }
            }
        }
        if self.cut.is_none_or(|it| it.1 <= self.now) && self.rng.random_bool(0.003) {
            let until = self.now + self.rng.random_range(100..2_500);
            self.cut = Some((self.rng.random_range(0..HOSTS), until));
        }
    }

    /// Whether the last loss of a disk is over: after [`CATCH_UP_MS`] without other faults, else once it is repaired.
    fn may_lose_disk(&self) -> bool {
        match self.faults {
            Faults::DisksOnly => self.now > self.back_at + CATCH_UP_MS,
            Faults::All => self.leaders().iter().any(|id| {
                let status = self.nodes[id].core.as_ref().map(Core::status);
                status.is_some_and(|it| {
                    let mut voters: Vec<_> = it.membership.voters().collect();
                    voters.sort_unstable();
                    let mut hosts = self.hosts.to_vec();
                    hosts.sort_unstable();
                    let caught_up = |id: &MemberId| it.members[id].match_index >= it.commit_index;
                    it.membership_committed && voters == hosts && hosts.iter().all(caught_up)
                })
            }),
        }
    }

    /// A host loses its disk: often the leader, which has just acknowledged something, or the same one again.
    fn lose_disk(&mut self) {
        let leader = self.leaders().first().map(|id| host_of(*id));
        let random = self.rng.random_range(0..HOSTS);
        let i = leader.filter(|_| self.rng.random_bool(0.4)).unwrap_or(random);
        let id = self.hosts[i] + HOSTS as MemberId;
        self.nodes.remove(&self.hosts[i]);
        self.hosts[i] = id;
        let mut node = Node::new(id, self.rng.random_range(0..5_000), Defect::None);
        self.back_at = self.now + self.rng.random_range(50..MAX_ABSENCE_MS);
        node.unavailable_until = self.back_at;
        self.nodes.insert(id, node);
        self.lost_disks += 1;
        if self.faults == Faults::All && self.rng.random_bool(0.4) {
            for id in self.hosts {
                let away = self.now + self.rng.random_range(10..1_000);
                let node = self.nodes.get_mut(&id).expect("member");
                node.unavailable_until = node.unavailable_until.max(away);
                node.crash();
            }
        }
    }
}

/// The host on which a member runs.
fn host_of(id: MemberId) -> usize {
    (id as usize - 1) % HOSTS
}

/// A member at the address of a host.
fn at_host(i: usize, voter: bool) -> Member {
    let rpc = ([127, 0, 0, i as u8 + 1], 7_000).into();
    Member { rpc, name: format!("host-{i}"), zone: format!("zone-{i}"), ..member(voter) }
}

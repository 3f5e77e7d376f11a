//! Deterministic simulation of a cluster from one seed: a network that loses, duplicates, delays and reorders messages,
//! partitions, crashes and suspended processes.

use std::collections::BTreeMap;

use gentianpass::raft::{Event, MemberChange, MemberId, Message, Role};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    model::Model,
    node::{Defect, Node, member},
};

const STEP_MS: u64 = 10;
const FAULT_PHASE_MS: u64 = 20_000;
const RECOVERY_PHASE_MS: u64 = 8_000;
const HOSTS: u64 = 7;

/// A simulated cluster and its network.
pub struct Sim {
    rng: StdRng,
    defect: Defect,
    /// Probability that a member crashes while it processes an event.
    crash_probability: f64,
    /// Simulated time, in milliseconds.
    now: u64,
    nodes: BTreeMap<MemberId, Node>,
    /// Messages in flight, with their arrival times.
    network: Vec<(u64, Message)>,
    /// The partition of each member. Only members in the same partition receive each other's messages.
    partitions: BTreeMap<MemberId, u64>,
    partitioned_until: u64,
    model: Model,
    /// The last number used for a command or read.
    next_id: u64,
}

/// Counts of what a run exercised.
#[derive(Debug, Default)]
pub struct Summary {
    /// Number of committed entries.
    pub committed: u64,
    /// Number of confirmed reads.
    pub confirmed: usize,
    /// Number of leaders' snapshots that followers installed.
    pub installed: usize,
    /// Number of terms that had a leader.
    pub terms: usize,
}

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum Violation {
    /// A safety property, which must hold at any time, was violated.
    #[error("safety violation: {0}")]
    Safety(String),
    /// The cluster did not make progress and converge after the faults had ended.
    #[error("no agreement after the faults ended: {0}")]
    NoAgreement(String),
}

/// Runs one seed: a phase with faults, then one without, in which a new entry must be committed and applied everywhere.
pub fn run(seed: u64, defect: Defect) -> Result<Summary, Violation> {
    let mut sim = Sim::new(seed, defect);
    while sim.now < FAULT_PHASE_MS {
        sim.inject_faults().map_err(Violation::Safety)?;
        sim.advance().map_err(Violation::Safety)?;
    }
    sim.run_recovery()?;
    Ok(Summary {
        committed: sim.model.len(),
        confirmed: sim.model.confirmed_reads,
        installed: sim.model.installed_snapshots,
        terms: sim.model.terms(),
    })
}

impl Sim {
    fn new(seed: u64, defect: Defect) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters: u64 = if defect != Defect::None || rng.random_bool(0.5) { 3 } else { 5 };
        let mut nodes: BTreeMap<_, _> = (1..=HOSTS)
            .map(|id| (id.into(), Node::new(id.into(), rng.random_range(0..5_000), defect)))
            .collect();
        nodes.get_mut(&1).expect("first member").bootstrap((1..=voters).map(MemberId::from));
        for node in nodes.values_mut() {
            node.start(0, rng.random());
        }
        Self {
            rng,
            defect,
            crash_probability: if defect == Defect::None { 0.001 } else { 0.01 },
            now: 0,
            nodes,
            network: Vec::new(),
            partitions: BTreeMap::new(),
            partitioned_until: 0,
            model: Model::default(),
            next_id: 0,
        }
    }

    /// Lets one step of time pass: delivers the messages that are due, then runs every member.
    fn advance(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        let now = self.now;
        let due = self.network.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>();
        for (_, message) in due {
            if self.partitions.get(&message.from) == self.partitions.get(&message.to)
                && let Some(node) = self.nodes.get_mut(&message.to)
                && node.core.is_some()
            {
                node.inbox.push_back(message);
            }
        }
        for id in self.ids() {
            self.run_node(id)?;
        }
        Ok(())
    }

    /// Runs a member that is available: starts its process if needed, processes its messages, and ticks.
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

    /// Lets a member process an event, with a random crash during the fault phase, and sends its messages.
    fn step(&mut self, id: MemberId, event: Event) -> Result<(), String> {
        let faulty = self.now < FAULT_PHASE_MS;
        let crash = faulty && self.rng.random_bool(self.crash_probability);
        let crash_after = crash.then(|| self.rng.random_range(0..4));
        let node = self.nodes.get_mut(&id).expect("member");
        let sent = node.step(self.now, event, crash_after, &mut self.model, &mut self.rng)?;
        if node.core.is_none() {
            node.unavailable_until =
                node.unavailable_until.max(self.now + self.rng.random_range(10..400));
        }
        for message in sent {
            self.send(&message, faulty);
        }
        Ok(())
    }

    /// Puts a message on the network. In the fault phase it may be lost, duplicated or delayed.
    fn send(&mut self, message: &Message, faulty: bool) {
        if faulty && self.rng.random_bool(0.05) {
            return;
        }
        let copies = if faulty && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let delayed = faulty && self.rng.random_bool(0.02);
            let delay = self.rng.random_range(1..if delayed { 1_500 } else { 30 });
            self.network.push((self.now + delay, message.clone()));
        }
    }

    /// Starts random faults, membership changes, leadership transfers, proposals and reads.
    fn inject_faults(&mut self) -> Result<(), String> {
        if self.partitioned_until <= self.now {
            self.partitions.clear();
        }
        if self.rng.random_bool(0.003) {
            let partitions = self.rng.random_range(1..=3);
            self.partitions =
                self.ids().map(|id| (id, self.rng.random_range(0..=partitions))).collect();
            self.partitioned_until = self.now + self.rng.random_range(100..2_500);
        }
        let id = MemberId::from(self.rng.random_range(1..=HOSTS));
        if self.rng.random_bool(0.004) {
            let node = self.nodes.get_mut(&id).expect("member");
            node.unavailable_until = self.now + self.rng.random_range(50..2_000);
            if self.rng.random_bool(0.5) {
                node.crash();
            }
        }
        if self.rng.random_bool(0.02) {
            let change = self.member_change(id);
            self.step_leaders(&Event::ChangeMembership(change))?;
        }
        if self.rng.random_bool(0.002) {
            self.step_leaders(&Event::TransferLeadership)?;
        }
        if self.rng.random_bool(0.2) {
            self.propose()?;
        }
        if self.rng.random_bool(0.2) {
            self.read()?;
        }
        Ok(())
    }

    /// A random change of member `id`. Demotes only while every leader's membership has more than three voters.
    fn member_change(&mut self, id: MemberId) -> MemberChange {
        let leaders = self.leaders();
        let cores = leaders.iter().filter_map(|it| self.nodes[it].core.as_ref());
        let voters = cores.map(|it| it.membership().voters().count()).min().unwrap_or(0);
        let other = MemberId::from(self.rng.random_range(1..=HOSTS));
        match self.rng.random_range(0..4) {
            0 => MemberChange::AddLearner(id, member(false)),
            1 => MemberChange::Promote(id),
            2 if voters > 3 && other % 2 == 0 => {
                MemberChange::Replace { lost: id, successor: other }
            }
            2 if voters > 3 => MemberChange::Demote(id),
            _ => MemberChange::Remove(id),
        }
    }

    /// Proposes one to three unique commands to every leader.
    fn propose(&mut self) -> Result<(), String> {
        self.next_id += 1;
        let count = self.rng.random_range(1..4);
        let commands = (0..count).map(|i: u8| [&self.next_id.to_le_bytes()[..], &[i]].concat());
        self.step_leaders(&Event::Propose(commands.collect()))
    }

    /// Starts a read at every leader, also at one that has been deposed without knowing it.
    fn read(&mut self) -> Result<(), String> {
        for id in self.leaders() {
            self.next_id += 1;
            self.model.start_read(self.next_id);
            if self.defect == Defect::UnconfirmedReads {
                let applied = self.nodes[&id].machine.0;
                self.model.end_read(self.next_id, Some(applied))?;
            } else {
                self.step(id, Event::Read(self.next_id))?;
            }
        }
        Ok(())
    }

    fn step_leaders(&mut self, event: &Event) -> Result<(), String> {
        self.leaders().into_iter().try_for_each(|id| self.step(id, event.clone()))
    }

    /// The available members that consider themselves leader.
    fn leaders(&self) -> Vec<MemberId> {
        let leads = |it: &Node| it.core.as_ref().is_some_and(|it| it.role() == Role::Leader);
        let running =
            self.nodes.iter().filter(|(_, it)| it.unavailable_until <= self.now && leads(it));
        running.map(|(id, _)| *id).collect()
    }

    /// Ends all faults. The members must then elect a leader and commit a new entry within the recovery phase.
    fn run_recovery(&mut self) -> Result<(), Violation> {
        self.partitions.clear();
        self.nodes.values_mut().for_each(|it| it.unavailable_until = 0);
        let mut proposed = None;
        while self.now < FAULT_PHASE_MS + RECOVERY_PHASE_MS {
            self.advance().map_err(Violation::Safety)?;
            if self.now == FAULT_PHASE_MS + RECOVERY_PHASE_MS / 2 {
                proposed = Some(self.model.len());
                self.propose().map_err(Violation::Safety)?;
            }
        }
        self.check_agreement(proposed).map_err(Violation::NoAgreement)
    }

    fn check_agreement(&self, proposed: Option<u64>) -> Result<(), String> {
        let [leader] = self.leaders()[..] else {
            return Err(format!("there are {} leaders after the faults", self.leaders().len()));
        };
        if proposed.is_none_or(|it| self.model.len() <= it) {
            return Err("no entry was committed after the faults".into());
        }
        let core = self.nodes[&leader].core.as_ref().expect("leader runs");
        for id in core.membership().members.keys() {
            let applied = self.nodes[id].machine.0;
            if applied != self.model.len() {
                return Err(format!(
                    "member {id} applied {applied} of {} entries",
                    self.model.len()
                ));
            }
        }
        Ok(())
    }

    fn ids(&self) -> impl Iterator<Item = MemberId> + use<> {
        (1..=HOSTS).map(MemberId::from)
    }
}

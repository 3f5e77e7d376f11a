//! Members, a network that loses, repeats and reorders, crashes, stops and cuts; all from one seed.

use std::collections::BTreeMap;

use gentianpass::raft::{Event, MemberChange, MemberId, Message, Role};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    model::Model,
    node::{Fault, Node, member},
};

const STEP_MS: u64 = 10;
const FAULTY_MS: u64 = 20_000;
const HEALED_MS: u64 = 8_000;
const HOSTS: u64 = 7;

/// The members and the network between them.
pub struct Sim {
    rng: StdRng,
    fault: Fault,
    crash_rate: f64,
    now: u64,
    nodes: BTreeMap<MemberId, Node>,
    network: Vec<(u64, Message)>,
    /// Which members hear each other: only those in the same part.
    parts: BTreeMap<MemberId, u64>,
    parts_until: u64,
    model: Model,
    next: u64,
}

/// How a run went.
#[derive(Debug, Default)]
pub struct Summary {
    /// How many entries were committed.
    pub committed: u64,
    /// How many reads were confirmed.
    pub confirmed: usize,
    /// How many snapshots of leaders were installed.
    pub installed: usize,
    /// How many terms had a leader.
    pub terms: usize,
}

/// What went wrong in a run.
#[derive(Debug, thiserror::Error)]
pub enum Violation {
    /// A rule was broken that must hold at any time.
    #[error("broken rule: {0}")]
    Safety(String),
    /// The members did not agree again after all faults had ended.
    #[error("no agreement after the faults: {0}")]
    Stuck(String),
}

/// Runs one seed: faults, then none, after which a new entry must be committed everywhere.
pub fn run(seed: u64, fault: Fault) -> Result<Summary, Violation> {
    let mut sim = Sim::new(seed, fault);
    while sim.now < FAULTY_MS {
        sim.disturb().map_err(Violation::Safety)?;
        sim.advance().map_err(Violation::Safety)?;
    }
    sim.heal()?;
    Ok(Summary {
        committed: sim.model.len(),
        confirmed: sim.model.confirmed,
        installed: sim.model.installed,
        terms: sim.model.terms(),
    })
}

impl Sim {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let voters: u64 = if fault != Fault::None || rng.random_bool(0.5) { 3 } else { 5 };
        let mut nodes: BTreeMap<_, _> = (1..=HOSTS)
            .map(|id| (id.into(), Node::new(id.into(), rng.random_range(0..5_000), fault)))
            .collect();
        nodes.get_mut(&1).expect("first member").bootstrap((1..=voters).map(MemberId::from));
        for node in nodes.values_mut() {
            node.start(0, rng.random());
        }
        Self {
            rng,
            fault,
            crash_rate: if fault == Fault::None { 0.001 } else { 0.01 },
            now: 0,
            nodes,
            network: Vec::new(),
            parts: BTreeMap::new(),
            parts_until: 0,
            model: Model::default(),
            next: 0,
        }
    }

    fn advance(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        let now = self.now;
        let due = self.network.extract_if(.., |it| it.0 <= now).collect::<Vec<_>>();
        for (_, message) in due {
            if self.parts.get(&message.from) == self.parts.get(&message.to)
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

    fn run_node(&mut self, id: MemberId) -> Result<(), String> {
        let node = self.nodes.get_mut(&id).expect("member");
        if node.away_until > self.now {
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
        let faulty = self.now < FAULTY_MS;
        let crash = faulty && self.rng.random_bool(self.crash_rate);
        let crash_after = crash.then(|| self.rng.random_range(0..4));
        let node = self.nodes.get_mut(&id).expect("member");
        let sent = node.step(self.now, event, crash_after, &mut self.model, &mut self.rng)?;
        if node.core.is_none() {
            node.away_until = node.away_until.max(self.now + self.rng.random_range(10..400));
        }
        for message in sent {
            self.send(&message, faulty);
        }
        Ok(())
    }

    fn send(&mut self, message: &Message, faulty: bool) {
        if faulty && self.rng.random_bool(0.05) {
            return;
        }
        let copies = if faulty && self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            let late = faulty && self.rng.random_bool(0.02);
            let delay = self.rng.random_range(1..if late { 1_500 } else { 30 });
            self.network.push((self.now + delay, message.clone()));
        }
    }

    fn disturb(&mut self) -> Result<(), String> {
        if self.parts_until <= self.now {
            self.parts.clear();
        }
        if self.rng.random_bool(0.003) {
            let parts = self.rng.random_range(1..=3);
            self.parts = self.ids().map(|id| (id, self.rng.random_range(0..=parts))).collect();
            self.parts_until = self.now + self.rng.random_range(100..2_500);
        }
        let id = MemberId::from(self.rng.random_range(1..=HOSTS));
        if self.rng.random_bool(0.004) {
            let node = self.nodes.get_mut(&id).expect("member");
            node.away_until = self.now + self.rng.random_range(50..2_000);
            if self.rng.random_bool(0.5) {
                node.crash();
            }
        }
        if self.rng.random_bool(0.02) {
            let change = self.member_change(id);
            self.at_leaders(&Event::ChangeMembership(change))?;
        }
        if self.rng.random_bool(0.002) {
            self.at_leaders(&Event::TransferLeadership)?;
        }
        if self.rng.random_bool(0.2) {
            self.propose()?;
        }
        if self.rng.random_bool(0.2) {
            self.read()?;
        }
        Ok(())
    }

    fn member_change(&mut self, id: MemberId) -> MemberChange {
        let leaders = self.leaders();
        let cores = leaders.iter().filter_map(|it| self.nodes[it].core.as_ref());
        let voters = cores.map(|it| it.membership().voters().count()).min().unwrap_or(0);
        let replaces = MemberId::from(self.rng.random_range(1..=HOSTS));
        match self.rng.random_range(0..4) {
            0 => MemberChange::AddLearner(id, member(false)),
            1 => MemberChange::Promote { id, replaces: Some(replaces).filter(|it| it % 2 == 0) },
            2 if voters > 3 => MemberChange::Demote(id),
            _ => MemberChange::Remove(id),
        }
    }

    fn propose(&mut self) -> Result<(), String> {
        self.next += 1;
        let count = self.rng.random_range(1..4);
        let commands = (0..count).map(|i: u8| [&self.next.to_le_bytes()[..], &[i]].concat());
        self.at_leaders(&Event::Propose(commands.collect()))
    }

    fn read(&mut self) -> Result<(), String> {
        for id in self.leaders() {
            self.next += 1;
            self.model.start_read(self.next);
            if self.fault == Fault::UnconfirmedReads {
                let applied = self.nodes[&id].machine.0;
                self.model.end_read(self.next, Some(applied))?;
            } else {
                self.step(id, Event::Read(self.next))?;
            }
        }
        Ok(())
    }

    fn at_leaders(&mut self, event: &Event) -> Result<(), String> {
        self.leaders().into_iter().try_for_each(|id| self.step(id, event.clone()))
    }

    /// Everybody who believes to lead and is not stopped.
    fn leaders(&self) -> Vec<MemberId> {
        let leads = |it: &Node| it.core.as_ref().is_some_and(|it| it.role() == Role::Leader);
        let running = self.nodes.iter().filter(|(_, it)| it.away_until <= self.now && leads(it));
        running.map(|(id, _)| *id).collect()
    }

    /// Without faults the members must agree again within a bounded time.
    fn heal(&mut self) -> Result<(), Violation> {
        self.parts.clear();
        self.nodes.values_mut().for_each(|it| it.away_until = 0);
        let mut proposed = None;
        while self.now < FAULTY_MS + HEALED_MS {
            self.advance().map_err(Violation::Safety)?;
            if self.now == FAULTY_MS + HEALED_MS / 2 {
                proposed = Some(self.model.len());
                self.propose().map_err(Violation::Safety)?;
            }
        }
        self.check_agreement(proposed).map_err(Violation::Stuck)
    }

    fn check_agreement(&self, proposed: Option<u64>) -> Result<(), String> {
        let [leader] = self.leaders()[..] else {
            return Err(format!("{} leaders without faults", self.leaders().len()));
        };
        if proposed.is_none_or(|it| self.model.len() <= it) {
            return Err("no entry was committed without faults".into());
        }
        let core = self.nodes[&leader].core.as_ref().expect("leader runs");
        for id in core.membership().members.keys() {
            let applied = self.nodes[id].machine.0;
            if applied != self.model.len() {
                return Err(format!("{id} applied {applied} of {}", self.model.len()));
            }
        }
        Ok(())
    }

    fn ids(&self) -> impl Iterator<Item = MemberId> + use<> {
        (1..=HOSTS).map(MemberId::from)
    }
}

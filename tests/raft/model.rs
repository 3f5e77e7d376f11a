//! The naive version: one copy of the committed log, and the rules that every step must keep.

use std::collections::BTreeMap;

use gentianpass::raft::{Entry, Index, MemberId, Payload, Snapshot, Term};

/// What the state machine holds: the last index and a hash over all payloads.
pub type Machine = (Index, u64);

/// A snapshot that takes several messages.
pub fn encode(machine: Machine) -> Vec<u8> {
    const PADDING_BYTES: usize = 500;
    let padding = vec![machine.1 as u8; PADDING_BYTES];
    bincode::serialize(&(machine, padding)).expect("serializable")
}

/// What a snapshot holds, if all its parts belong together.
pub fn decode(data: &[u8]) -> Result<Machine, String> {
    let (machine, _): (Machine, Vec<u8>) =
        bincode::deserialize(data).map_err(|it| it.to_string())?;
    if encode(machine) == data { Ok(machine) } else { Err("parts of different snapshots".into()) }
}

/// One copy of the committed log, and everything seen so far that must stay true.
#[derive(Default)]
pub struct Model {
    committed: Vec<(Term, Payload)>,
    hashes: Vec<u64>,
    /// The term of the member that committed each entry first.
    commit_terms: Vec<Term>,
    leaders: BTreeMap<Term, MemberId>,
    written: BTreeMap<(Index, Term), (Payload, Term)>,
    reads: BTreeMap<u64, Index>,
    /// How many reads were confirmed.
    pub confirmed: usize,
    /// How many snapshots of leaders were installed.
    pub installed: usize,
}

impl Model {
    /// How many entries are committed.
    pub fn len(&self) -> Index {
        self.committed.len() as Index
    }

    /// How many terms had a leader.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// Election safety: one leader for each term.
    pub fn lead(&mut self, term: Term, id: MemberId) -> Result<bool, String> {
        match self.leaders.insert(term, id) {
            Some(old) if old != id => Err(format!("{old} and {id} both lead term {term}")),
            known => Ok(known.is_none()),
        }
    }

    /// Leader completeness: a new leader has every entry that was committed in earlier terms. A leader may learn of
    /// its election late, when a newer one has committed more.
    pub fn check_complete(
        &self,
        leader: Term,
        entries: &[Entry],
        snapshot: Index,
    ) -> Result<(), String> {
        let terms: BTreeMap<_, _> = entries.iter().map(|it| (it.index, it.term)).collect();
        for (i, (term, _)) in self.committed.iter().enumerate() {
            let index = i as Index + 1;
            let earlier = self.commit_terms[i] < leader;
            if earlier && index > snapshot && terms.get(&index) != Some(term) {
                return Err(format!("a new leader lacks the committed entry {index}@{term}"));
            }
        }
        Ok(())
    }

    /// Log matching: an index and a term always mean the same entry after the same predecessor.
    pub fn write(&mut self, entry: &Entry, prev_term: Term) -> Result<(), String> {
        let key = (entry.index, entry.term);
        let value = (entry.payload.clone(), prev_term);
        let known = self.written.entry(key).or_insert_with(|| value.clone());
        if *known == value { Ok(()) } else { Err(format!("two different entries {key:?}")) }
    }

    /// No committed entry is lost or changed.
    pub fn apply(
        &mut self,
        term: Term,
        machine: &mut Machine,
        entry: &Entry,
    ) -> Result<(), String> {
        if entry.index != machine.0 + 1 {
            return Err(format!("applied {} after {}", entry.index, machine.0));
        }
        let value = (entry.term, entry.payload.clone());
        match self.committed.get(entry.index as usize - 1) {
            Some(known) if *known != value => {
                return Err(format!("{known:?} was committed, now {value:?} at {}", entry.index));
            }
            Some(_) => {}
            None => self.push(term, value),
        }
        *machine = (entry.index, self.hashes[entry.index as usize - 1]);
        Ok(())
    }

    /// A snapshot holds exactly the committed entries up to its index.
    pub fn restore(&mut self, machine: &mut Machine, snapshot: &Snapshot) -> Result<(), String> {
        let found = decode(&snapshot.data)?;
        let hash = self.hashes.get(snapshot.index as usize - 1);
        if found.0 != snapshot.index || hash != Some(&found.1) {
            return Err(format!("the snapshot at {} differs from the log", snapshot.index));
        }
        *machine = found;
        self.installed += 1;
        Ok(())
    }

    /// Notes what is committed when a read starts.
    pub fn start_read(&mut self, token: u64) {
        self.reads.insert(token, self.len());
    }

    /// Reads are never stale: a read shows what was committed when it started.
    pub fn end_read(&mut self, token: u64, index: Option<Index>) -> Result<(), String> {
        let Some(floor) = self.reads.remove(&token) else {
            return Err(format!("the read {token} was answered twice"));
        };
        self.confirmed += usize::from(index.is_some());
        match index {
            Some(index) if index < floor => {
                Err(format!("a read returned {index} after {floor} was committed"))
            }
            _ => Ok(()),
        }
    }

    fn push(&mut self, commit_term: Term, value: (Term, Payload)) {
        self.commit_terms.push(commit_term);
        let last = self.hashes.last().copied().unwrap_or_default();
        let bytes = bincode::serialize(&(last, &value)).expect("serializable");
        self.hashes.push(xxhash_rust::xxh3::xxh3_64(&bytes));
        self.committed.push(value);
    }
}

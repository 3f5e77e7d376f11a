//! Reference model: a single copy of the committed log, and the safety properties that every step must preserve.

use std::collections::BTreeMap;

use gentianpass::raft::{Entry, Index, MemberId, Payload, Snapshot, Term};

/// State of the simulated state machine: the last applied index, and a hash over all entries up to it.
pub type Machine = (Index, u64);

/// Encodes a snapshot, padded so that it takes several messages.
pub fn encode(machine: Machine) -> Vec<u8> {
    const PADDING_BYTES: usize = 500;
    let padding = vec![machine.1 as u8; PADDING_BYTES];
    bincode::serialize(&(machine, padding)).expect("serializable")
}

/// Decodes a snapshot. Fails if it is assembled from parts of different snapshots.
pub fn decode(data: &[u8]) -> Result<Machine, String> {
    let (machine, _): (Machine, Vec<u8>) =
        bincode::deserialize(data).map_err(|it| it.to_string())?;
    if encode(machine) == data { Ok(machine) } else { Err("parts of different snapshots".into()) }
}

/// The committed log, and the facts observed so far that later steps must not contradict.
#[derive(Default)]
pub struct Model {
    committed: Vec<(Term, Payload)>,
    /// The hash of the state machine after each committed entry.
    hashes: Vec<u64>,
    /// For each committed entry, the term of the member that applied it first.
    commit_terms: Vec<Term>,
    leaders: BTreeMap<Term, MemberId>,
    /// The payload of every entry ever saved, and the term of its predecessor.
    written: BTreeMap<(Index, Term), (Payload, Term)>,
    /// Number of entries that were committed when each pending read started.
    reads: BTreeMap<u64, Index>,
    /// Number of reads that were confirmed.
    pub confirmed_reads: usize,
    /// Number of leaders' snapshots that followers installed.
    pub installed_snapshots: usize,
}

impl Model {
    /// Number of committed entries.
    pub fn len(&self) -> Index {
        self.committed.len() as Index
    }

    /// Number of terms that had a leader.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// Election safety: a term has at most one leader. Returns whether this leader of the term is new.
    pub fn record_leader(&mut self, term: Term, id: MemberId) -> Result<bool, String> {
        match self.leaders.insert(term, id) {
            Some(old) if old != id => Err(format!("{old} and {id} both lead term {term}")),
            known => Ok(known.is_none()),
        }
    }

    /// Leader completeness: a new leader has every entry that was committed in earlier terms. Entries of later terms
    /// are not required, because a member may learn of its election after a newer leader has committed more.
    pub fn check_leader_completeness(
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
                return Err(format!("a new leader lacks committed entry {index}, term {term}"));
            }
        }
        Ok(())
    }

    /// Log matching: entries with the same index and term have the same payload and predecessor on all members.
    pub fn record_write(&mut self, entry: &Entry, prev_term: Term) -> Result<(), String> {
        let key = (entry.index, entry.term);
        let value = (entry.payload.clone(), prev_term);
        let known = self.written.entry(key).or_insert_with(|| value.clone());
        if *known == value {
            Ok(())
        } else {
            Err(format!("two different entries have the index and term {key:?}"))
        }
    }

    /// State machine safety: all members apply the same entries in the same order, without gaps.
    pub fn apply(
        &mut self,
        term: Term,
        machine: &mut Machine,
        entry: &Entry,
    ) -> Result<(), String> {
        if entry.index != machine.0 + 1 {
            return Err(format!(
                "entry {} was applied directly after entry {}",
                entry.index, machine.0
            ));
        }
        let value = (entry.term, entry.payload.clone());
        match self.committed.get(entry.index as usize - 1) {
            Some(known) if *known != value => {
                return Err(format!(
                    "{known:?} was committed, but {value:?} was applied at index {}",
                    entry.index
                ));
            }
            Some(_) => {}
            None => self.push(term, value),
        }
        *machine = (entry.index, self.hashes[entry.index as usize - 1]);
        Ok(())
    }

    /// A snapshot contains exactly the committed entries up to its index.
    pub fn restore(&mut self, machine: &mut Machine, snapshot: &Snapshot) -> Result<(), String> {
        let found = decode(&snapshot.data)?;
        let hash = self.hashes.get(snapshot.index as usize - 1);
        if found.0 != snapshot.index || hash != Some(&found.1) {
            return Err(format!("the snapshot at {} differs from the log", snapshot.index));
        }
        *machine = found;
        self.installed_snapshots += 1;
        Ok(())
    }

    /// Records how many entries are committed when a read starts.
    pub fn start_read(&mut self, token: u64) {
        self.reads.insert(token, self.len());
    }

    /// Linearizability: a confirmed read covers everything that was committed when it started.
    pub fn end_read(&mut self, token: u64, index: Option<Index>) -> Result<(), String> {
        let Some(floor) = self.reads.remove(&token) else {
            return Err(format!("read {token} was answered twice"));
        };
        self.confirmed_reads += usize::from(index.is_some());
        match index {
            Some(index) if index < floor => {
                Err(format!("read confirmed at index {index} after {floor} was committed"))
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

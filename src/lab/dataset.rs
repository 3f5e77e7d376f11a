//! The data set of the stand-in targets, generated from a seed, so that each process computes the same rows.
//!
//! Consecutive versions of an index differ in part: about one row in ten has a new text, about one in twenty is added
//! and one in twenty removed. An answer that mixes rows of two versions therefore matches neither version.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use parking_lot::Mutex;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{state::Holding, wire::caller::Row};

/// Each row gets a new text once in this many versions; which version that is depends on the row.
const VERSIONS_PER_TEXT: u64 = 10;

/// Each row is missing from one version in this many; which version that is depends on the row.
const VERSIONS_PER_ABSENCE: u64 = 20;

const FIRST_NAMES: [&str; 24] = [
    "Morag", "Ailsa", "Hamish", "Iona", "Fergus", "Catriona", "Euan", "Isla", "Lachlan", "Eilidh",
    "Rory", "Mairi", "Angus", "Kirsty", "Callum", "Fiona", "Aino", "Eero", "Helmi", "Onni",
    "Venla", "Toivo", "Siiri", "Väinö",
];

const LAST_NAMES: [&str; 32] = [
    "Sinclair",
    "Buchanan",
    "Drummond",
    "Fraser",
    "Galbraith",
    "Innes",
    "Keith",
    "Lamont",
    "Maitland",
    "Napier",
    "Ogilvie",
    "Pringle",
    "Ramsay",
    "Scrymgeour",
    "Tulloch",
    "Urquhart",
    "Virtanen",
    "Korhonen",
    "Mäkinen",
    "Nieminen",
    "Laine",
    "Heikkinen",
    "Koskinen",
    "Järvinen",
    "Lehtonen",
    "Saarinen",
    "Salminen",
    "Heinonen",
    "Niemi",
    "Kallio",
    "Hakala",
    "Ahonen",
];

const CUSTOMERS: [&str; 8] = [
    "Abertay Primary",
    "Broughty Library",
    "Camperdown Works",
    "Dens Road Surgery",
    "Eastgate School",
    "Fintry Nursery",
    "Glenisla House",
    "Harbour Office",
];

const VENUES: [&str; 8] = [
    "Hatanpaa Manor",
    "Kaisaniemi Hall",
    "Lepaa Chapel",
    "Meri Hotel",
    "Nallikari Pavilion",
    "Oulu Cathedral",
    "Pyynikki Tower",
    "Suomenlinna Church",
];

/// What the rows of an index describe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Labels of pigeonholes: name, rack, slot, customer.
    Labels,
    /// Proofs of wedding albums: couple, date, venue.
    Proofs,
}

impl Content {
    /// The content of an index: proofs if its name starts with `proof`, otherwise labels.
    pub fn of(index: &str) -> Self {
        if index.starts_with("proof") { Self::Proofs } else { Self::Labels }
    }
}

/// The parameters from which all rows are generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dataset {
    /// The seed of the generator.
    pub seed: u64,
    /// The approximate number of rows in each version.
    pub rows: u64,
}

impl Dataset {
    /// All rows of a version, sorted by id.
    pub fn version(&self, index: &str, version: u64) -> impl Iterator<Item = Row> {
        let index_seed = xxh3_64_with_seed(index.as_bytes(), self.seed);
        let content = Content::of(index);
        let ids = self.rows + self.rows / (VERSIONS_PER_ABSENCE - 1);
        (0..ids).filter_map(move |id| {
            let hash = row_hash(index_seed, id, 0);
            if (version + hash).is_multiple_of(VERSIONS_PER_ABSENCE) {
                return None;
            }
            let text_version =
                (version + hash / VERSIONS_PER_ABSENCE % VERSIONS_PER_TEXT) / VERSIONS_PER_TEXT;
            Some(Row { id, text: row_text(content, index_seed, id, text_version) })
        })
    }

    /// A query text that matches a few rows, namely a full name. `number` selects which.
    pub fn narrow_text(&self, index: &str, number: u64) -> String {
        let index_seed = xxh3_64_with_seed(index.as_bytes(), self.seed);
        let hash = row_hash(index_seed, number % self.rows, 1);
        format!("{} {}", choose(&FIRST_NAMES, hash), choose(&LAST_NAMES, hash >> 16))
    }

    /// A query text that matches many rows, namely a customer or a year and venue. `number` selects which.
    pub fn broad_text(&self, index: &str, number: u64) -> String {
        match Content::of(index) {
            Content::Labels => choose(&CUSTOMERS, number).to_owned(),
            Content::Proofs => format!("2026 {}", choose(&VENUES, number)),
        }
    }
}

/// The shard of a row, by the hash of its id.
pub fn shard_of(id: u64, shards: u32) -> u32 {
    (xxh3_64(&id.to_le_bytes()) % u64::from(shards)) as u32
}

/// The words of a text, in lower case: its runs of letters and digits.
pub fn words(text: &str) -> impl Iterator<Item = String> {
    text.split(|c: char| !c.is_alphanumeric()).filter(|it| !it.is_empty()).map(str::to_lowercase)
}

/// Generates the text of a row. The names and the customer or venue are the same for all values of `text_version`, so
/// that a changed row still matches the same query; only rack, slot and date change.
fn row_text(content: Content, index_seed: u64, id: u64, text_version: u64) -> String {
    let hash = row_hash(index_seed, id, 1);
    let version_hash = row_hash(index_seed, id, text_version + 2);
    let first = choose(&FIRST_NAMES, hash);
    let last = choose(&LAST_NAMES, hash >> 16);
    match content {
        Content::Labels => {
            let rack = version_hash % 90 + 1;
            let slot = (version_hash >> 16) % 400 + 1;
            format!(
                "{first} {last} | rack R{rack} | slot {slot} | {}",
                choose(&CUSTOMERS, hash >> 32)
            )
        }
        Content::Proofs => {
            let other = choose(&FIRST_NAMES, hash >> 32);
            let (month, day) = (version_hash % 12 + 1, (version_hash >> 16) % 28 + 1);
            let venue = choose(&VENUES, hash >> 48);
            format!("{first} {last} and {other} | 2026-{month:02}-{day:02} | {venue}")
        }
    }
}

fn row_hash(seed: u64, id: u64, salt: u64) -> u64 {
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&id.to_le_bytes());
    buf[8..].copy_from_slice(&salt.to_le_bytes());
    xxh3_64_with_seed(&buf, seed)
}

fn choose<'a>(items: &[&'a str], hash: u64) -> &'a str {
    items[(hash % items.len() as u64) as usize]
}

/// The rows of one shard with an inverted index: for each word, the positions of the rows that contain it, ascending.
#[derive(Debug, Default)]
pub struct Shard {
    rows: Vec<Row>,
    words: HashMap<String, Vec<u32>>,
}

impl Shard {
    /// Builds the inverted index of these rows.
    pub fn new(rows: Vec<Row>) -> Self {
        let mut index: HashMap<String, Vec<u32>> = HashMap::new();
        for (i, row) in rows.iter().enumerate() {
            for word in words(&row.text).collect::<BTreeSet<_>>() {
                index.entry(word).or_default().push(i as u32);
            }
        }
        Self { rows, words: index }
    }

    /// The rows that contain all words of the text, sorted by id; all rows if the text has no words.
    pub fn search(&self, text: &str) -> Vec<Row> {
        let mut lists = Vec::new();
        for word in words(text) {
            let Some(list) = self.words.get(&word) else { return Vec::new() };
            lists.push(list.as_slice());
        }
        lists.sort_by_key(|it| it.len());
        let Some((shortest, others)) = lists.split_first() else { return self.rows.clone() };
        shortest
            .iter()
            .filter(|i| others.iter().all(|it| it.binary_search(i).is_ok()))
            .map(|&i| self.rows[i as usize].clone())
            .collect()
    }
}

/// Cache of generated shards, shared by all targets of a process. It generates all shards of an index version at
/// once.
pub struct ShardCache {
    dataset: Dataset,
    versions: Mutex<HashMap<CacheKey, Arc<Vec<Arc<Shard>>>>>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct CacheKey {
    index: String,
    version: u64,
    shards: u32,
}

impl ShardCache {
    /// Makes an empty cache.
    pub fn new(dataset: Dataset) -> Self {
        Self { dataset, versions: Mutex::default() }
    }

    /// The shard that a holding describes, or none if its number is out of range.
    pub fn shard(&self, holding: &Holding) -> Option<Arc<Shard>> {
        let key = CacheKey {
            index: holding.index.clone(),
            version: holding.version,
            shards: holding.shards,
        };
        let mut versions = self.versions.lock();
        let shards = versions.entry(key).or_insert_with(|| Arc::new(self.generate(holding)));
        shards.get(holding.shard as usize).cloned()
    }

    fn generate(&self, holding: &Holding) -> Vec<Arc<Shard>> {
        let mut rows = vec![Vec::new(); holding.shards as usize];
        for row in self.dataset.version(&holding.index, holding.version) {
            rows[shard_of(row.id, holding.shards) as usize].push(row);
        }
        rows.into_iter().map(|it| Arc::new(Shard::new(it))).collect()
    }
}

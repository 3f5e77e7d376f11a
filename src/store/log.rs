//! The durable log. Everything is synced before a call returns.

use std::{
    fs::File,
    io::{Seek, SeekFrom, Write},
    path::Path,
};

use rand::random;
use serde::{Deserialize, Serialize};

use crate::{
    raft::{Entry, HardState, MemberId, Recovered, Save, Snapshot},
    store::{
        Error, Result,
        folder::{Folder, RESERVE_BYTES, failed},
        frame::{self, Found},
    },
};

/// How much a log may grow on a full disk: half of the reserve, so that votes still find space.
const MAX_GROWTH_BYTES: u64 = RESERVE_BYTES as u64 / 2;

/// One thing that was saved.
#[derive(Serialize, Deserialize)]
enum Record {
    Hard(HardState),
    /// Replaces everything from its index on.
    Entry(Entry),
}

/// What was found in the data folder.
pub struct Opened {
    /// The identity of the member.
    pub id: MemberId,
    /// The state of the member.
    pub recovered: Recovered,
    /// How many bytes of an interrupted write were dropped.
    pub torn_bytes: u64,
}

/// The durable log of one member.
pub struct Log {
    folder: Folder,
    file: File,
    bytes: u64,
    hard: HardState,
    /// The length of the log when the disk was found full.
    full: Option<u64>,
}

impl Log {
    /// Opens a data folder. An empty folder gets a new identity.
    pub fn open(path: &Path) -> Result<(Self, Opened)> {
        let folder = Folder::open(path)?;
        let id = match read_one::<MemberId>(&folder, "identity")? {
            Some(id) => id,
            None => create(&folder)?,
        };
        let snapshot: Option<Snapshot> = read_one(&folder, "snapshot")?;
        let Some(bytes) = folder.read("log")? else {
            return Err(corrupt(&folder, "log", 0, "the file is missing"));
        };
        let (hard, entries, end) = replay(&folder, &bytes)?;
        let torn_bytes = (bytes.len() - end) as u64;
        let file = open_at(&folder, end as u64)?;
        let mut log = Self { folder, file, bytes: end as u64, hard, full: None };
        log.check_disk_space()?;
        let mut recovered = Recovered { hard, snapshot, entries };
        if recovered.discard_stale_entries() {
            log.rewrite(Vec::new())?;
        }
        Ok((log, Opened { id, recovered, torn_bytes }))
    }

    /// Makes hard state and entries durable with one sync.
    pub fn save(&mut self, save: Save) -> Result<()> {
        self.hard = save.hard.unwrap_or(self.hard);
        let hard = save.hard.map(Record::Hard);
        let records: Vec<_> =
            hard.into_iter().chain(save.entries.into_iter().map(Record::Entry)).collect();
        let frame = frame::encode(&records);
        match self.append(&frame) {
            Err(Error::DiskFull { .. }) if self.full.is_none() => {
                self.full = Some(self.bytes);
                self.folder.release();
                self.append(&frame)
            }
            result => result,
        }
    }

    /// Makes a snapshot durable, then replaces the log by these entries.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, entries: Vec<Entry>) -> Result<()> {
        self.folder.replace("snapshot", &frame::encode(snapshot))?;
        self.rewrite(entries)
    }

    fn rewrite(&mut self, entries: Vec<Entry>) -> Result<()> {
        let records: Vec<_> = std::iter::once(Record::Hard(self.hard))
            .chain(entries.into_iter().map(Record::Entry))
            .collect();
        let frame = frame::encode(&records);
        self.folder.replace("log", &frame)?;
        self.bytes = frame.len() as u64;
        self.file = open_at(&self.folder, self.bytes)?;
        Ok(())
    }

    /// The length of the log file, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether the disk was full at the last look. New changes are rejected then.
    pub fn is_disk_full(&self) -> bool {
        self.full.is_some()
    }

    /// Whether the disk is full and what was kept for that case is nearly used up, so that only votes may be saved.
    pub fn is_reserve_exhausted(&self) -> bool {
        self.full.is_some_and(|it| self.bytes > it + MAX_GROWTH_BYTES)
    }

    /// Looks whether the disk has space again.
    pub fn check_disk_space(&mut self) -> Result<()> {
        let full = !self.folder.reserve()?;
        self.full = full.then(|| self.full.unwrap_or(self.bytes));
        Ok(())
    }

    fn append(&mut self, frame: &[u8]) -> Result<()> {
        let path = self.folder.file("log");
        if let Err(err) = self.file.write_all(frame) {
            self.file = open_at(&self.folder, self.bytes)?;
            return Err(failed(&path, err));
        }
        self.file.sync_data().map_err(|err| Error::Io { file: path, source: err })?;
        self.bytes += frame.len() as u64;
        Ok(())
    }
}

/// The log is written before the identity, so that an identity without a log is always damage.
fn create(folder: &Folder) -> Result<MemberId> {
    let used = folder.read("snapshot")?.is_some()
        || folder.read("log")?.is_some_and(|it| it != first_frame());
    if used {
        return Err(corrupt(folder, "identity", 0, "the file is missing"));
    }
    let id: MemberId = random();
    folder.replace("log", &first_frame())?;
    folder.replace("identity", &frame::encode(&id))?;
    Ok(id)
}

fn first_frame() -> Vec<u8> {
    frame::encode(&vec![Record::Hard(HardState::default())])
}

/// Reads a file that holds exactly one frame. Such files are replaced as a whole, so they are never torn.
fn read_one<T: for<'de> Deserialize<'de>>(folder: &Folder, name: &str) -> Result<Option<T>> {
    let Some(bytes) = folder.read(name)? else { return Ok(None) };
    match frame::decode(&folder.file(name), &bytes, 0)? {
        Found::Frame(value, end) if end == bytes.len() => Ok(Some(value)),
        Found::Frame(_, end) => Err(corrupt(folder, name, end, "bytes after the end")),
        Found::Torn => Err(corrupt(folder, name, bytes.len(), "the file is too short")),
    }
}

/// Reads the log up to an interrupted write.
fn replay(folder: &Folder, bytes: &[u8]) -> Result<(HardState, Vec<Entry>, usize)> {
    let path = folder.file("log");
    let mut hard = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    let mut end = 0;
    while end < bytes.len() {
        let Found::Frame(records, next) = frame::decode::<Vec<Record>>(&path, bytes, end)? else {
            break;
        };
        for record in records {
            match record {
                Record::Hard(it) => hard = it,
                Record::Entry(it) => push(&mut entries, it)
                    .map_err(|index| corrupt(folder, "log", end, &format!("gap before {index}")))?,
            }
        }
        end = next;
    }
    if end == 0 {
        return Err(corrupt(folder, "log", 0, "the first record is missing"));
    }
    Ok((hard, entries, end))
}

fn push(entries: &mut Vec<Entry>, entry: Entry) -> Result<(), u64> {
    if let Some(first) = entries.first().map(|it| it.index) {
        match entry.index.checked_sub(first) {
            Some(kept) if kept <= entries.len() as u64 => entries.truncate(kept as usize),
            _ => return Err(entry.index),
        }
    }
    entries.push(entry);
    Ok(())
}

/// Opens the log for writing and drops everything from `end` on.
fn open_at(folder: &Folder, end: u64) -> Result<File> {
    let path = folder.file("log");
    let opened = File::options().write(true).open(&path).and_then(|mut it| {
        it.set_len(end)?;
        it.seek(SeekFrom::Start(end))?;
        it.sync_all()?;
        Ok(it)
    });
    opened.map_err(|it| failed(&path, it))
}

fn corrupt(folder: &Folder, name: &str, offset: usize, what: &str) -> Error {
    Error::Corrupt { file: folder.file(name), offset: offset as u64, what: what.to_owned() }
}

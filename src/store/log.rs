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
        data_dir::{DataDir, RESERVE_BYTES, io_error},
        frame::{self, Decoded},
    },
};

/// How much a log may grow on a full disk: half of the reserve, so that votes still find space.
const MAX_GROWTH_WHEN_FULL_BYTES: u64 = RESERVE_BYTES as u64 / 2;

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
    dir: DataDir,
    file: File,
    size_bytes: u64,
    hard: HardState,
    /// The length of the log when the disk was found full.
    full_at_bytes: Option<u64>,
}

impl Log {
    /// Opens a data folder. An empty folder gets a new identity.
    pub fn open(path: &Path) -> Result<(Self, Opened)> {
        let dir = DataDir::open(path)?;
        let id = match read_single_frame::<MemberId>(&dir, "identity")? {
            Some(id) => id,
            None => create_identity(&dir)?,
        };
        let snapshot: Option<Snapshot> = read_single_frame(&dir, "snapshot")?;
        let Some(bytes) = dir.read("log")? else {
            return Err(corrupt(&dir, "log", 0, "the file is missing"));
        };
        let (hard, entries, end) = replay(&dir, &bytes)?;
        let torn_bytes = (bytes.len() - end) as u64;
        let file = open_truncated(&dir, end as u64)?;
        let mut log = Self { dir, file, size_bytes: end as u64, hard, full_at_bytes: None };
        log.check_disk_space()?;
        let mut recovered = Recovered { hard, snapshot, entries };
        if recovered.discard_stale_entries() {
            log.replace_log(Vec::new())?;
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
            Err(Error::DiskFull { .. }) if self.full_at_bytes.is_none() => {
                self.full_at_bytes = Some(self.size_bytes);
                self.dir.release_space();
                self.append(&frame)
            }
            result => result,
        }
    }

    /// Makes a snapshot durable, then replaces the log by these entries.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, entries: Vec<Entry>) -> Result<()> {
        self.dir.replace("snapshot", &frame::encode(snapshot))?;
        self.replace_log(entries)
    }

    fn replace_log(&mut self, entries: Vec<Entry>) -> Result<()> {
        let records: Vec<_> = std::iter::once(Record::Hard(self.hard))
            .chain(entries.into_iter().map(Record::Entry))
            .collect();
        let frame = frame::encode(&records);
        self.dir.replace("log", &frame)?;
        self.size_bytes = frame.len() as u64;
        self.file = open_truncated(&self.dir, self.size_bytes)?;
        Ok(())
    }

    /// The length of the log file, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Whether the disk was full at the last look. New changes are rejected then.
    pub fn is_disk_full(&self) -> bool {
        self.full_at_bytes.is_some()
    }

    /// Whether the disk is full and what was kept for that case is nearly used up, so that only votes may be saved.
    pub fn is_reserve_exhausted(&self) -> bool {
        self.full_at_bytes.is_some_and(|it| self.size_bytes > it + MAX_GROWTH_WHEN_FULL_BYTES)
    }

    /// Looks whether the disk has space again.
    pub fn check_disk_space(&mut self) -> Result<()> {
        let full = !self.dir.reserve_space()?;
        self.full_at_bytes = full.then(|| self.full_at_bytes.unwrap_or(self.size_bytes));
        Ok(())
    }

    fn append(&mut self, frame: &[u8]) -> Result<()> {
        let path = self.dir.file("log");
        if let Err(err) = self.file.write_all(frame) {
            self.file = open_truncated(&self.dir, self.size_bytes)?;
            return Err(io_error(&path, err));
        }
        self.file.sync_data().map_err(|err| Error::Io { file: path, source: err })?;
        self.size_bytes += frame.len() as u64;
        Ok(())
    }
}

/// The log is written before the identity, so that an identity without a log is always damage.
fn create_identity(dir: &DataDir) -> Result<MemberId> {
    let used =
        dir.read("snapshot")?.is_some() || dir.read("log")?.is_some_and(|it| it != initial_log());
    if used {
        return Err(corrupt(dir, "identity", 0, "the file is missing"));
    }
    let id: MemberId = random();
    dir.replace("log", &initial_log())?;
    dir.replace("identity", &frame::encode(&id))?;
    Ok(id)
}

fn initial_log() -> Vec<u8> {
    frame::encode(&vec![Record::Hard(HardState::default())])
}

/// Reads a file that holds exactly one frame. Such files are replaced as a whole, so they are never torn.
fn read_single_frame<T: for<'de> Deserialize<'de>>(dir: &DataDir, name: &str) -> Result<Option<T>> {
    let Some(bytes) = dir.read(name)? else { return Ok(None) };
    match frame::decode(&dir.file(name), &bytes, 0)? {
        Decoded::Frame(value, end) if end == bytes.len() => Ok(Some(value)),
        Decoded::Frame(_, end) => Err(corrupt(dir, name, end, "bytes after the end")),
        Decoded::Torn => Err(corrupt(dir, name, bytes.len(), "the file is too short")),
    }
}

/// Reads the log up to an interrupted write.
fn replay(dir: &DataDir, bytes: &[u8]) -> Result<(HardState, Vec<Entry>, usize)> {
    let path = dir.file("log");
    let mut hard = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    let mut end = 0;
    while end < bytes.len() {
        let Decoded::Frame(records, next) = frame::decode::<Vec<Record>>(&path, bytes, end)? else {
            break;
        };
        for record in records {
            match record {
                Record::Hard(it) => hard = it,
                Record::Entry(it) => replay_entry(&mut entries, it)
                    .map_err(|index| corrupt(dir, "log", end, &format!("gap before {index}")))?,
            }
        }
        end = next;
    }
    if end == 0 {
        return Err(corrupt(dir, "log", 0, "the first record is missing"));
    }
    Ok((hard, entries, end))
}

fn replay_entry(entries: &mut Vec<Entry>, entry: Entry) -> Result<(), u64> {
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
fn open_truncated(dir: &DataDir, end: u64) -> Result<File> {
    let path = dir.file("log");
    let opened = File::options().write(true).open(&path).and_then(|mut it| {
        it.set_len(end)?;
        it.seek(SeekFrom::Start(end))?;
        it.sync_all()?;
        Ok(it)
    });
    opened.map_err(|it| io_error(&path, it))
}

fn corrupt(dir: &DataDir, name: &str, offset: usize, detail: &str) -> Error {
    Error::Corrupt { file: dir.file(name), offset: offset as u64, detail: detail.to_owned() }
}

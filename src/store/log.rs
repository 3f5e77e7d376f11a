//! The durable log of one member. Every write is synced before the call returns.

use std::{
    fs::File,
    io::{self, Seek, SeekFrom, Write},
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

/// How much the log may grow after the disk was found full: half of the reserve. The other half remains for votes.
const MAX_GROWTH_WHEN_FULL_BYTES: u64 = RESERVE_BYTES as u64 / 2;

/// A record of the log file. A frame holds the records of one save.
#[derive(Serialize, Deserialize)]
enum Record {
    /// Replaces the previous hard state.
    Hard(HardState),
    /// Replaces all entries from its index on.
    Entry(Entry),
}

/// Contents of an opened data directory.
pub struct Opened {
    /// Identity of the member.
    pub id: MemberId,
    /// Hard state, snapshot and entries of the member.
    pub recovered: Recovered,
    /// Length of the incomplete frame that was cut off the end of the log, in bytes.
    pub torn_bytes: u64,
}

/// The durable log of one member, open for appending.
pub struct Log {
    dir: DataDir,
    file: File,
    /// Length of the synced part of the log file.
    size_bytes: u64,
    /// The last saved hard state, which is repeated when the log is replaced.
    hard: HardState,
    /// Length of the log file when the disk was found full; none if it is not full.
    full_at_bytes: Option<u64>,
}

impl Log {
    /// Opens a data directory, recovers its state and cuts a torn frame off the end of the log. An empty directory gets
    /// a new identity.
    pub fn open(path: &Path) -> Result<(Self, Opened)> {
        let dir = DataDir::open(path)?;
        let id = match read_single_frame::<MemberId>(&dir, "identity")? {
            Some(id) => id,
            None => create_identity(&dir)?,
        };
        let snapshot: Option<Snapshot> = read_single_frame(&dir, "snapshot")?;
        let Some(mut reader) = frame::Reader::open(dir.file("log"))? else {
            return Err(corrupt(&dir, "log", 0, "the file is missing"));
        };
        let (hard, entries) = replay(&mut reader)?;
        let (size_bytes, torn_bytes) = (reader.offset(), reader.len() - reader.offset());
        let file = open_truncated(&dir, size_bytes)?;
        let mut log = Self { dir, file, size_bytes, hard, full_at_bytes: None };
        log.check_disk_space()?;
        let mut recovered = Recovered { hard, snapshot, entries };
        if recovered.discard_stale_entries() {
            log.replace_log(Vec::new())?;
        }
        Ok((log, Opened { id, recovered, torn_bytes }))
    }

    /// Appends hard state and entries to the log as one frame and syncs it. If the disk is full, frees the reserved
    /// space and tries once more.
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

    /// Replaces the log file by the current hard state and these entries. After [`Error::DiskFull`] the old file is
    /// still in use.
    fn replace_log(&mut self, entries: Vec<Entry>) -> Result<()> {
        let records: Vec<_> = std::iter::once(Record::Hard(self.hard))
            .chain(entries.into_iter().map(Record::Entry))
            .collect();
        let frame = frame::encode(&records);
        self.dir.replace("log", &frame)?;
        self.size_bytes = frame.len() as u64;
        let path = self.dir.file("log");
        self.file = open_at_end(&path, self.size_bytes)
            .map_err(|source| Error::Io { file: path, source })?;
        Ok(())
    }

    /// Length of the log file, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// Whether the disk was full at the last write or check. The caller must then reject new changes.
    pub fn is_disk_full(&self) -> bool {
        self.full_at_bytes.is_some()
    }

    /// Whether the disk is full and the log has grown by half of the reserved space since. The caller may then save
    /// only votes and terms, but no entries.
    pub fn is_reserve_exhausted(&self) -> bool {
        self.full_at_bytes.is_some_and(|it| self.size_bytes > it + MAX_GROWTH_WHEN_FULL_BYTES)
    }

    /// Checks whether the disk has space again, by restoring the reserve file to its full size.
    pub fn check_disk_space(&mut self) -> Result<()> {
        let full = !self.dir.reserve_space()?;
        self.full_at_bytes = full.then(|| self.full_at_bytes.unwrap_or(self.size_bytes));
        Ok(())
    }

    /// Appends a frame and syncs it. After a failed write the partial frame is cut off.
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

/// Initializes an empty data directory. The log is written before the identity, so that an identity without a log
/// always means damage.
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

/// Contents of a new log: one frame with the default hard state.
fn initial_log() -> Vec<u8> {
    frame::encode(&vec![Record::Hard(HardState::default())])
}

/// Reads a file that holds exactly one frame. Such files are replaced atomically, so a torn frame means damage.
fn read_single_frame<T: for<'de> Deserialize<'de>>(dir: &DataDir, name: &str) -> Result<Option<T>> {
    let Some(mut reader) = frame::Reader::open(dir.file(name))? else { return Ok(None) };
    match reader.read()? {
        Decoded::Frame(value) if reader.is_at_end() => Ok(Some(value)),
        Decoded::Frame(_) => Err(reader.corrupt("unexpected bytes after the frame")),
        Decoded::Torn => Err(corrupt(dir, name, reader.len(), "the file is truncated")),
    }
}

/// Replays the records of the log up to its end or a torn frame. Returns hard state and entries.
fn replay(reader: &mut frame::Reader) -> Result<(HardState, Vec<Entry>)> {
    let mut hard = HardState::default();
    let mut entries: Vec<Entry> = Vec::new();
    while !reader.is_at_end() {
        let offset = reader.offset();
        let Decoded::Frame(records) = reader.read::<Vec<Record>>()? else { break };
        for record in records {
            match record {
                Record::Hard(it) => hard = it,
                Record::Entry(it) => replay_entry(&mut entries, it)
                    .map_err(|at| reader.corrupt_at(offset, &format!("gap before entry {at}")))?,
            }
        }
    }
    if reader.offset() == 0 {
        return Err(reader.corrupt("the first frame is missing or incomplete"));
    }
    Ok((hard, entries))
}

/// Adds an entry after those that precede it and drops all others. Returns its index as error if there is a gap before
/// it.
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

/// Opens the log for appending and truncates it to `end`.
fn open_truncated(dir: &DataDir, end: u64) -> Result<File> {
    let path = dir.file("log");
    open_at_end(&path, end).map_err(|it| io_error(&path, it))
}

fn open_at_end(path: &Path, end: u64) -> io::Result<File> {
    let mut file = File::options().write(true).open(path)?;
    file.set_len(end)?;
    file.seek(SeekFrom::Start(end))?;
    file.sync_all()?;
    Ok(file)
}

fn corrupt(dir: &DataDir, name: &str, offset: u64, detail: &str) -> Error {
    Error::Corrupt { file: dir.file(name), offset, detail: detail.to_owned() }
}

//! The durable log: incomplete writes are dropped, damage is reported, and compaction bounds the log.

use std::{
    fs,
    path::{Path, PathBuf},
};

use gentianpass::{
    raft::{Entry, HardState, Membership, Payload, Save, Snapshot},
    store::{Error, Log, Opened},
};
use tempfile::TempDir;

struct DataDir {
    dir: TempDir,
}

impl DataDir {
    fn new() -> Self {
        Self { dir: TempDir::new().expect("temporary directory") }
    }

    fn path(&self) -> &Path {
        self.dir.path()
    }

    fn file(&self, name: &str) -> PathBuf {
        self.path().join(name)
    }

    fn open(&self) -> (Log, Opened) {
        Log::open(self.path()).expect("undamaged directory")
    }

    fn indices(&self) -> Vec<u64> {
        self.open().1.recovered.entries.iter().map(|it| it.index).collect()
    }

    /// Opens the directory, which must fail, and returns the offset at which damage of this file is reported.
    fn corrupt_offset(&self, name: &str) -> u64 {
        match Log::open(self.path()).map(|_| ()) {
            Err(Error::Corrupt { file, offset, .. }) if file == self.file(name) => offset,
            other => panic!("damage of {name} gave {other:?}"),
        }
    }

    fn edit(&self, name: &str, edit: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = fs::read(self.file(name)).expect("readable");
        edit(&mut bytes);
        fs::write(self.file(name), bytes).expect("writable");
    }
}

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: Payload::Data(vec![index as u8 | 1; 40].into()) }
}

fn save(log: &mut Log, indices: std::ops::RangeInclusive<u64>) {
    log.save(Save { hard: None, entries: indices.map(entry).collect() }).expect("saved");
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot { index, term: 1, membership: Membership::default(), data: vec![7; 100] }
}

/// Guards against loss of saved state in a restart, and against entries that a later save replaced.
#[test]
fn reopen_keeps_saved_state() {
    let dir = DataDir::new();
    let (mut log, opened) = dir.open();
    let hard = HardState { term: 3, vote: Some(9), cluster: Some(5) };
    log.save(Save { hard: Some(hard), entries: vec![entry(1), entry(2)] }).expect("saved");
    save(&mut log, 2..=4);
    drop(log);
    let again = dir.open().1;
    assert_eq!((again.id, again.recovered.hard), (opened.id, hard));
    assert_eq!(again.recovered.entries, (1..=4).map(entry).collect::<Vec<_>>());
}

/// Guards against a host that does not start after a crash in the middle of a write. The crash leaves a shorter log, or
/// one with unwritten sectors that read as zero.
#[test]
fn torn_tail_is_dropped() {
    let dir = DataDir::new();
    let (mut log, _) = dir.open();
    save(&mut log, 1..=2);
    let synced = log.size_bytes() as usize;
    save(&mut log, 3..=60);
    drop(log);
    let whole = fs::read(dir.file("log")).expect("readable");
    let mut unwritten_middle = whole.clone();
    let sector = synced.next_multiple_of(512) + 512;
    unwritten_middle[sector..sector + 512].fill(0);
    let mut unwritten_header = whole.clone();
    unwritten_header[synced..].fill(0);
    let cuts =
        [synced + 1, synced + 12, synced + 13, whole.len() - 1].map(|it| whole[..it].to_vec());
    for torn in cuts.into_iter().chain([unwritten_middle, unwritten_header]) {
        fs::write(dir.file("log"), &torn).expect("writable");
        let (mut log, opened) = dir.open();
        assert_eq!(opened.torn_bytes as usize, torn.len() - synced);
        assert_eq!(opened.recovered.entries.len(), 2);
        save(&mut log, 3..=3);
        drop(log);
        assert_eq!(dir.indices(), [1, 2, 3]);
    }
}

/// Guards against silent loss of synced state: a flipped bit anywhere in the log is reported with the file and the
/// offset of its frame.
#[test]
fn flipped_bit_is_reported() {
    let dir = DataDir::new();
    let (mut log, _) = dir.open();
    let mut frames = vec![0, log.size_bytes()];
    for index in 1..=3 {
        save(&mut log, index..=index);
        frames.push(log.size_bytes());
    }
    drop(log);
    let whole = fs::read(dir.file("log")).expect("readable");
    for at in 0..whole.len() {
        dir.edit("log", |it| it[at] ^= 0x10);
        let start = frames.iter().rfind(|it| **it <= at as u64).expect("first frame");
        assert_eq!(dir.corrupt_offset("log"), *start, "bit in byte {at}");
        fs::write(dir.file("log"), &whole).expect("writable");
    }
    assert_eq!(dir.indices(), [1, 2, 3]);
}

/// Guards against a host that starts with a truncated or damaged snapshot, without its log, or with a new identity on
/// an old log.
#[test]
fn incomplete_data_dir_is_reported() {
    let dir = DataDir::new();
    let (mut log, _) = dir.open();
    save(&mut log, 1..=5);
    log.save_snapshot(&snapshot(5), Vec::new()).expect("saved");
    drop(log);
    let whole = fs::read(dir.file("snapshot")).expect("readable");
    for length in [0, 5, 12, whole.len() - 1] {
        dir.edit("snapshot", |it| it.truncate(length));
        assert_eq!(dir.corrupt_offset("snapshot"), length as u64);
        fs::write(dir.file("snapshot"), &whole).expect("writable");
    }
    dir.edit("snapshot", |it| it[40] ^= 1);
    assert_eq!(dir.corrupt_offset("snapshot"), 0);
    fs::write(dir.file("snapshot"), &whole).expect("writable");
    let log = fs::read(dir.file("log")).expect("readable");
    dir.edit("log", Vec::clear);
    assert_eq!(dir.corrupt_offset("log"), 0);
    fs::remove_file(dir.file("log")).expect("removable");
    assert_eq!(dir.corrupt_offset("log"), 0);
    fs::write(dir.file("log"), log).expect("writable");
    fs::remove_file(dir.file("identity")).expect("removable");
    assert_eq!(dir.corrupt_offset("identity"), 0);
}

/// Guards against a log that grows without bound, which would make a restart after many changes slow.
#[test]
fn restart_reads_a_bounded_log() {
    let dir = DataDir::new();
    let (mut log, _) = dir.open();
    for index in 1..=1_000 {
        save(&mut log, index..=index);
        if index % 100 == 0 {
            let trailing = (index - 9..=index).map(entry).collect();
            log.save_snapshot(&snapshot(index), trailing).expect("saved");
        }
    }
    save(&mut log, 1_001..=1_003);
    drop(log);
    assert_eq!(dir.indices(), (991..=1_003).collect::<Vec<_>>());
    assert_eq!(dir.open().1.recovered.snapshot, Some(snapshot(1_000)));
}

/// Guards against entries that do not continue the snapshot. They remain when a crash interrupts the installation of a
/// leader's snapshot after the snapshot was written and before the log was replaced.
#[test]
fn interrupted_snapshot_install_drops_old_entries() {
    let dir = DataDir::new();
    let (mut log, _) = dir.open();
    save(&mut log, 1..=5);
    let old = fs::read(dir.file("log")).expect("readable");
    log.save_snapshot(&snapshot(100), Vec::new()).expect("saved");
    drop(log);
    fs::write(dir.file("log"), old).expect("writable");
    let (mut log, opened) = dir.open();
    assert!(opened.recovered.entries.is_empty());
    save(&mut log, 101..=102);
    drop(log);
    assert_eq!(dir.indices(), [101, 102]);
}

/// Guards against two processes on one data directory, which would both write the log.
#[test]
fn second_process_is_refused() {
    let dir = DataDir::new();
    let _log = dir.open().0;
    assert!(matches!(Log::open(dir.path()), Err(Error::Locked { .. })));
}

/// Guards against a host that accepts changes on a full disk until no space is left for votes, or that does not detect
/// freed space.
#[test]
fn full_disk_is_detected() {
    let dir = DataDir::new();
    std::os::unix::fs::symlink("/dev/full", dir.file("reserve")).expect("link");
    let (mut log, _) = dir.open();
    assert!(log.is_disk_full());
    log.check_disk_space().expect("checked");
    assert!(log.is_disk_full());
    fs::remove_file(dir.file("reserve")).expect("removable");
    log.check_disk_space().expect("checked");
    assert!(!log.is_disk_full());
}

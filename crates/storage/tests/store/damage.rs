//! Guards against lost or invalid records after torn writes, and against opening damaged folders.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use sassafras_raft::Batch;
use sassafras_raft::HardState;
use sassafras_raft::Members;
use sassafras_raft::Snapshot;
use sassafras_storage::Error;
use sassafras_storage::Progress;
use sassafras_storage::Recovered;
use sassafras_storage::Store;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;

use crate::folder::Folder;

fn entry(index: u64, bytes: usize) -> LogEntry {
    LogEntry {
        index,
        term: 1,
        payload: Some(Payload::Command(vec![index as u8; bytes].into())),
    }
}

/// Creates a batch of entries, each with a payload of the given size.
fn append(indexes: std::ops::RangeInclusive<u64>, bytes: usize) -> Batch {
    Batch {
        append: indexes.map(|i| entry(i, bytes)).collect(),
        ..Batch::default()
    }
}

fn open(folder: &Folder) -> Result<(Store, Recovered), Error> {
    Store::open(folder.path(), 0, &"a".into())
}

fn reopened_last_index(folder: &Folder) -> u64 {
    let (_, recovered) = open(folder).unwrap();
    recovered.state.entries.last().map_or(0, |e| e.index)
}

fn files(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder).unwrap().map(|f| f.unwrap().path());
    let named = |p: &PathBuf| p.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut paths: Vec<_> = paths.filter(named).collect();
    paths.sort();
    paths
}

/// Writes a batch of entries 1 to 3 and one of entries 4 to 6. Returns the path of the segment and
/// its size after each batch.
fn write_two_batches(folder: &Folder, bytes: usize) -> (PathBuf, usize, usize) {
    let (mut store, _) = open(folder).unwrap();
    assert_eq!(
        store.write(vec![append(1..=3, bytes)]).unwrap(),
        Progress::Done
    );
    let path = files(folder.path(), "wal").remove(0);
    let first = fs::read(&path).unwrap().len();
    assert_eq!(
        store.write(vec![append(4..=6, bytes)]).unwrap(),
        Progress::Done
    );
    let second = fs::read(&path).unwrap().len();
    (path, first, second)
}

#[test]
fn a_torn_batch_is_discarded_completely() {
    let folder = Folder::new("cut");
    let (path, first, second) = write_two_batches(&folder, 300);
    let data = fs::read(&path).unwrap();
    for size in first..second {
        fs::write(&path, &data[..size]).unwrap();
        assert_eq!(reopened_last_index(&folder), 3, "truncated to {size} bytes");
        assert_eq!(
            fs::read(&path).unwrap(),
            data[..first],
            "truncated to {size} bytes"
        );
    }
}

#[test]
fn unwritten_sectors_are_a_torn_tail() {
    let folder = Folder::new("sectors");
    let (path, first, second) = write_two_batches(&folder, 700);
    let data = fs::read(&path).unwrap();
    for start in (0..second).step_by(512).filter(|s| s + 512 > first) {
        let mut torn = data.clone();
        torn[start.max(first)..(start + 512).min(second)].fill(0);
        fs::write(&path, &torn).unwrap();
        assert_eq!(reopened_last_index(&folder), 3, "sector at {start}");
    }
}

#[test]
fn writing_continues_after_a_torn_tail() {
    let folder = Folder::new("continue");
    let (path, _, second) = write_two_batches(&folder, 10);
    let data = fs::read(&path).unwrap();
    fs::write(&path, &data[..second - 1]).unwrap();
    let (mut store, _) = open(&folder).unwrap();
    assert_eq!(
        store.write(vec![append(4..=4, 10)]).unwrap(),
        Progress::Done
    );
    drop(store);
    assert_eq!(reopened_last_index(&folder), 4);
}

/// Flips a bit in each byte of a file in turn, and checks that the folder does not open.
fn assert_flips_are_detected(folder: &Folder, path: &Path) {
    let data = fs::read(path).unwrap();
    for at in 0..data.len() {
        let mut flipped = data.clone();
        flipped[at] ^= 0x10;
        fs::write(path, &flipped).unwrap();
        let error =
            open(folder).expect_err(&format!("{} opened, byte {at} flipped", path.display()));
        assert!(error.to_string().contains("damaged"), "{error}");
    }
    fs::write(path, &data).unwrap();
    open(folder).unwrap();
}

#[test]
fn flipped_bytes_are_not_mistaken_for_a_torn_tail() {
    let folder = Folder::new("flips");
    let (path, ..) = write_two_batches(&folder, 20);
    assert_flips_are_detected(&folder, &path);
    assert_flips_are_detected(&folder, &folder.path().join("identity"));

    let (mut store, _) = open(&folder).unwrap();
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members: Members::default(),
        data: Bytes::from_static(b"state"),
    };
    assert_eq!(store.save_snapshot(&snapshot).unwrap(), Progress::Done);
    drop(store);
    assert_flips_are_detected(&folder, &files(folder.path(), "snapshot")[0]);
}

#[test]
fn a_folder_with_a_missing_file_does_not_open() {
    let folder = Folder::new("missing");
    let options = sassafras_storage::Options::default().segment_bytes(200);
    let (mut store, _) = options.open(folder.path(), 0, &"a".into()).unwrap();
    for index in 1..=9 {
        assert_eq!(
            store.write(vec![append(index..=index, 100)]).unwrap(),
            Progress::Done
        );
    }
    drop(store);
    let segments = files(folder.path(), "wal");
    assert!(segments.len() > 3);
    for path in &segments[..segments.len() - 1] {
        let data = fs::read(path).unwrap();
        fs::remove_file(path).unwrap();
        let error = open(&folder).expect_err("the folder opened without a segment");
        assert!(error.to_string().contains("missing"), "{error}");
        fs::write(path, data).unwrap();
    }
    for path in &segments {
        fs::remove_file(path).unwrap();
    }
    let error = open(&folder).expect_err("the folder opened without a log");
    assert!(error.to_string().contains("missing"), "{error}");
}

#[test]
fn a_folder_opens_only_for_its_own_member() {
    let folder = Folder::new("identity");
    let (mut store, first) = open(&folder).unwrap();
    assert!(first.fresh);
    open(&folder).expect_err("the folder opened while in use");
    let hard_state = Some(HardState { term: 3, vote: 4 });
    let batch = Batch {
        hard_state,
        ..Batch::default()
    };
    assert_eq!(store.write(vec![batch]).unwrap(), Progress::Done);
    drop(store);

    let (store, again) = open(&folder).unwrap();
    assert_eq!((again.identity, again.fresh), (first.identity, false));
    assert_eq!(Some(again.state.hard_state), hard_state);
    drop(store);
    Store::open(folder.path(), 0, &"b".into()).unwrap_err();
    Store::open(folder.path(), 1, &"a".into()).unwrap_err();

    fs::remove_file(folder.path().join("identity")).unwrap();
    let error = open(&folder).expect_err("the folder opened without its identity file");
    assert!(error.to_string().contains("no identity"), "{error}");

    let other = Folder::new("identity-other");
    let (_, fresh) = open(&other).unwrap();
    assert_ne!(fresh.identity, first.identity);
}

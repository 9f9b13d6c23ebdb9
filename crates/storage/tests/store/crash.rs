//! Guards against lost or mixed-up records after the failure of any file operation.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use sassafras_raft::Batch;
use sassafras_raft::HardState;
use sassafras_raft::Members;
use sassafras_raft::PersistentState;
use sassafras_raft::Snapshot;
use sassafras_storage::Error;
use sassafras_storage::Hook;
use sassafras_storage::Operation;
use sassafras_storage::Options;
use sassafras_storage::Progress;
use sassafras_storage::Store;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;

use crate::folder::Folder;

/// A step of a generated test, which makes a call to the store.
#[derive(Clone, Debug)]
enum Step {
    /// Writes batches, given the maximum number of entries that each removes, the number of entries
    /// that each appends, and the number of batches after the first.
    Write(u8, u8, u8),
    /// Saves a snapshot at this many entries before the last.
    Compact(u8),
    /// Installs a snapshot at this many entries after the last, or before it if negative.
    Install(i8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 8 {
            0 => Self::Compact(small(g)),
            1 => Self::Install(i8::arbitrary(g) % 4),
            _ => Self::Write(small(g), small(g), small(g)),
        }
    }
}

/// The expected content of the store.
#[derive(Clone, Debug, Default)]
struct Model(PersistentState);

enum StoreCall {
    Write(Vec<Batch>),
    Save(Snapshot),
}

impl Model {
    fn base(&self) -> u64 {
        self.0.snapshot.as_ref().map_or(0, |s| s.index)
    }

    fn last(&self) -> u64 {
        self.0.entries.last().map_or(self.base(), |e| e.index)
    }

    /// Applies a step to the model and returns the corresponding call to the store, if any.
    fn advance(&mut self, step: &Step, term: u64) -> Option<StoreCall> {
        match *step {
            Step::Write(remove, append, batches) => {
                let batches = (0..=batches).map(|_| self.write(remove, append, term));
                Some(StoreCall::Write(batches.collect()))
            }
            Step::Compact(distance) => {
                let index = self.last().saturating_sub(distance.into());
                let entry = self.0.entries.iter().find(|e| e.index == index)?;
                let snapshot = snapshot(index, entry.term);
                self.0.entries.retain(|e| e.index > index);
                self.0.snapshot = Some(snapshot.clone());
                Some(StoreCall::Save(snapshot))
            }
            Step::Install(distance) => {
                let index = self.last().saturating_add_signed(distance.into());
                if index <= self.base() {
                    return None;
                }
                let snapshot = snapshot(index, term);
                self.0.hard_state.term = term;
                self.0.entries.clear();
                self.0.snapshot = Some(snapshot.clone());
                Some(StoreCall::Write(vec![Batch {
                    hard_state: Some(self.0.hard_state),
                    snapshot: Some(snapshot),
                    ..Batch::default()
                }]))
            }
        }
    }

    fn write(&mut self, remove: u8, append: u8, term: u64) -> Batch {
        let keep = self.last().saturating_sub(remove.into()).max(self.base());
        let truncate = (keep < self.last()).then_some(keep + 1);
        self.0.entries.retain(|e| e.index <= keep);
        let append: Vec<_> = (1..=append.into()).map(|i| entry(keep + i, term)).collect();
        self.0.entries.extend(append.iter().cloned());
        self.0.hard_state = HardState { term, vote: keep };
        Batch {
            hard_state: Some(self.0.hard_state),
            truncate,
            append,
            ..Batch::default()
        }
    }
}

fn entry(index: u64, term: u64) -> LogEntry {
    let payload = Some(Payload::Command(vec![7; 60].into()));
    LogEntry {
        index,
        term,
        payload,
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        members: Members::default(),
        data: vec![index as u8; 30].into(),
    }
}

/// Counts operations, and fails the one with number `at` and all after it.
fn fail_from(at: usize, count: &Arc<AtomicUsize>) -> Hook {
    let count = Arc::clone(count);
    Box::new(move |operation, _: &Path| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        match operation {
            Operation::Write(bytes) if number < at => Ok(bytes),
            // Only a part of the data is written.
            Operation::Write(bytes) if number == at => Ok(at * 7 % bytes),
            _ if number < at => Ok(0),
            _ => Err(io::Error::other("injected")),
        }
    })
}

fn open(folder: &Folder, hook: Option<Hook>) -> Result<(Store, PersistentState), Error> {
    let options = Options::default().segment_bytes(500);
    let options = match hook {
        Some(hook) => options.hook(hook),
        None => options,
    };
    let (store, recovered) = options.open(folder.path(), 0, &"a".into())?;
    Ok((store, recovered.state))
}

/// Runs the steps, with failures from operation `at` on. Returns the states that the folder may
/// have after the first failure, or `None` if no operation failed.
fn run(folder: &Folder, steps: &[Step], at: usize) -> Option<[PersistentState; 2]> {
    let count = Arc::default();
    let mut model = Model::default();
    let Ok((mut store, _)) = open(folder, Some(fail_from(at, &count))) else {
        return Some([PersistentState::default(), PersistentState::default()]);
    };
    for (i, step) in steps.iter().enumerate() {
        let before = model.0.clone();
        let result = match model.advance(step, i as u64 + 1) {
            Some(StoreCall::Write(batches)) => store.write(batches),
            Some(StoreCall::Save(snapshot)) => store.save_snapshot(&snapshot),
            None => Ok(Progress::Done),
        };
        if result.is_err() {
            let operations = count.load(Ordering::Relaxed);
            assert!(
                store.write(Vec::new()).is_err(),
                "a write succeeded after a failure"
            );
            assert_eq!(
                count.load(Ordering::Relaxed),
                operations,
                "a file operation was made after a failure"
            );
            return Some([before, model.0]);
        }
    }
    None
}

/// Fails the first sync of a file after `armed` was set to 1. All other operations succeed.
fn fail_one_sync(armed: &Arc<AtomicUsize>) -> Hook {
    let armed = Arc::clone(armed);
    Box::new(move |operation, _: &Path| match operation {
        Operation::Sync if armed.swap(0, Ordering::Relaxed) == 1 => {
            Err(io::Error::other("injected"))
        }
        Operation::Write(bytes) => Ok(bytes),
        _ => Ok(0),
    })
}

/// Guards against the use of data that is not on disk. After a failed sync, the operating system
/// can return such data from its cache.
#[test]
fn a_failed_sync_is_final_even_after_a_restart() {
    let folder = Folder::new("bad-sync");
    let armed = Arc::new(AtomicUsize::new(0));
    let (mut store, _) = open(&folder, Some(fail_one_sync(&armed))).unwrap();
    let mut model = Model::default();
    assert_eq!(
        store.write(vec![model.write(0, 2, 1)]).unwrap(),
        Progress::Done
    );
    armed.store(1, Ordering::Relaxed);
    store
        .write(vec![model.write(0, 2, 1)])
        .expect_err("the write succeeded although its sync failed");
    store
        .write(vec![model.write(0, 2, 1)])
        .expect_err("a write succeeded after a failed sync");
    drop(store);
    let error = open(&folder, None).expect_err("the folder opened after a failed sync");
    assert!(error.to_string().contains("sync has failed"), "{error}");
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn survives_a_failure_at_every_operation(steps: Vec<Step>) -> bool {
    for at in 0.. {
        let folder = Folder::new("crash");
        let Some(expected) = run(&folder, &steps, at) else {
            return true;
        };
        let (mut store, found) =
            open(&folder, None).expect("the folder does not open after a crash");
        let same = |e: &PersistentState| format!("{e:?}") == format!("{found:?}");
        assert!(
            expected.iter().any(same),
            "operation {at}: {found:?} is none of {expected:?}"
        );

        // Further writes must succeed and be recovered.
        let mut model = Model(found);
        let batch = model.write(0, 2, 900);
        assert_eq!(store.write(vec![batch]).unwrap(), Progress::Done);
        drop(store);
        let (_, found) = open(&folder, None).expect("the folder does not open again");
        assert_eq!(
            format!("{found:?}"),
            format!("{:?}", model.0),
            "operation {at}"
        );
    }
    true
}

#[test]
fn a_failed_operation_leaves_the_state_before_or_after_the_call() {
    let seeds = Gen::from_size_and_seed(12, 0x5eed);
    let mut check = QuickCheck::new().rng(seeds).tests(25);
    check.quickcheck(survives_a_failure_at_every_operation as fn(Vec<Step>) -> bool);
}

/// Guards against relying on data that a later crash can lose. A process that is killed before
/// its sync leaves data that can be read but is not on disk.
#[test]
fn the_log_is_synced_when_the_store_is_opened() {
    let folder = Folder::new("resync");
    let (mut store, _) = open(&folder, None).unwrap();
    assert_eq!(
        store.write(vec![Model::default().write(0, 2, 1)]).unwrap(),
        Progress::Done
    );
    drop(store);
    let hook: Hook = Box::new(|operation, path: &Path| match operation {
        Operation::Sync if path.extension().is_some_and(|e| e == "log") => {
            Err(io::Error::other("log synced"))
        }
        _ => Ok(0),
    });
    let error = open(&folder, Some(hook)).expect_err("the log was not synced");
    assert!(error.to_string().contains("log synced"), "{error}");
}

/// Refuses all bytes while `full` is set to 1, after writing a part of them.
fn refuse_while_full(full: &Arc<AtomicUsize>) -> Hook {
    let full = Arc::clone(full);
    Box::new(move |operation, _: &Path| match operation {
        Operation::Write(bytes) if full.load(Ordering::Relaxed) == 1 => Ok(bytes / 2),
        Operation::Write(bytes) => Ok(bytes),
        _ => Ok(0),
    })
}

/// Guards against a member that ends because its disk is full for a while, and against losing or
/// repeating the batches that it could not write.
#[test]
fn batches_are_written_once_a_full_disk_has_space() {
    let folder = Folder::new("full");
    let full = Arc::new(AtomicUsize::new(0));
    let (mut store, _) = open(&folder, Some(refuse_while_full(&full))).unwrap();
    let mut model = Model::default();
    let mut write = |store: &mut Store| {
        let batch = model.write(1, 2, 1);
        (store.write(vec![batch]).unwrap(), model.0.clone())
    };
    let (progress, on_disk) = write(&mut store);
    assert_eq!(progress, Progress::Done);
    full.store(1, Ordering::Relaxed);
    assert_eq!(write(&mut store).0, Progress::Full);
    assert_eq!(write(&mut store).0, Progress::Full);
    assert_eq!(store.write(Vec::new()).unwrap(), Progress::Full);
    let snapshot = snapshot(2, 1);
    assert_eq!(store.save_snapshot(&snapshot).unwrap(), Progress::Full);
    drop(store);

    // A crash leaves what was on disk before.
    let (mut store, state) = open(&folder, Some(refuse_while_full(&full))).unwrap();
    assert_eq!(format!("{state:?}"), format!("{on_disk:?}"));
    let mut model = Model(on_disk);
    let batch = model.write(1, 2, 2);
    assert_eq!(store.write(vec![batch]).unwrap(), Progress::Full);
    full.store(0, Ordering::Relaxed);
    let batch = model.write(0, 1, 2);
    assert_eq!(store.write(vec![batch]).unwrap(), Progress::Done);
    drop(store);
    let (_, state) = open(&folder, None).unwrap();
    assert_eq!(format!("{state:?}"), format!("{:?}", model.0));
}

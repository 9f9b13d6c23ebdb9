//! Guards against lost or mixed-up records when a file operation fails at any point.

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
use sassafras_storage::Store;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;

use crate::folder::Folder;

/// One call of a script.
#[derive(Clone, Debug)]
enum Call {
    /// Removes up to this many entries, appends this many, in this many batches.
    Write(u8, u8, u8),
    /// Takes a snapshot this many entries before the last.
    Compact(u8),
    /// Installs a snapshot this many entries after the last, or before it.
    Install(i8),
}

impl Arbitrary for Call {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 8 {
            0 => Self::Compact(small(g)),
            1 => Self::Install(i8::arbitrary(g) % 4),
            _ => Self::Write(small(g), small(g), small(g)),
        }
    }
}

/// What the store should hold, and what the next call writes.
#[derive(Clone, Debug, Default)]
struct Model(PersistentState);

enum Job {
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

    /// Carries out a call on the model and returns the same for the store.
    fn advance(&mut self, call: &Call, term: u64) -> Option<Job> {
        match *call {
            Call::Write(remove, append, batches) => {
                let batches = (0..=batches).map(|_| self.write(remove, append, term));
                Some(Job::Write(batches.collect()))
            }
            Call::Compact(back) => {
                let index = self.last().saturating_sub(back.into());
                let entry = self.0.entries.iter().find(|e| e.index == index)?;
                let snapshot = snapshot(index, entry.term);
                self.0.entries.retain(|e| e.index > index);
                self.0.snapshot = Some(snapshot.clone());
                Some(Job::Save(snapshot))
            }
            Call::Install(distance) => {
                let index = self.last().saturating_add_signed(distance.into());
                if index <= self.base() {
                    return None;
                }
                let snapshot = snapshot(index, term);
                self.0.hard_state.term = term;
                self.0.entries.clear();
                self.0.snapshot = Some(snapshot.clone());
                Some(Job::Write(vec![Batch {
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

/// Fails the operation with this number and all after it, and counts operations.
fn failing(at: usize, count: &Arc<AtomicUsize>) -> Hook {
    let count = Arc::clone(count);
    Box::new(move |operation, _: &Path| {
        let number = count.fetch_add(1, Ordering::Relaxed);
        match operation {
            Operation::Write(bytes) if number < at => Ok(bytes),
            // Part of the write reaches the disk.
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

/// Runs the script with a failure at one operation. Returns the states that the folder may
/// be in, or `None` when no operation failed.
fn run(folder: &Folder, script: &[Call], at: usize) -> Option<[PersistentState; 2]> {
    let count = Arc::default();
    let mut model = Model::default();
    let Ok((mut store, _)) = open(folder, Some(failing(at, &count))) else {
        return Some([PersistentState::default(), PersistentState::default()]);
    };
    for (i, call) in script.iter().enumerate() {
        let before = model.0.clone();
        let done = match model.advance(call, i as u64 + 1) {
            Some(Job::Write(batches)) => store.write(batches),
            Some(Job::Save(snapshot)) => store.save_snapshot(&snapshot),
            None => Ok(()),
        };
        if done.is_err() {
            let operations = count.load(Ordering::Relaxed);
            assert!(
                store.write(Vec::new()).is_err(),
                "the store accepts more work"
            );
            assert_eq!(
                count.load(Ordering::Relaxed),
                operations,
                "a retry after a failure"
            );
            return Some([before, model.0]);
        }
    }
    None
}

/// Fails the first sync for which `armed` is set; everything before and after works.
fn one_bad_sync(armed: &Arc<AtomicUsize>) -> Hook {
    let armed = Arc::clone(armed);
    Box::new(move |operation, _: &Path| match operation {
        Operation::Sync if armed.swap(0, Ordering::Relaxed) == 1 => Err(io::Error::other("bad")),
        Operation::Write(bytes) => Ok(bytes),
        _ => Ok(0),
    })
}

// After a failed sync the system can return data that never reached the disk.
#[test]
fn a_failed_sync_is_final_even_after_a_restart() {
    let folder = Folder::new("bad-sync");
    let armed = Arc::new(AtomicUsize::new(0));
    let (mut store, _) = open(&folder, Some(one_bad_sync(&armed))).unwrap();
    let mut model = Model::default();
    store.write(vec![model.write(0, 2, 1)]).unwrap();
    armed.store(1, Ordering::Relaxed);
    store
        .write(vec![model.write(0, 2, 1)])
        .expect_err("the sync fails");
    store
        .write(vec![model.write(0, 2, 1)])
        .expect_err("no second attempt");
    drop(store);
    let error = open(&folder, None).expect_err("a sync has failed here");
    assert!(error.to_string().contains("sync has failed"), "{error}");
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn survives_a_failure_at_every_operation(script: Vec<Call>) -> bool {
    for at in 0.. {
        let folder = Folder::new("crash");
        let Some(expected) = run(&folder, &script, at) else {
            return true;
        };
        let (mut store, found) = open(&folder, None).expect("the folder opens after a crash");
        let same = |e: &PersistentState| format!("{e:?}") == format!("{found:?}");
        assert!(
            expected.iter().any(same),
            "operation {at}: {found:?} is none of {expected:?}"
        );

        // The folder must also take further writes and read them back.
        let mut model = Model(found);
        let batch = model.write(0, 2, 900);
        store.write(vec![batch]).unwrap();
        drop(store);
        let (_, found) = open(&folder, None).expect("the folder opens again");
        assert_eq!(
            format!("{found:?}"),
            format!("{:?}", model.0),
            "operation {at}"
        );
    }
    true
}

#[test]
fn a_failure_at_any_operation_leaves_the_state_before_or_after_the_call() {
    let seeds = Gen::from_size_and_seed(12, 0x5eed);
    let mut check = QuickCheck::new().rng(seeds).tests(25);
    check.quickcheck(survives_a_failure_at_every_operation as fn(Vec<Call>) -> bool);
}

// A process that was killed before its sync leaves data that can be read but may yet be lost.
#[test]
fn the_log_is_synced_before_it_is_trusted_at_start() {
    let folder = Folder::new("resync");
    let (mut store, _) = open(&folder, None).unwrap();
    store.write(vec![Model::default().write(0, 2, 1)]).unwrap();
    drop(store);
    let hook: Hook = Box::new(|operation, path: &Path| match operation {
        Operation::Sync if path.extension().is_some_and(|e| e == "log") => {
            Err(io::Error::other("seen"))
        }
        _ => Ok(0),
    });
    let error = open(&folder, Some(hook)).expect_err("the sync is injected to fail");
    assert!(error.to_string().contains("seen"), "{error}");
}

//! Writes batches and snapshots on a blocking thread, one sync at a time.
//!
//! Batches that arrive during a sync are written together by the next one. This group commit lets
//! many claims share one sync, and the event loop never waits for the disk.

use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinHandle;

use sassafras_raft::Batch;
use sassafras_raft::Snapshot;
use sassafras_storage::Progress;
use sassafras_storage::Store;
use sassafras_util::Error;

/// Interval between two attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The result of a write: the store, whether all batches and the snapshot are on disk, and the
/// snapshot if it is not.
type Written = Result<(Store, Progress, Option<Snapshot>), Error>;

/// The store of a member and the data that waits to be written.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    idle: Option<Store>,
    task: Option<JoinHandle<Written>>,
    batches: Vec<Batch>,
    snapshot: Option<Snapshot>,
    /// Last batch passed to the store and not reported as synced.
    unreported: Option<u64>,
    /// Whether the last write found the disk full.
    full: bool,
    /// While the disk is full, when the next attempt is due.
    retry_at: Option<Instant>,
}

impl DiskWriter {
    pub(crate) fn new(store: Store) -> Self {
        Self {
            idle: Some(store),
            task: None,
            batches: Vec::new(),
            snapshot: None,
            unreported: None,
            full: false,
            retry_at: None,
        }
    }

    /// Returns when [`DiskWriter::start`] is due, which is only while the disk is full.
    pub(crate) fn retry_at(&self) -> Option<Instant> {
        self.retry_at
    }

    /// Reports whether the last write found the disk full.
    pub(crate) fn is_full(&self) -> bool {
        self.full
    }

    pub(crate) fn write(&mut self, batch: Batch) {
        if batch.snapshot.is_some() {
            // A snapshot received from the leader supersedes one that this member took itself.
            self.snapshot = None;
        }
        self.batches.push(batch);
    }

    /// Queues a snapshot, which is saved after all batches passed to [`DiskWriter::write`] before.
    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Starts to write the queued data, unless there is none, a write is running, or the disk is
    /// full and the next attempt is not due.
    pub(crate) fn start(&mut self, now: Instant) {
        let nothing = self.batches.is_empty() && self.snapshot.is_none();
        if (nothing && !self.full) || self.task.is_some() {
            return;
        }
        if self.full && now < *self.retry_at.get_or_insert(now + RETRY_INTERVAL) {
            return;
        }
        self.retry_at = None;
        let Some(store) = self.idle.take() else {
            return;
        };
        let batches = std::mem::take(&mut self.batches);
        let snapshot = self.snapshot.take();
        self.unreported = batches.last().map(|b| b.number).or(self.unreported);
        self.task = Some(tokio::task::spawn_blocking(move || {
            write_and_sync(store, batches, snapshot)
        }));
    }

    /// Waits for the running write, and returns the last batch that is now on disk, if it is a
    /// further one. Never completes if no write is running.
    ///
    /// # Errors
    ///
    /// Returns an error if the write failed. The store must not be used any more then.
    pub(crate) async fn wait(&mut self) -> Result<Option<u64>, Error> {
        let Some(task) = &mut self.task else {
            return std::future::pending().await;
        };
        let written = task.await;
        self.task = None;
        let (store, progress, snapshot) = written.map_err(Error::new)??;
        self.idle = Some(store);
        // A later snapshot may have been queued meanwhile.
        self.snapshot = self.snapshot.take().or(snapshot);
        self.full = progress == Progress::Full;
        Ok(if self.full {
            None
        } else {
            self.unreported.take()
        })
    }
}

fn write_and_sync(mut store: Store, batches: Vec<Batch>, snapshot: Option<Snapshot>) -> Written {
    let start = Instant::now();
    let count = batches.len();
    let mut progress = store.write(batches)?;
    if count > 0 {
        metrics::histogram!("control_batches_per_sync").record(count as f64);
        metrics::histogram!("control_sync_seconds").record(start.elapsed().as_secs_f64());
    }
    let Some(snapshot) = snapshot else {
        return Ok((store, progress, None));
    };
    if progress == Progress::Done {
        progress = store.save_snapshot(&snapshot)?;
    }
    let unsaved = (progress == Progress::Full).then_some(snapshot);
    Ok((store, progress, unsaved))
}

//! Writes batches and snapshots on a blocking thread, one sync at a time.
//!
//! Batches that arrive during a sync are written together by the next one. This group commit lets
//! many claims share one sync, and the event loop never waits for the disk.

use tokio::task::JoinHandle;

use sassafras_raft::Batch;
use sassafras_raft::Snapshot;
use sassafras_storage::Store;
use sassafras_util::Error;

/// The result of a write: the store, and the last batch that it synced to disk.
type Written = Result<(Store, Option<u64>), Error>;

/// The store of a member and the data that waits to be written.
#[derive(Debug)]
pub(crate) struct DiskWriter {
    idle: Option<Store>,
    task: Option<JoinHandle<Written>>,
    batches: Vec<Batch>,
    snapshot: Option<Snapshot>,
}

impl DiskWriter {
    pub(crate) fn new(store: Store) -> Self {
        Self {
            idle: Some(store),
            task: None,
            batches: Vec::new(),
            snapshot: None,
        }
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

    /// Starts to write the queued data, unless there is none or a write is running.
    pub(crate) fn start(&mut self) {
        if self.batches.is_empty() && self.snapshot.is_none() {
            return;
        }
        let Some(store) = self.idle.take() else {
            return;
        };
        let batches = std::mem::take(&mut self.batches);
        let snapshot = self.snapshot.take();
        self.task = Some(tokio::task::spawn_blocking(move || {
            write_and_sync(store, batches, snapshot)
        }));
    }

    /// Waits for the running write and returns the last batch that it synced, if it had any. Never
    /// completes if no write is running.
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
        let (store, batch) = written.map_err(Error::new)??;
        self.idle = Some(store);
        Ok(batch)
    }
}

fn write_and_sync(mut store: Store, batches: Vec<Batch>, snapshot: Option<Snapshot>) -> Written {
    let last = batches.last().map(|b| b.number);
    if last.is_some() {
        let start = std::time::Instant::now();
        metrics::histogram!("control_batches_per_sync").record(batches.len() as f64);
        store.write(batches)?;
        metrics::histogram!("control_sync_seconds").record(start.elapsed().as_secs_f64());
    }
    if let Some(snapshot) = snapshot {
        store.save_snapshot(&snapshot)?;
    }
    Ok((store, last))
}

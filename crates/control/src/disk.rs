//! Writes batches and snapshots on a second thread, one sync at a time.
//!
//! While a sync runs, further batches gather and go into the next one. This is the group
//! commit: many claims share one sync, and the event loop never waits for the disk.

use tokio::task::JoinHandle;

use sassafras_raft::Batch;
use sassafras_raft::Snapshot;
use sassafras_storage::Store;
use sassafras_util::Error;

/// What a finished write returns: the store, and the last batch that is on disk.
type Written = Result<(Store, Option<u64>), Error>;

/// The store of a member and what waits to be written.
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
            // A snapshot received from the leader is later than any of this member's own.
            self.snapshot = None;
        }
        self.batches.push(batch);
    }

    /// Stores a snapshot after everything that was passed to [`Disk::write`] before.
    pub(crate) fn save_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Starts the next write unless one is running.
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

    /// Waits for the running write and returns the last batch that it brought to disk.
    /// Waits forever when none is running.
    ///
    /// # Errors
    ///
    /// Fails when the write failed; the store must not be used any more.
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

//! Write-ahead log and snapshot files of a Raft member.
//!
//! A data folder holds the `identity` file and, per group, the segments of a write-ahead log
//! and the latest snapshot. [`Store::write`] writes all batches that it is given with one write
//! and one sync, unless one of them holds a snapshot or a new segment is started. It blocks until
//! they are on disk and should run on a separate thread.
//!
//! If the disk is full when batches are appended, they stay in memory and the next call writes them
//! first. After any error the store is unusable. If a sync fails, the operating system may drop the
//! unwritten data, and a later sync can succeed although the data is not on disk.
//!
//! ```
//! use sassafras_raft::Batch;
//! use sassafras_raft::HardState;
//! use sassafras_storage::Progress;
//! use sassafras_storage::Store;
//!
//! let folder = std::env::temp_dir().join(format!("store-{}", std::process::id()));
//! std::fs::create_dir_all(&folder).unwrap();
//! let (mut store, recovered) = Store::open(&folder, 0, &"a".into()).unwrap();
//! assert!(recovered.fresh);
//! let hard_state = Some(HardState { term: 1, vote: recovered.identity });
//! let written = store.write(vec![Batch { hard_state, ..Batch::default() }]).unwrap();
//! assert_eq!(written, Progress::Done);
//! drop(store);
//!
//! let (_, recovered) = Store::open(&folder, 0, &"a".into()).unwrap();
//! assert_eq!(recovered.state.hard_state.term, 1);
//! # std::fs::remove_dir_all(&folder).unwrap();
//! ```

mod disk;
mod identity;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod store;

pub use disk::Hook;
pub use disk::Operation;
pub use disk::Progress;
pub use sassafras_util::Error;
pub use store::Options;
pub use store::Recovered;
pub use store::Store;

//! Raft consensus as a state machine without I/O.
//!
//! A [`Node`] is one member of a Raft group. The caller passes in the time, messages and
//! proposals, and collects the resulting effects with [`Node::ready`]: a [`Batch`] to write and
//! sync, messages to send, and entries to apply. Once a batch is on disk, the caller reports it
//! with [`Node::synced`]. The node performs no I/O and reads no clock.
//!
//! A member is identified by its name and by the identity of its data folder. The member set
//! records both, and every message carries the identities of its sender and receiver. A member
//! that lost its disk is therefore ignored until it has been removed and added again.
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use sassafras_raft::Config;
//! use sassafras_raft::Node;
//! use sassafras_raft::Peer;
//! use sassafras_raft::PersistentState;
//!
//! let mut now = Instant::now();
//! let mut config = Config::new("a".into(), 17);
//! config.initial_members = vec![Peer::new("a".into(), "127.0.0.1:7000")];
//! let mut node = Node::new(config, PersistentState::default(), 1, now);
//! while !node.is_leader() {
//!     now += Duration::from_millis(50);
//!     node.tick(now);
//!     let ready = node.ready();
//!     // Write `ready.batch` to disk here, then report it.
//!     node.synced(now, ready.batch.number);
//! }
//! let index = node.propose(now, "command".into()).unwrap();
//! let ready = node.ready();
//! node.synced(now, ready.batch.number);
//! assert_eq!(node.ready().committed.last().map(|e| e.index), Some(index));
//! ```

mod bootstrap;
mod config;
mod election;
mod follower;
mod leader;
mod log;
mod members;
mod membership;
mod node;
mod progress;
mod ready;
mod snapshot;

pub use config::Config;
pub use members::MemberChange;
pub use members::Members;
pub use members::Peer;
pub use node::Node;
pub use node::ProposeError;
pub use ready::Batch;
pub use ready::HardState;
pub use ready::LeaderChange;
pub use ready::PersistentState;
pub use ready::Ready;
pub use ready::Snapshot;

//! Best-effort jobs: admitted and placed by one entry, run by agents under leases.
//!
//! The caller of a best-effort job receives the response when the job ends. Jobs are not persisted:
//! a caller resubmits a job whose response was lost. No task may have two runs at a time:
//!
//! - Only the agent of a host sends commands to its endpoints and enforces their capacity.
//! - Every run on an endpoint holds a lease of [`TASK_LEASE`], which the agent renews.
//! - An agent stops the tasks of an entry that has been silent for [`ENTRY_TIMEOUT`].
//! - An entry that was suspended gives up its jobs, since callers may have resubmitted them
//!   elsewhere.
//! - An entry starts a task again only after the agent has reported the end of the earlier run, or
//!   after the agent has been silent for [`RUN_EXPIRY`], by which time its runs must have ended.
//!
//! [`Dispatcher`] implements the entry's side and [`Runner`] the agent's side. Both are state
//! machines without I/O.

pub mod admission;
pub mod agent;
mod dispatcher;
mod estimate;
mod health;
mod host;
mod job;
mod placement;
pub mod process;
pub mod routes;
mod session;
mod timing;
pub mod watch;

pub use crate::agent::Runner;
pub use crate::dispatcher::Dispatcher;
pub use crate::dispatcher::DispatcherConfig;
pub use crate::dispatcher::Effect;
pub use crate::dispatcher::Submission;
pub use crate::estimate::Estimator;
pub use crate::health::Health;
pub use crate::host::Host;
pub use crate::host::View;
pub use crate::job::JobSpec;
pub use crate::job::Outcome;
pub use crate::job::Refusal;
pub use crate::job::Resources;
pub use crate::job::Route;
pub use crate::job::Step;
pub use crate::placement::Demand;
pub use crate::placement::Place;
pub use crate::placement::Plan;
pub use crate::placement::place;
pub use crate::session::Session;
pub use crate::session::SessionEvent;
pub use crate::timing::ENTRY_TIMEOUT;
pub use crate::timing::IDLE_PULSE_INTERVAL;
pub use crate::timing::PULSE_INTERVAL;
pub use crate::timing::RUN_EXPIRY;
pub use crate::timing::SUSPENSION_THRESHOLD;
pub use crate::timing::TASK_LEASE;

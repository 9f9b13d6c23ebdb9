//! Best-effort jobs: accepted, placed and answered by one entry, run by agents under leases.
//!
//! Such a job is answered when it ends. It is not recorded anywhere, since its caller submits
//! it again when the answer is lost. What must hold is that no task runs twice at a time:
//!
//! - An agent is the only one that gives orders to the endpoints of its host, and guards their
//!   room.
//! - Everything that runs on an endpoint holds a lease of [`TASK_LEASE`], which its agent
//!   renews.
//! - An agent stops the tasks of an entry that it has not heard from for [`ENTRY_SILENCE`].
//! - An entry that was suspended gives up its jobs, since callers may have gone elsewhere.
//! - An entry starts a task again only when the agent has reported the end of the earlier run,
//!   or when the time has passed by which every run at a silent agent has ended
//!   ([`RUN_GONE_AFTER`]).
//!
//! [`Dispatcher`] is the entry's part and [`Runner`] the agent's. Both are state machines
//! without I/O.

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

pub use crate::agent::Runner;
pub use crate::dispatcher::Dispatcher;
pub use crate::dispatcher::Effect;
pub use crate::dispatcher::Site;
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
pub use crate::placement::Plan;
pub use crate::placement::place;
pub use crate::session::Session;
pub use crate::session::SessionEvent;
pub use crate::timing::ENTRY_SILENCE;
pub use crate::timing::PULSE;
pub use crate::timing::RUN_GONE_AFTER;
pub use crate::timing::STALL;
pub use crate::timing::TASK_LEASE;

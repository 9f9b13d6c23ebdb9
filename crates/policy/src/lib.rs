//! Placement, fair queuing, rate limits, retry budgets and worker health, without I/O.
//!
//! ```
//! use std::time::Duration;
//!
//! use sassafras_policy::Policy;
//! use sassafras_policy::Candidate;
//!
//! let policy: Policy = "expected".parse().unwrap();
//! let idle = Candidate::new(8, 1.0);
//! let slow = Candidate::new(8, 10.0);
//! let mut cursor = 0;
//! let placed = (policy.place)(&mut cursor, &[slow, idle], &[Duration::from_millis(50); 3]);
//! assert_eq!(placed, [1, 1, 1]);
//! ```

mod admission;
mod budget;
mod fair;
mod health;
mod placement;
mod run_times;

pub use admission::Capacity;
pub use admission::Needs;
pub use admission::expected_response_time;
pub use budget::RetryBudget;
pub use budget::StartLimiter;
pub use fair::FairQueue;
pub use fair::Rank;
pub use health::Health;
pub use health::HealthStatus;
pub use health::MAX_EJECTED_SHARE;
pub use placement::Candidate;
pub use placement::Policy;
pub use run_times::RunTimes;

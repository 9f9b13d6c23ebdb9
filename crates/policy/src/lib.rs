//! Placement, limits, retries and worker health as pure functions.
//!
//! ```
//! use std::time::Duration;
//!
//! use sassafras_policy::Policy;
//! use sassafras_policy::View;
//!
//! let policy: Policy = "expected".parse().unwrap();
//! let idle = View::new(8, 1.0);
//! let slow = View::new(8, 10.0);
//! let mut cursor = 0;
//! let placed = (policy.place)(&mut cursor, &[slow, idle], &[Duration::from_millis(50); 3]);
//! assert_eq!(placed, [1, 1, 1]);
//! ```

mod admission;
mod budget;
mod fair;
mod health;
mod placement;
mod speed;

pub use admission::Capacity;
pub use admission::Needs;
pub use admission::expected_wait;
pub use budget::RetryBudget;
pub use budget::StartRate;
pub use fair::FairQueue;
pub use fair::Rank;
pub use health::Health;
pub use health::MAX_OUT;
pub use health::Verdict;
pub use placement::Policy;
pub use placement::View;
pub use speed::Speeds;

//! Clocks, names, digests, errors and hash maps shared by all crates.
//!
//! ```
//! use sassafras_util::Clock;
//! use sassafras_util::FastMap;
//! use sassafras_util::ManualClock;
//! use sassafras_util::Name;
//! use std::time::Duration;
//!
//! let team = Name::from("demo");
//! let mut limits = FastMap::default();
//! limits.insert(team.clone(), 8);
//! assert_eq!(limits[&team], 8);
//!
//! let clock = ManualClock::new();
//! let start = clock.now();
//! clock.advance(Duration::from_secs(1));
//! assert_eq!(clock.now() - start, Duration::from_secs(1));
//! ```

mod clock;
mod digest;
mod error;
mod map;
mod name;
mod random;

pub use clock::Clock;
pub use clock::ManualClock;
pub use clock::SystemClock;
pub use digest::Digest;
pub use error::Error;
pub use map::FastMap;
pub use map::FastSet;
pub use name::Name;
pub use random::random_u64;

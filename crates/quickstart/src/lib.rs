//! Runs all roles in one process on loopback, to try out sassafraslever.
//!
//! ```
//! use sassafras_quickstart::cluster_plan;
//!
//! let plan = cluster_plan(None);
//! assert_eq!(plan.teams[0].name, "demo");
//! ```

mod args;
mod sample;

pub use crate::args::Args;
pub use crate::sample::cluster_plan;
pub use crate::sample::run;

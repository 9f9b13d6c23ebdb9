//! All roles in one process on loopback, for a first look.
//!
//! ```
//! use sassafras_quickstart::plan;
//!
//! let plan = plan(None);
//! assert_eq!(plan.teams[0].name, "demo");
//! ```

mod args;
mod sample;

pub use crate::args::Args;
pub use crate::sample::plan;
pub use crate::sample::run;

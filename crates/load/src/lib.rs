//! Load generator and comparison of placement policies.
//!
//! A run generates the jobs of a [`Scenario`] from a seed, submits them to the entries, and
//! computes its metrics from the responses, the start records of the stand-ins and the metrics
//! pages of the processes.
//!
//! ```
//! use sassafras_load::Scenario;
//!
//! let scenario: Scenario = "ppgs".parse().unwrap();
//! assert_eq!(scenario.kinds.len(), 3);
//! ```

mod args;
pub mod driver;
pub mod embedded;
mod execute;
pub mod http_client;
pub mod measure;
pub mod operator;
pub mod records;
pub mod report;
pub mod run;
pub mod scenario;
pub mod summary;
pub mod workload;

pub use crate::args::Args;
pub use crate::args::Measure;
pub use crate::execute::execute;
pub use crate::scenario::Scenario;

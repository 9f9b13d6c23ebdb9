//! Integration tests with real processes.
//!
//! A [`Cluster`] runs control members, entries, agents and endpoint stand-ins from their
//! settings files, with a proxied [`Link`](sassafras_proxy::Link) between every two processes
//! that talk to each other. Callers' answers and the stand-ins' own records of starts are
//! collected as [`Evidence`], and [`check`] verifies every promise that applies to it.
//!
//! The fault matrix is one table, [`matrix::cells`], of steps, faults and target roles.

mod binaries;
mod caller;
mod cluster;
mod evidence;
mod http;
mod isolated;
pub mod matrix;

mod operator;
mod oracle;
mod process;
mod settings;
pub mod soak;
mod wait;

pub use caller::Job;
pub use cluster::Cluster;
pub use cluster::Options;
pub use evidence::Answer;
pub use evidence::Call;
pub use evidence::Evidence;
pub use evidence::GracefulStop;
pub use evidence::Leaving;
pub use evidence::Started;
pub use evidence::TaskResult;
pub use evidence::VersionSample;
pub use http::Reply;
pub use http::request;
pub use isolated::isolated;
pub use operator::Operator;
pub use oracle::Violation;
pub use oracle::check;
pub use process::Process;
pub use wait::unix_ms;
pub use wait::until;

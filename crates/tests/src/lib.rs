//! Integration tests with real processes.
//!
//! A [`Cluster`] runs control members, entries, agents and endpoint stand-ins from their
//! settings files, with a proxied [`Link`](sassafras_proxy::Link) between every two processes
//! that communicate. The responses to callers and the start records of the stand-ins form a
//! [`History`], and [`check`] verifies the guarantees P1 to P8 on it.
//!
//! The fault matrix, [`matrix::cells`], combines protocol steps, faults and target roles.

mod binaries;
mod cluster;
mod history;
mod http;
mod isolation;
mod job;
pub mod matrix;

mod operator;
mod oracle;
mod process;
mod settings;
pub mod soak;
mod wait;

pub use cluster::Cluster;
pub use cluster::Options;
pub use history::GracefulStop;
pub use history::History;
pub use history::JobResponse;
pub use history::LeavingEndpoint;
pub use history::StartRecord;
pub use history::Submission;
pub use history::TaskResult;
pub use history::VersionSample;
pub use http::Response;
pub use http::request;
pub use isolation::run_isolated;
pub use job::Job;
pub use operator::OperatorClient;
pub use oracle::Violation;
pub use oracle::check;
pub use process::Process;
pub use wait::unix_ms;
pub use wait::wait_until;

//! Placement, limits, retries and worker health as pure functions.

mod fair;

pub use fair::FairQueue;

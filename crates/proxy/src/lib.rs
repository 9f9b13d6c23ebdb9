//! Fault-injecting TCP proxy for tests and measurements.
//!
//! A [`Link`] forwards connections to one target and can delay, block or reset them while
//! they are open. Blocked bytes are buffered and delivered when the block is cleared, as TCP
//! delivers them after a partition.
//!
//! ```no_run
//! use sassafras_proxy::Faults;
//! use sassafras_proxy::Link;
//!
//! # async fn example() -> Result<(), sassafras_util::Error> {
//! let link = Link::start("127.0.0.1:0".parse().unwrap(), "127.0.0.1:7000".parse().unwrap(), 1).await?;
//! link.set_faults(Faults { block_back: true, ..Faults::default() });
//! link.reset_connections();
//! # Ok(())
//! # }
//! ```

mod faults;
mod link;
mod ports;
mod process;

pub use faults::Faults;
pub use link::Link;
pub use ports::free_addr;
pub use process::Settings;
pub use process::run;

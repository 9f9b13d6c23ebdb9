//! Process runtime: authenticated links, logging, metrics, settings and signals.
//!
//! A process consists of a settings type, a function that loads it, and an async `run` function:
//!
//! ```no_run
//! use sassafras_runtime::CommonSettings;
//! use sassafras_runtime::Context;
//! use sassafras_util::Error;
//!
//! async fn run(settings: CommonSettings, ctx: Context) -> Result<(), Error> {
//!     slog::info!(ctx.log, "started"; "node" => %settings.name);
//!     let mut stop = ctx.stop;
//!     stop.wait().await;
//!     Ok(())
//! }
//!
//! fn main() -> std::process::ExitCode {
//!     sassafras_runtime::main("sassafras-example", CommonSettings::load, run)
//! }
//! ```

mod client;
mod link;
mod log;
mod metrics;
mod net;
mod program;
mod settings;
mod stop;

pub use crate::client::ControlClient;
pub use crate::client::ControlEvent;
pub use crate::client::Handled;
pub use crate::client::RequestId;
pub use crate::link::LinkTiming;
pub use crate::log::logger;
pub use crate::metrics::install as install_metrics;
pub use crate::metrics::serve as serve_metrics;
pub use crate::net::ConnId;
pub use crate::net::Net;
pub use crate::net::NetEvent;
pub use crate::net::NetEvents;
pub use crate::net::Peer;
pub use crate::program::Context;
pub use crate::program::Seeds;
pub use crate::program::block_on;
pub use crate::program::main;
pub use crate::settings::CommonSettings;
pub use crate::settings::parse_addr;
pub use crate::settings::take_cluster_key;
pub use crate::settings::take_control_members;
pub use crate::stop::Stop;
pub use crate::stop::StopHandle;

//! Control process: replicated state, leases, configuration push.
//!
//! A member runs one event loop on one thread. [`run()`] passes received frames, completed syncs
//! and timer ticks to the replicated log, applies committed commands to the state, and replies
//! to the requests that wait for them. Disk writes and the encoding of snapshots run on the
//! blocking thread pool.
//!
//! The volatile state of a leader is kept in modules without I/O: [`Sessions`] (the last
//! heartbeats of nodes), [`Shares`] (leased shares of quotas) and [`ControlTime`] (the clock of
//! the control group).
//!
//! ```
//! use std::time::Duration;
//! use std::time::Instant;
//!
//! use sassafras_control::Quota;
//! use sassafras_control::Shares;
//! use sassafras_util::Name;
//!
//! let (lease, now) = (Duration::from_millis(2_500), Instant::now());
//! let mut shares = Shares::new(now, lease);
//! let quotas = [(Name::from("demo"), Quota { slots: 8, rate: 100 })].into_iter().collect();
//! let granted = shares.grant(now + lease, &Name::from("e1#1"), &[], &quotas);
//! assert_eq!(granted[0].slots, 8);
//! ```

mod admin;
mod apply;
mod disk;
mod engine;
mod evacuation;
mod leader;
mod membership;
mod peers;
mod pending;
mod requests;
mod routing;
mod run;
mod sessions;
mod settings;
mod shares;
mod time;
mod validate;

pub use crate::membership::JoinRequests;
pub use crate::run::run;
pub use crate::sessions::GONE_AFTER;
pub use crate::sessions::HeartbeatOutcome;
pub use crate::sessions::LEASE_DURATION;
pub use crate::sessions::SUSPECT_AFTER;
pub use crate::sessions::Session;
pub use crate::sessions::Sessions;
pub use crate::settings::Settings;
pub use crate::shares::Quota;
pub use crate::shares::Shares;
pub use crate::time::ControlTime;
pub use crate::validate::canonicalize;
pub use crate::validate::operator_by_token;

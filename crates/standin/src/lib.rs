//! Endpoint stand-in: a simulated endpoint with configurable speed and failure modes.
//!
//! It serves the endpoint protocol (`POST {path}`, `DELETE`, checkpoint and throttle),
//! announces itself to its agent every second, and records every task start. It also serves
//! `GET /mode` and `PUT /mode` (behaviour), `GET /starts` (one JSON line per recorded start),
//! `GET /directives` (directives received) and `GET /stats` (totals).
//!
//! ```
//! use sassafras_standin::Mode;
//!
//! let mode: Mode = serde_json::from_str(r#"{"speed":0.1,"fail_rate":0.5}"#).unwrap();
//! assert!(mode.validate().is_ok());
//! ```

mod announce;
mod mode;
mod record;
mod serve;
mod settings;

pub use crate::mode::Mode;
pub use crate::record::StartRecord;
pub use crate::serve::run;
pub use crate::settings::Settings;

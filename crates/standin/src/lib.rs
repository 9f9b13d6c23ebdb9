//! Endpoint stand-in with settable speed and failure modes.
//!
//! It serves the endpoint protocol (`POST {path}`, `DELETE`, checkpoint and throttle),
//! announces itself to its agent every second, and records every start. Beside the protocol
//! it serves `PUT /mode` (change the behaviour), `GET /starts` (every start as a JSON line)
//! and `GET /stats`.
//!
//! ```
//! use sassafras_standin::Mode;
//!
//! let mode: Mode = serde_json::from_str(r#"{"speed":0.1,"fail_rate":0.5}"#).unwrap();
//! assert!(mode.check().is_ok());
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

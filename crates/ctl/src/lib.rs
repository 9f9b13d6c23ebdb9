//! Command line for operators: answers to declarations, plans, changes and audit.
//!
//! [`run`] is the whole program; it takes its arguments and both output streams, so that
//! tests run it without starting a process:
//!
//! ```
//! use sassafras_ctl::Exit;
//! use sassafras_ctl::run;
//!
//! let (mut out, mut err) = (Vec::new(), Vec::new());
//! assert_eq!(run(["sassafrasctl", "token"], &mut out, &mut err), Exit::Done);
//! assert!(String::from_utf8(out).unwrap().contains("sha256 "));
//! ```

mod apply;
mod args;
mod commands;
mod console;
mod exit;
mod folder;
mod generate;
mod plan;
mod questionnaire;
mod session;
mod settings;
mod status;

pub use commands::run;
pub use exit::Exit;
pub use exit::Fault;
pub use folder::Folder;
pub use plan::Change;
pub use plan::ChangeKind;
pub use plan::Plan;
pub use questionnaire::compose;
pub use settings::Settings;

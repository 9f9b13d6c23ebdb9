//! Operator command-line tool: generates declarations from questionnaire answers, plans and
//! applies configuration changes, controls nodes, and shows status and the audit trail.
//!
//! [`run`] takes the arguments and both output streams, so tests can call it in process:
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
mod declarations;
mod evacuation;
mod exit;
mod generate;
mod plan;
mod questionnaire;
mod session;
mod settings;
mod status;

pub use commands::run;
pub use declarations::Declarations;
pub use exit::CommandError;
pub use exit::Exit;
pub use plan::Change;
pub use plan::ChangeKind;
pub use plan::Plan;
pub use questionnaire::compose;
pub use settings::Settings;

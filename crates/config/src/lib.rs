//! Team declarations, the questionnaire and settings files.
//!
//! ```
//! use sassafras_config::IniDoc;
//!
//! let mut doc = IniDoc::parse("agent.ini", "[node]\nslots = 8\n").unwrap();
//! let slots: u32 = doc.take("node", "slots", "1 to 1024", |t| t.parse().ok()).unwrap();
//! assert_eq!(slots, 8);
//! doc.finish().unwrap();
//! ```
//!
//! The configuration in force is a set of named items of canonical INI text. An item named
//! `team/<name>` declares a [`Team`]. The item `operators` declares the [`Operators`] that may
//! change the configuration.

mod answers;
mod canonical;
mod contradictions;
mod endpoints;
mod finding;
mod generate;
mod ini;
mod operators;
mod question;
mod team;

pub use answers::Answers;
pub use answers::CheckResult;
pub use answers::KindAnswers;
pub use answers::Limits;
pub use canonical::canonicalize;
pub use canonical::is_known_item;
pub use canonical::team_of_item;
pub use endpoints::Endpoints;
pub use finding::Finding;
pub use finding::Severity;
pub use generate::generate;
pub use ini::DRAIN_RANGE_MS;
pub use ini::IniDoc;
pub use operators::Operators;
pub use question::Cost;
pub use question::ENDPOINT_QUESTIONS;
pub use question::Format;
pub use question::KIND_QUESTIONS;
pub use question::LIMIT_QUESTIONS;
pub use question::Question;
pub use question::TEAM_QUESTIONS;
pub use team::Kind;
pub use team::MAX_DEADLINE_MS;
pub use team::Objective;
pub use team::Team;
pub use team::team_item;

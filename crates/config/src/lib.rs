//! Declarations of teams, the questionnaire and settings files.
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
//! `team/<name>` declares a [`Team`]; the item `operators` declares who may change things.

mod ini;
mod operators;
mod team;

pub use ini::IniDoc;
pub use operators::Operators;
pub use team::Kind;
pub use team::Objective;
pub use team::Team;
pub use team::team_item;

//! Agent process on the host of an endpoint: assigns slots, starts tasks and reports results.
//!
//! [`Engine`] is a state machine that takes [`Event`]s and returns [`Effect`]s. It performs no
//! I/O and reads no clock. [`run`] connects it to the entries, the control group and the endpoint.
//!
//! ```
//! use std::time::Instant;
//!
//! use sassafras_agent::Engine;
//! use sassafras_agent::Event;
//! use sassafras_agent::LinkId;
//! use sassafras_agent::Options;
//!
//! let now = Instant::now();
//! let mut engine = Engine::new(1, Options::default());
//! assert!(engine.handle(now, Event::LinkUp(LinkId(1))).is_empty());
//! // A new link gets a report of the agent's state and load.
//! assert_eq!(engine.flush(now).len(), 1);
//! ```

mod announce;
mod engine;
mod http;
mod run;
mod settings;

pub use crate::announce::Announcement;
pub use crate::engine::Completion;
pub use crate::engine::DirectiveAction;
pub use crate::engine::Effect;
pub use crate::engine::Engine;
pub use crate::engine::Event;
pub use crate::engine::LeaseRenewal;
pub use crate::engine::LinkId;
pub use crate::engine::Options;
pub use crate::engine::Start;
pub use crate::engine::Target;
pub use crate::engine::TaskDirective;
pub use crate::engine::TaskOutcome;
pub use crate::run::run;
pub use crate::settings::Settings;

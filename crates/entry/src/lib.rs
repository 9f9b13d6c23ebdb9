//! Entry process: the caller API and the jobs that it owns.
//!
//! [`Engine`] is a pure state machine: [`Engine::handle`] takes the time and an [`Event`] and
//! leaves [`Effect`]s, which [`run`] carries out over HTTP and links.
//!
//! ```
//! use std::time::Instant;
//!
//! use sassafras_entry::Effect;
//! use sassafras_entry::Engine;
//! use sassafras_entry::Event;
//! use sassafras_entry::Options;
//! use sassafras_wire::NodeRef;
//!
//! let node = NodeRef { name: "entry-1".into(), incarnation: 1 };
//! let now = Instant::now();
//! let mut engine = Engine::new(now, Options::new(node, "zone-a".into()));
//! let effects = engine.handle(now, Event::Tick);
//! assert!(matches!(effects[0], Effect::ControlRequest { .. }), "the first tick sends a heartbeat");
//! ```

mod body;
mod engine;
mod http;
mod response;
mod run;
mod settings;

pub use engine::Caller;
pub use engine::Effect;
pub use engine::Engine;
pub use engine::Event;
pub use engine::JobRequest;
pub use engine::Options;
pub use response::Ran;
pub use response::Response;
pub use run::run;
pub use settings::Settings;

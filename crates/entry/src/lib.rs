//! Entry process: serves the HTTP API and owns the jobs submitted to it.
//!
//! [`Engine`] is a state machine without I/O: [`Engine::handle`] takes the current time and an
//! [`Event`] and returns [`Effect`]s, which [`run()`] carries out over HTTP and links.
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
//! // The first tick sends a heartbeat.
//! assert!(matches!(effects[0], Effect::ControlRequest { .. }));
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

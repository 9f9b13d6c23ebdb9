//! Times that entries and agents must agree on.

use std::time::Duration;

/// Pause between two pulses on a link between an entry and an agent.
pub const PULSE: Duration = Duration::from_millis(120);

/// An agent stops the tasks of an entry whose pulses it has missed for this long: four pulses.
pub const ENTRY_SILENCE: Duration = Duration::from_millis(500);

/// How long an endpoint keeps running what its agent does not renew. Callers resubmit a lost job
/// no sooner than 1.3 s later; silence, the stop of the tasks and this lease must end before.
pub const TASK_LEASE: Duration = Duration::from_millis(600);

/// Every run at an agent has ended this long after the entry last had a working link to it:
/// the agent's patience, its lease, and 100 ms for clocks and the way.
pub const RUN_GONE_AFTER: Duration = Duration::from_millis(1_200);

/// An event loop that was not scheduled for this long may act on a state of the world that has
/// passed. It is below `ENTRY_SILENCE`.
pub const STALL: Duration = Duration::from_millis(400);

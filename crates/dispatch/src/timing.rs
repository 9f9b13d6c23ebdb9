//! Times on which entries and agents must agree.

use std::time::Duration;

/// Interval between two pulses on a link between an entry and an agent.
pub const PULSE_INTERVAL: Duration = Duration::from_millis(120);

/// Interval between two views from an agent that the entry does not watch. An agent that is gone is
/// noticed after this time and the timeout of a link.
pub const IDLE_PULSE_INTERVAL: Duration = Duration::from_secs(2);

/// An agent stops the tasks of an entry that has been silent for this long, which is four pulses.
pub const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Lease of a run: how long an endpoint keeps running it when its agent does not renew the lease.
/// Callers resubmit a lost job after 1.3 s at the earliest; by then `ENTRY_TIMEOUT`, the stop of
/// the tasks and this lease must be over.
pub const TASK_LEASE: Duration = Duration::from_millis(600);

/// Time since the last message of an agent after which an entry treats all runs that it sent there
/// as ended: the sum of `ENTRY_TIMEOUT`, `TASK_LEASE`, and 100 ms for clock differences and network
/// delay. No lease reaches further, whether stops take effect or not.
pub const RUN_EXPIRY: Duration = Duration::from_millis(1_200);

/// An entry whose event loop did not run for this long is considered suspended, since its state may
/// be outdated. Less than `ENTRY_TIMEOUT`.
pub const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(400);

//! The faults that a link can inject.

use serde::Deserialize;
use serde::Serialize;

/// The faults in force on a link. The default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches, all combinations are valid"
)]
pub struct Faults {
    /// Delay from the client to the target, in milliseconds.
    pub delay_ms: u64,
    /// Delay from the target to the client, in milliseconds.
    pub back_ms: u64,
    /// Additional random delay in both directions, up to this many milliseconds.
    pub jitter_ms: u64,
    /// Holds back everything from the client to the target.
    pub block_to: bool,
    /// Holds back everything from the target to the client.
    pub block_back: bool,
    /// Closes new connections at once.
    pub refuse: bool,
    /// Opens a second connection to the target for each one, and closes it unused.
    pub duplicate: bool,
}

impl Faults {
    /// Returns a partition in both directions.
    pub fn partition() -> Self {
        Self {
            block_to: true,
            block_back: true,
            ..Self::default()
        }
    }
}

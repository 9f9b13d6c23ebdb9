//! Faults that a link can inject.

use serde::Deserialize;
use serde::Serialize;

/// Faults applied by a link. The default injects none.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent flags; all combinations are valid"
)]
pub struct Faults {
    /// Delay from the client to the target, in milliseconds.
    pub delay_ms: u64,
    /// Delay from the target to the client, in milliseconds.
    pub back_ms: u64,
    /// Maximum of the random delay added in both directions, in milliseconds.
    pub jitter_ms: u64,
    /// Withholds all bytes from the client to the target until cleared.
    pub block_to: bool,
    /// Withholds all bytes from the target to the client until cleared.
    pub block_back: bool,
    /// Closes new connections at once.
    pub refuse: bool,
    /// Opens a second connection to the target for each new connection, and closes it unused.
    pub duplicate: bool,
}

impl Faults {
    /// Returns faults that block both directions.
    pub fn partition() -> Self {
        Self {
            block_to: true,
            block_back: true,
            ..Self::default()
        }
    }
}

//! Waiting for conditions, and the clock of the records.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Limit of every wait: far above any time that the system needs, so that a busy machine
/// fails no test.
const LIMIT: Duration = Duration::from_secs(90);
const POLL: Duration = Duration::from_millis(20);

/// Returns the time in milliseconds since the Unix epoch, the clock of the stand-ins' records.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// Names the condition when it does not hold within 90 s.
pub async fn until(what: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<(), String> {
    let end = Instant::now() + LIMIT;
    loop {
        if condition().await {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!("gave up waiting until {what}"));
        }
        tokio::time::sleep(POLL).await;
    }
}

//! Waiting for conditions, and the clock of recorded times.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Timeout of every wait: far above the time that any awaited condition takes, so that a busy
/// machine fails no test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the time in milliseconds since the Unix epoch, which the stand-ins record as well.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// Waits until `condition` holds.
///
/// # Errors
///
/// Names the condition, `what`, when it does not hold within 90 s.
pub async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), String> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if condition().await {
            return Ok(());
        }
        if Instant::now() >= end {
            return Err(format!(
                "timed out after {} s waiting until {what}",
                WAIT_TIMEOUT.as_secs()
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

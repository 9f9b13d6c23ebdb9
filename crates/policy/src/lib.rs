//! Placement, limits, retries and worker health as pure functions.

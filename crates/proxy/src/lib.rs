//! Fault-injecting TCP proxy for tests and measurements.

//! Logs: one line of key=value pairs for each event, on standard error.

use std::io;
use std::sync::Mutex;

use slog::Drain as _;
use slog::Level;
use slog::Logger;
use slog::o;
use slog_logfmt::Logfmt;

/// Creates a logger that drops events below `level`.
pub fn logger(level: Level, program: &'static str) -> Logger {
    let drain = Logfmt::new(io::stderr()).build().fuse();
    let drain = Mutex::new(drain).map(slog::Fuse);
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(
        drain,
        o!("program" => program, "ts" => slog::FnValue(|_| unix_ms())),
    )
}

/// Returns the time of an event in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    sassafras_util::Clock::unix_ms(&sassafras_util::SystemClock)
}

//! Logging to standard output in logfmt, one line per event.
//!
//! A separate thread writes the lines, so that a stalled reader does not block the event loop.
//! Lines that do not fit into the queue are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;

use slog::Drain as _;
use slog::Level;
use slog::Logger;
use slog::o;
use slog_logfmt::Logfmt;

/// Capacity of the queue of lines to write.
const QUEUE_LINES: usize = 4096;

/// Creates a logger that discards events below `level`.
pub fn logger(level: Level, program: &'static str) -> Logger {
    let (sender, receiver) = mpsc::sync_channel(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&receiver));
    let drain = Logfmt::new(LineSender(sender)).build().fuse();
    let drain = Mutex::new(drain).map(slog::Fuse);
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(
        drain,
        o!("program" => program, "ts" => slog::FnValue(|_| unix_ms())),
    )
}

/// Sends lines to the writer thread.
struct LineSender(SyncSender<Vec<u8>>);

impl Write for LineSender {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.0.try_send(buf.to_vec()).is_err() {
            metrics::counter!("log_lines_dropped").increment(1);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines in batches until the logger is dropped.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut text) = lines.recv() {
        for line in lines.try_iter().take(QUEUE_LINES) {
            text.extend_from_slice(&line);
        }
        // Standard output is closed, so the error cannot be logged.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    sassafras_util::Clock::unix_ms(&sassafras_util::SystemClock)
}

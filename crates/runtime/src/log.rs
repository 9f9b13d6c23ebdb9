//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Lines are written by a thread of their own, so that a reader that stalls never blocks the
//! event loop. Lines that do not fit into the backlog are counted and dropped.

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

/// Lines that may wait to be written.
const BACKLOG_LINES: usize = 4096;

/// Creates a logger that drops events below `level`.
pub fn logger(level: Level, program: &'static str) -> Logger {
    let (lines, written) = mpsc::sync_channel(BACKLOG_LINES);
    std::thread::spawn(move || write_lines(&written));
    let drain = Logfmt::new(Lines(lines)).build().fuse();
    let drain = Mutex::new(drain).map(slog::Fuse);
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(
        drain,
        o!("program" => program, "ts" => slog::FnValue(|_| unix_ms())),
    )
}

/// Hands lines to the writing thread.
struct Lines(SyncSender<Vec<u8>>);

impl Write for Lines {
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

/// Writes lines until the logger is gone, all that wait at a time.
fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(mut text) = lines.recv() {
        for line in lines.try_iter().take(BACKLOG_LINES) {
            text.extend_from_slice(&line);
        }
        // Without a reader there is nobody left to tell.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}

/// Returns the time of an event in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    sassafras_util::Clock::unix_ms(&sassafras_util::SystemClock)
}

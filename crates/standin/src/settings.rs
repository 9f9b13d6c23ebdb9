//! Settings of the stand-in.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_runtime::parse_addr;
use sassafras_util::Error;
use sassafras_util::Name;

use crate::mode::Mode;

const ADDR_FORMAT: &str = "IP address and port, such as 127.0.0.1:7000";
const NAME_FORMAT: &str = "1 to 128 characters of A-Z a-z 0-9 . _ -";
const COUNT_RANGE: RangeInclusive<u32> = 0..=1_000_000;
const DRAIN_MS_RANGE: RangeInclusive<u64> = 0..=600_000;
const DEFAULT_DRAIN_MS: u64 = 60_000;

/// Settings of the stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address that serves tasks; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address at which the agent accepts announcements.
    pub agent: SocketAddr,
    /// Path of the task resource.
    pub path: String,
    /// Announced number of tasks that may run at a time.
    pub slots: u32,
    /// Announced number of connections that the agent may open.
    pub connections: u32,
    /// Announced cores.
    pub cores: u32,
    /// Announced memory in MiB.
    pub memory_mb: u64,
    /// Announced accelerators.
    pub accelerators: u32,
    /// Announced rack.
    pub rack: Name,
    /// Announced kinds of task; empty accepts every kind.
    pub kinds: Vec<Name>,
    /// Whether checkpoints are supported.
    pub checkpoint: bool,
    /// Whether throttling is supported.
    pub throttle: bool,
    /// Whether running tasks can be stopped.
    pub stop: bool,
    /// Initial behaviour.
    pub mode: Mode,
    /// File to which starts and ends are appended as JSON lines.
    pub record_file: Option<PathBuf>,
    /// Longest time that a graceful shutdown waits for running tasks.
    pub drain_timeout: Duration,
}

impl Settings {
    /// Creates the default settings for a stand-in of the agent at `agent`.
    pub fn new(agent: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            agent,
            path: "/tasks".to_owned(),
            slots: 8,
            connections: 64,
            cores: 16,
            memory_mb: 32_768,
            accelerators: 0,
            rack: Name::from("r1"),
            kinds: Vec::new(),
            checkpoint: true,
            throttle: true,
            stop: true,
            mode: Mode::default(),
            record_file: None,
            drain_timeout: Duration::from_millis(DEFAULT_DRAIN_MS),
        }
    }

    /// Parses the section `[standin]` and the log level.
    ///
    /// # Errors
    ///
    /// Names the file, line and key of the first invalid setting, and the accepted values. A rate or
    /// factor out of range is named by its key only.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        doc.take_or("log", "level", "a log level", slog::Level::Info, |t| {
            t.parse().ok()
        })?;
        let agent = doc.take("standin", "agent", ADDR_FORMAT, parse_addr)?;
        let base = Self::new(agent);
        Ok(Self {
            listen: doc.take_or("standin", "listen", ADDR_FORMAT, base.listen, parse_addr)?,
            agent,
            path: doc.take_or("standin", "path", "a path such as /tasks", base.path, |t| {
                t.starts_with('/').then(|| t.to_owned())
            })?,
            slots: take_count(doc, "slots", base.slots)?,
            connections: take_count(doc, "connections", base.connections)?,
            cores: take_count(doc, "cores", base.cores)?,
            memory_mb: u64::from(take_count(doc, "memory_mb", base.memory_mb as u32)?),
            accelerators: take_count(doc, "accelerators", base.accelerators)?,
            rack: doc.take_or("standin", "rack", NAME_FORMAT, base.rack, Name::checked)?,
            kinds: doc
                .take_optional(
                    "standin",
                    "kinds",
                    "names, separated by commas",
                    parse_kinds,
                )?
                .unwrap_or_default(),
            checkpoint: take_bool(doc, "checkpoint", base.checkpoint)?,
            throttle: take_bool(doc, "throttle", base.throttle)?,
            stop: take_bool(doc, "stop", base.stop)?,
            mode: load_mode(doc)?,
            record_file: doc
                .take_optional("standin", "record", "path of a file", |t| Some(t.into()))?,
            drain_timeout: doc.take_ms("standin", "drain_ms", DRAIN_MS_RANGE, DEFAULT_DRAIN_MS)?,
        })
    }
}

fn load_mode(doc: &mut IniDoc) -> Result<Mode, Error> {
    let base = Mode::default();
    let mode = Mode {
        speed: take_number(doc, "speed", base.speed)?,
        fail_rate: take_number(doc, "fail_rate", base.fail_rate)?,
        refuse_rate: take_number(doc, "refuse_rate", base.refuse_rate)?,
        hang_rate: take_number(doc, "hang_rate", base.hang_rate)?,
        drop_rate: take_number(doc, "drop_rate", base.drop_rate)?,
        slow_after_ms: doc.take_optional("standin", "slow_after_ms", "milliseconds", |t| {
            t.parse().ok()
        })?,
        slow_by: take_number(doc, "slow_by", base.slow_by)?,
    };
    mode.validate().map_err(Error::new)?;
    Ok(mode)
}

fn take_number(doc: &mut IniDoc, key: &str, default: f64) -> Result<f64, Error> {
    doc.take_or("standin", key, "a number", default, |t| t.parse().ok())
}

fn take_count(doc: &mut IniDoc, key: &str, default: u32) -> Result<u32, Error> {
    let accepted = format!("{} to {}", COUNT_RANGE.start(), COUNT_RANGE.end());
    let parse = |t: &str| t.parse().ok().filter(|n| COUNT_RANGE.contains(n));
    doc.take_or("standin", key, &accepted, default, parse)
}

fn take_bool(doc: &mut IniDoc, key: &str, default: bool) -> Result<bool, Error> {
    doc.take_or("standin", key, "true or false", default, |t| t.parse().ok())
}

fn parse_kinds(text: &str) -> Option<Vec<Name>> {
    text.split(',')
        .map(|part| Name::checked(part.trim()))
        .collect()
}

//! Settings of the agent.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::parse_addr;
use sassafras_util::Error;

use crate::engine::Options;

const ADDR: &str = "IP address and port, such as 127.0.0.1:7000";
const RETENTION_MS: RangeInclusive<u64> = 1_000..=86_400_000;
const DRAIN_MS: RangeInclusive<u64> = 0..=600_000;
const DEFAULT_DRAIN_MS: u64 = 60_000;
const RESULT_MB: RangeInclusive<usize> = 1..=65_536;
const RECORDS: RangeInclusive<usize> = 100..=100_000_000;
const QUEUE: RangeInclusive<usize> = 0..=1_000_000;
const MIB: usize = 1024 * 1024;

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Where the endpoint announces itself.
    pub endpoint: SocketAddr,
    /// How long a graceful shutdown waits for running tasks and undelivered results.
    pub drain: Duration,
    /// Bounds of the engine.
    pub options: Options,
}

impl Settings {
    /// Takes the common sections, `[endpoint]` and `[agent]`.
    ///
    /// # Errors
    ///
    /// Names the file, line and key of the first fault, and what is accepted.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let base = Options::default();
        let retention_ms = base.retention.as_millis() as u64;
        let retention = doc.take_ms("agent", "result_retention_ms", RETENTION_MS, retention_ms)?;
        let result_mb = take_count(doc, "result_mb", RESULT_MB, base.result_bytes / MIB)?;
        let records = take_count(doc, "records", RECORDS, base.records)?;
        let queue = take_count(doc, "queue", QUEUE, base.queue)?;
        Ok(Self {
            common,
            endpoint: doc.take("endpoint", "listen", ADDR, parse_addr)?,
            drain: doc.take_ms("agent", "drain_ms", DRAIN_MS, DEFAULT_DRAIN_MS)?,
            options: Options {
                retention,
                result_bytes: result_mb * MIB,
                records,
                queue,
                ..base
            },
        })
    }
}

fn take_count(
    doc: &mut IniDoc,
    key: &str,
    bounds: RangeInclusive<usize>,
    default: usize,
) -> Result<usize, Error> {
    let accepted = format!("{} to {}", bounds.start(), bounds.end());
    let parse = |t: &str| t.parse().ok().filter(|n| bounds.contains(n));
    doc.take_or("agent", key, &accepted, default, parse)
}

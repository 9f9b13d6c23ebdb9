//! Settings of the agent.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::parse_addr;
use sassafras_util::Error;

use crate::engine::Options;

const ADDR_FORMAT: &str = "IP address and port, such as 127.0.0.1:7000";
const RETENTION_RANGE_MS: RangeInclusive<u64> = 1_000..=86_400_000;
const RESULT_RANGE_MB: RangeInclusive<usize> = 1..=65_536;
const RECORD_RANGE: RangeInclusive<usize> = 100..=100_000_000;
const QUEUE_RANGE: RangeInclusive<usize> = 0..=1_000_000;
const MIB: usize = 1024 * 1024;

/// Settings of the agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings that every process has.
    pub common: CommonSettings,
    /// Listen address for the endpoint's announcements.
    pub endpoint_listen: SocketAddr,
    /// How long a graceful shutdown waits for running tasks and unreported results.
    pub drain_timeout: Duration,
    /// Limits of the engine.
    pub options: Options,
}

impl Settings {
    /// Loads the common sections, `[endpoint]` and `[agent]`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, line and key of the first invalid setting, and the
    /// accepted values.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let defaults = Options::default();
        let retention_ms = defaults.retention.as_millis() as u64;
        let retention = doc.take_ms(
            "agent",
            "result_retention_ms",
            RETENTION_RANGE_MS,
            retention_ms,
        )?;
        let result_mb = take_count(
            doc,
            "result_mb",
            RESULT_RANGE_MB,
            defaults.result_bytes / MIB,
        )?;
        let records = take_count(doc, "records", RECORD_RANGE, defaults.records)?;
        let queue = take_count(doc, "queue", QUEUE_RANGE, defaults.queue)?;
        Ok(Self {
            common,
            endpoint_listen: doc.take("endpoint", "listen", ADDR_FORMAT, parse_addr)?,
            drain_timeout: doc.take_drain("agent")?,
            options: Options {
                retention,
                result_bytes: result_mb * MIB,
                records,
                queue,
                ..defaults
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
    let parse = |text: &str| text.parse().ok().filter(|n| bounds.contains(n));
    doc.take_or("agent", key, &accepted, default, parse)
}

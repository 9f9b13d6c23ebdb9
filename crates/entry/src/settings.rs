//! Settings of the entry process.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_policy::Policy;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::parse_addr;
use sassafras_util::Error;

/// Settings of the entry process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings common to all processes.
    pub common: CommonSettings,
    /// Listen address of the HTTP API.
    pub http: SocketAddr,
    /// Job limits and timeouts.
    pub jobs: JobSettings,
}

/// Job limits and timeouts.
#[derive(Clone, Debug)]
pub struct JobSettings {
    /// Placement policy.
    pub placement: Policy,
    /// Most tasks in a job, whatever its team's configuration allows.
    pub max_tasks: u32,
    /// Largest request body in bytes.
    pub max_body: usize,
    /// Most jobs that may wait unclaimed for their team's quota.
    pub queue_jobs: usize,
    /// Time for which the responses of ended jobs are retained.
    pub retention: Duration,
    /// Largest total size of retained responses in bytes.
    pub answer_bytes: usize,
    /// Time after which an unreachable agent counts as lost.
    pub lost_after: Duration,
    /// Longest wait for unfinished jobs on shutdown.
    pub drain: Duration,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            placement: Policy::default(),
            max_tasks: 970,
            max_body: 8 << 20,
            queue_jobs: 10_000,
            retention: Duration::from_secs(600),
            answer_bytes: 256 << 20,
            lost_after: Duration::from_secs(10),
            drain: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Reads the sections `[entry]` and `[policy]` and those of [`CommonSettings`].
    ///
    /// # Errors
    ///
    /// Returns an error with the file, line, key and accepted values of the first invalid setting.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let http = doc.take(
            "entry",
            "http",
            "IP address and port, such as 127.0.0.1:8080",
            parse_addr,
        )?;
        let jobs = JobSettings::load(doc)?;
        Ok(Self { common, http, jobs })
    }
}

impl JobSettings {
    fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let d = Self::default();
        let placement = doc.take_or(
            "policy",
            "placement",
            "expected, random, round_robin or least_in_flight",
            d.placement,
            |t| t.parse().ok(),
        )?;
        let max_tasks = take_number(doc, "max_tasks", d.max_tasks, 1..=970)?;
        let max_body = take_number(doc, "max_body_bytes", d.max_body, 1024..=8 << 20)?;
        let queue_jobs = take_number(doc, "queue_jobs", d.queue_jobs, 1..=1_000_000)?;
        let answer_bytes = take_number(doc, "answer_bytes", d.answer_bytes, 1 << 20..=16 << 30)?;
        let ms = |d: Duration| d.as_millis() as u64;
        Ok(Self {
            placement,
            max_tasks,
            max_body,
            queue_jobs,
            answer_bytes,
            retention: doc.take_ms(
                "entry",
                "result_retention_ms",
                1000..=86_400_000,
                ms(d.retention),
            )?,
            lost_after: doc.take_ms("entry", "lost_after_ms", 1000..=600_000, ms(d.lost_after))?,
            drain: doc.take_ms("entry", "drain_ms", 0..=3_600_000, ms(d.drain))?,
        })
    }
}

fn take_number<T>(
    doc: &mut IniDoc,
    key: &str,
    default: T,
    bounds: RangeInclusive<T>,
) -> Result<T, Error>
where
    T: std::str::FromStr + std::fmt::Display + PartialOrd,
{
    let accepted = format!("{} to {}", bounds.start(), bounds.end());
    doc.take_or("entry", key, &accepted, default, |t| {
        t.parse().ok().filter(|n| bounds.contains(n))
    })
}

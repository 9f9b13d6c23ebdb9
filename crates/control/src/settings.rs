//! Settings of a control member.

use std::path::PathBuf;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_config::MAX_DEADLINE_MS;
use sassafras_config::Operators;
use sassafras_runtime::CommonSettings;
use sassafras_util::Error;

const RETENTION_RANGE_MS: std::ops::RangeInclusive<u64> = 1_000..=604_800_000;
const DEFAULT_RESULT_RETENTION_MS: u64 = 600_000;
const DEFAULT_CLAIM_RETENTION_MS: u64 = 21_600_000;
const DEFAULT_MAX_CLAIMS: usize = 2_000_000;
const DEFAULT_SNAPSHOT_MB: u64 = 64;
/// A group of three members tolerates the loss of one.
const DEFAULT_TOLERATED: usize = 1;
const MAX_TOLERATED: usize = 100;

/// Settings of a control member.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings shared by all processes.
    pub common: CommonSettings,
    /// The data folder, which must exist.
    pub path: PathBuf,
    /// Whether the members listed in `[cluster] control` create a new group.
    pub bootstrap: bool,
    /// Whether control hosts become members without an operator, and unreachable members are
    /// removed.
    pub join: bool,
    /// Number of control hosts that may be lost at the same time. The group keeps enough voters
    /// for that.
    pub tolerated: usize,
    /// Bytes of applied commands after which a snapshot is taken.
    pub snapshot_bytes: u64,
    /// How long the full claim of a finished job is kept.
    pub result_retention: Duration,
    /// How long a claim is kept, counted from the end of the job, or from the claim of its last
    /// owner if the job does not finish.
    pub claim_retention: Duration,
    /// Number of claims from which claims of new jobs are refused.
    pub max_claims: usize,
    /// Maximum time to transfer leadership and to leave the group on shutdown.
    pub drain: Duration,
    /// The initial `operators` item, which the first leader proposes.
    pub operators: Option<String>,
}

impl Settings {
    /// Takes the settings of a control member from `doc`.
    ///
    /// # Errors
    ///
    /// Returns the file, line and key of the first invalid setting, and the values that it accepts.
    pub fn load(doc: &mut IniDoc) -> Result<Self, Error> {
        let common = CommonSettings::load(doc)?;
        let path = doc.take("storage", "path", "path of a folder", |t| {
            Some(PathBuf::from(t))
        })?;
        let bootstrap = doc.take_or("storage", "bootstrap", "true or false", false, |t| {
            t.parse().ok()
        })?;
        let join = doc.take_or("control", "join", "true or false", false, |t| {
            t.parse().ok()
        })?;
        let tolerated =
            doc.take_or("control", "tolerated", "0 to 100", DEFAULT_TOLERATED, |t| {
                t.parse().ok().filter(|n| *n <= MAX_TOLERATED)
            })?;
        let snapshot_mb = doc.take_or(
            "storage",
            "snapshot_mb",
            "1 to 4096",
            DEFAULT_SNAPSHOT_MB,
            |t| t.parse().ok().filter(|n| (1..=4096).contains(n)),
        )?;
        let result_retention = doc.take_ms(
            "control",
            "result_retention_ms",
            RETENTION_RANGE_MS,
            DEFAULT_RESULT_RETENTION_MS,
        )?;
        let claim_retention = doc.take_ms(
            "control",
            "claim_retention_ms",
            RETENTION_RANGE_MS,
            DEFAULT_CLAIM_RETENTION_MS,
        )?;
        if claim_retention < result_retention {
            let reason = "it must be at least result_retention_ms";
            return Err(doc.key_error("control", "claim_retention_ms", reason));
        }
        // Without its claim, a job whose tasks still run counts as one that was never claimed.
        if claim_retention < Duration::from_millis(MAX_DEADLINE_MS) {
            let reason = format!("it must be at least {MAX_DEADLINE_MS}, the longest deadline");
            return Err(doc.key_error("control", "claim_retention_ms", &reason));
        }
        let max_claims = doc.take_or(
            "control",
            "max_claims",
            "1000 to 100000000",
            DEFAULT_MAX_CLAIMS,
            |t| t.parse().ok().filter(|n| (1000..=100_000_000).contains(n)),
        )?;
        let drain = doc.take_drain("control")?;
        Ok(Self {
            common,
            path,
            bootstrap,
            join,
            tolerated,
            snapshot_bytes: snapshot_mb * 1024 * 1024,
            result_retention,
            claim_retention,
            max_claims,
            drain,
            operators: load_operators(doc)?,
        })
    }
}

/// Reads and validates the file with the initial `operators` item, if the setting is present.
fn load_operators(doc: &mut IniDoc) -> Result<Option<String>, Error> {
    let file = doc.take_optional("bootstrap", "operators", "path of a file", |t| {
        Some(t.to_owned())
    })?;
    let Some(file) = file else { return Ok(None) };
    let text = std::fs::read_to_string(&file)
        .map_err(|e| doc.key_error("bootstrap", "operators", &format!("{file}: {e}")))?;
    Operators::parse(&file, &text)?;
    Ok(Some(text))
}

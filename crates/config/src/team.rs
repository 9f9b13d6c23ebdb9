//! Declaration of a team: its quota, token and kinds of task.

use std::fmt;
use std::fmt::Write as _;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use crate::Endpoints;
use crate::IniDoc;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::Name;

/// Longest deadline of a task, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;

// Accepted ranges of the settings. They match those of the questions that the settings are
// generated from.
const SLOT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const START_RATE_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const WEIGHT_RANGE: RangeInclusive<u32> = 1..=100;
const MAX_TASKS_RANGE: RangeInclusive<u32> = 1..=970;
const RUN_MS_RANGE: RangeInclusive<u64> = 1..=MAX_DEADLINE_MS;
const CORES_RANGE: RangeInclusive<u32> = 0..=1024;
const ACCELERATORS_RANGE: RangeInclusive<u32> = 0..=64;
const MEMORY_MB_RANGE: RangeInclusive<u64> = 0..=16_000_000;

/// Objective that takes precedence where response time and waste conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Objective {
    /// Short response times. A second copy of a repeatable straggler is allowed.
    Response,
    /// Few wasted messages.
    Waste,
}

impl fmt::Display for Objective {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Response => "response",
            Self::Waste => "waste",
        })
    }
}

impl FromStr for Objective {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match text {
            "response" => Ok(Self::Response),
            "waste" => Ok(Self::Waste),
            other => Err(Error::new(format!("unknown objective {other:?}"))),
        }
    }
}

/// A kind of task that a team submits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Name of the kind.
    pub name: Name,
    /// Declared run time, used as an estimate until run times have been measured.
    pub run_time: Duration,
    /// Whether a lost or failed attempt may be started again.
    pub repeatable: bool,
    /// Cores required by a task.
    pub cores: u32,
    /// Memory required by a task, in MiB.
    pub memory_mb: u64,
    /// Accelerators required by a task.
    pub accelerators: u32,
}

/// Declaration of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// SHA-256 of the bearer token of the team's callers.
    pub token_digest: Digest,
    /// Weight of the team in the fair share of slots.
    pub weight: u32,
    /// Largest number of concurrent tasks of the team over all entries.
    pub slots: u32,
    /// Largest number of task starts of the team per second over all entries.
    pub start_rate: u32,
    /// Largest number of tasks in a job.
    pub max_tasks: u32,
    /// Deadline of tasks that specify none, from their submission.
    pub default_deadline: Duration,
    /// Objective that takes precedence.
    pub objective: Objective,
    /// Kinds of task, the default one first.
    pub kinds: Vec<Kind>,
    /// Endpoints that the team expects, if declared.
    pub endpoints: Option<Endpoints>,
}

/// Returns the name of the configuration item that declares a team.
pub fn team_item(team: &str) -> String {
    format!("team/{team}")
}

impl Team {
    /// Parses the INI text of an item. Errors refer to it as `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid setting; the error names file, line, key and the accepted values.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut doc = IniDoc::parse(file, text)?;
        let name = doc.take(
            "team",
            "name",
            "1 to 128 characters of A-Z a-z 0-9 . _ -",
            Name::checked,
        )?;
        let token_digest = doc.take(
            "team",
            "token_sha256",
            "64 hexadecimal digits",
            Digest::parse,
        )?;
        let weight = take_number(&mut doc, "team", "weight", WEIGHT_RANGE)?;
        let slots = take_number(&mut doc, "team", "quota_slots", SLOT_RANGE)?;
        let start_rate = take_number(&mut doc, "team", "quota_per_second", START_RATE_RANGE)?;
        let max_tasks = take_number(&mut doc, "team", "max_tasks", MAX_TASKS_RANGE)?;
        let default_deadline = take_number(&mut doc, "team", "deadline_ms", RUN_MS_RANGE)
            .map(Duration::from_millis)?;
        let objective = doc.take("team", "objective", "response or waste", |t| t.parse().ok())?;
        let mut kinds = Vec::new();
        for section in doc.sections() {
            if let Some(kind) = section.strip_prefix("kind ") {
                kinds.push(take_kind(&mut doc, &section, kind)?);
            }
        }
        if kinds.is_empty() {
            return Err(doc.key_error("team", "name", "the team declares no [kind NAME]"));
        }
        let declared = doc.sections().iter().any(|s| s == Endpoints::SECTION);
        let endpoints = declared.then(|| Endpoints::take(&mut doc)).transpose()?;
        doc.finish()?;
        Ok(Self {
            name,
            token_digest,
            weight,
            slots,
            start_rate,
            max_tasks,
            default_deadline,
            objective,
            kinds,
            endpoints,
        })
    }

    /// Returns the kind with the given name, or the default kind for `None`.
    pub fn kind(&self, name: Option<&str>) -> Option<&Kind> {
        match name {
            None => self.kinds.first(),
            Some(name) => self.kinds.iter().find(|k| *k.name == *name),
        }
    }

    /// Returns the canonical INI text of the declaration.
    pub fn to_ini(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "[team]\nname = {}\ntoken_sha256 = {}\nweight = {}\nquota_slots = {}\nquota_per_second = {}\n\
             max_tasks = {}\ndeadline_ms = {}\nobjective = {}",
            self.name,
            self.token_digest,
            self.weight,
            self.slots,
            self.start_rate,
            self.max_tasks,
            self.default_deadline.as_millis(),
            self.objective
        );
        for kind in &self.kinds {
            let _ = writeln!(
                text,
                "\n[kind {}]\nrun_ms = {}\nrepeatable = {}\ncores = {}\nmemory_mb = {}\naccelerators = {}",
                kind.name,
                kind.run_time.as_millis(),
                kind.repeatable,
                kind.cores,
                kind.memory_mb,
                kind.accelerators
            );
        }
        if let Some(endpoints) = &self.endpoints {
            endpoints.write_ini(&mut text);
        }
        text
    }
}

fn take_kind(doc: &mut IniDoc, section: &str, name: &str) -> Result<Kind, Error> {
    let checked = Name::checked(name)
        .ok_or_else(|| doc.key_error(section, "run_ms", "the kind's name is not valid"))?;
    Ok(Kind {
        name: checked,
        run_time: take_number(doc, section, "run_ms", RUN_MS_RANGE).map(Duration::from_millis)?,
        repeatable: doc.take(section, "repeatable", "true or false", |t| t.parse().ok())?,
        cores: take_number(doc, section, "cores", CORES_RANGE)?,
        memory_mb: take_number(doc, section, "memory_mb", MEMORY_MB_RANGE)?,
        accelerators: take_number(doc, section, "accelerators", ACCELERATORS_RANGE)?,
    })
}

fn take_number<T>(
    doc: &mut IniDoc,
    section: &str,
    key: &str,
    bounds: RangeInclusive<T>,
) -> Result<T, Error>
where
    T: FromStr + PartialOrd + fmt::Display,
{
    let accepted = format!("{} to {}", bounds.start(), bounds.end());
    doc.take(section, key, &accepted, |t| {
        t.parse().ok().filter(|n| bounds.contains(n))
    })
}

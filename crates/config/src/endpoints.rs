//! The declared endpoints of a team.

use std::fmt::Write as _;

use crate::IniDoc;
use crate::question::ENDPOINT_QUESTIONS;
use crate::question::Question;
use crate::question::parse_names;
use sassafras_util::Error;
use sassafras_util::Name;

/// The endpoints that a team expects to announce themselves.
///
/// What endpoints announce decides what runs; the declaration is compared with it and with
/// the team's quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoints {
    /// The number of endpoints.
    pub count: u32,
    /// Tasks that may run at a time on each.
    pub slots: u32,
    /// Connections that each accepts.
    pub connections: u32,
    /// Cores of each.
    pub cores: u32,
    /// Memory of each, in MiB.
    pub memory_mb: u64,
    /// Accelerators of each.
    pub accelerators: u32,
    /// Endpoints in one rack.
    pub rack_size: u32,
    /// The availability zones they are in.
    pub zones: Vec<Name>,
    /// The HTTP path under which they take tasks.
    pub path: String,
}

impl Endpoints {
    /// The name of the section.
    pub(crate) const SECTION: &str = "endpoints";

    /// Returns the tasks that may run at a time on all endpoints together.
    pub fn capacity(&self) -> u64 {
        u64::from(self.count) * u64::from(self.slots)
    }

    /// Takes the section `[endpoints]`, whose keys are those of the questionnaire.
    pub(crate) fn take(doc: &mut IniDoc) -> Result<Self, Error> {
        Self::from_answers(|question| {
            let accepted = question.format.accepted();
            doc.take(Self::SECTION, question.key, &accepted, |t| {
                question.format.accepts(t).then(|| t.to_owned())
            })
        })
    }

    /// Creates the declaration from the valid answer to each question.
    pub(crate) fn from_answers<E>(
        mut answer: impl FnMut(&Question) -> Result<String, E>,
    ) -> Result<Self, E> {
        let mut values = ENDPOINT_QUESTIONS.iter();
        let mut text = || values.next().map_or(Ok(String::new()), &mut answer);
        Ok(Self {
            count: number(&text()?) as u32,
            slots: number(&text()?) as u32,
            connections: number(&text()?) as u32,
            cores: number(&text()?) as u32,
            memory_mb: number(&text()?),
            accelerators: number(&text()?) as u32,
            rack_size: number(&text()?) as u32,
            zones: parse_names(&text()?).unwrap_or_default(),
            path: text()?,
        })
    }

    /// Returns the value of each setting, in the order of the questions.
    pub(crate) fn values(&self) -> Vec<String> {
        let zones: Vec<&str> = self.zones.iter().map(Name::as_str).collect();
        vec![
            self.count.to_string(),
            self.slots.to_string(),
            self.connections.to_string(),
            self.cores.to_string(),
            self.memory_mb.to_string(),
            self.accelerators.to_string(),
            self.rack_size.to_string(),
            zones.join(", "),
            self.path.clone(),
        ]
    }

    /// Appends the canonical INI text of the section.
    pub(crate) fn write_ini(&self, text: &mut String) {
        let _ = writeln!(text, "\n[{}]", Self::SECTION);
        for (question, value) in ENDPOINT_QUESTIONS.iter().zip(self.values()) {
            let _ = writeln!(text, "{} = {value}", question.key);
        }
    }
}

/// Reads a number whose format and bounds were checked.
fn number(text: &str) -> u64 {
    text.parse().unwrap_or_default()
}

//! The endpoints that a team declares.

use std::fmt::Write as _;

use crate::IniDoc;
use crate::question::ENDPOINT_QUESTIONS;
use crate::question::Question;
use crate::question::parse_names;
use sassafras_util::Error;
use sassafras_util::Name;

/// The endpoints that a team expects to announce themselves.
///
/// Placement uses the announcements only. The declaration is checked against them and against the
/// team's quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoints {
    /// Number of endpoints.
    pub count: u32,
    /// Largest number of concurrent tasks per endpoint.
    pub slots: u32,
    /// Largest number of connections per endpoint.
    pub connections: u32,
    /// Cores per endpoint.
    pub cores: u32,
    /// Memory per endpoint, in MiB.
    pub memory_mb: u64,
    /// Accelerators per endpoint.
    pub accelerators: u32,
    /// Endpoints per rack.
    pub rack_size: u32,
    /// Availability zones of the endpoints.
    pub zones: Vec<Name>,
    /// HTTP path to which tasks are sent.
    pub path: String,
}

impl Endpoints {
    /// Name of the section in settings files and answers.
    pub(crate) const SECTION: &str = "endpoints";

    /// Returns the number of slots of all endpoints together.
    pub fn capacity(&self) -> u64 {
        u64::from(self.count) * u64::from(self.slots)
    }

    /// Takes the section `[endpoints]`, whose keys are the same as in the questionnaire.
    pub(crate) fn take(doc: &mut IniDoc) -> Result<Self, Error> {
        Self::from_answers(|question| {
            let accepted = question.format.accepted();
            doc.take(Self::SECTION, question.key, &accepted, |t| {
                question.format.accepts(t).then(|| t.to_owned())
            })
        })
    }

    /// Creates the declaration from answers. `answer` is called for each question in order and must
    /// return a valid answer.
    pub(crate) fn from_answers<E>(
        mut answer: impl FnMut(&Question) -> Result<String, E>,
    ) -> Result<Self, E> {
        let mut questions = ENDPOINT_QUESTIONS.iter();
        let mut text = || questions.next().map_or(Ok(String::new()), &mut answer);
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

/// Parses a number that has been validated.
fn number(text: &str) -> u64 {
    text.parse().unwrap_or_default()
}

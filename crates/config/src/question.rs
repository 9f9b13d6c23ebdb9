//! Questions of the questionnaire that a team answers about its work.

use std::str::FromStr;

use displaydoc::Display;

use sassafras_util::Digest;
use sassafras_util::Name;

/// Cost to the team of a task that is late, is lost or runs twice.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cost {
    /// nothing
    Nothing,
    /// annoyance
    Annoyance,
    /// money
    Money,
}

impl FromStr for Cost {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        [Self::Nothing, Self::Annoyance, Self::Money]
            .into_iter()
            .find(|c| c.to_string() == text)
            .ok_or(())
    }
}

/// Format of a valid answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// A name of a team, kind or availability zone.
    Name,
    /// Distinct names, separated by commas.
    Names,
    /// A SHA-256 digest in hexadecimal digits.
    Hash,
    /// `yes` or `no`.
    YesNo,
    /// A [`Cost`].
    Cost,
    /// An HTTP path.
    Path,
    /// A whole number between inclusive bounds.
    Number(u64, u64),
}

impl Format {
    /// Describes the valid answers.
    pub fn accepted(self) -> String {
        match self {
            Self::Name => "1 to 128 characters of A-Z a-z 0-9 . _ -".to_owned(),
            Self::Names => "distinct names, separated by commas".to_owned(),
            Self::Hash => "64 hexadecimal digits, as `sassafrasctl token` prints them".to_owned(),
            Self::YesNo => "yes or no".to_owned(),
            Self::Cost => "nothing, annoyance or money".to_owned(),
            Self::Path => "a path that starts with / and has no space, ? or #".to_owned(),
            Self::Number(min, max) => format!("a whole number from {min} to {max}"),
        }
    }

    /// Reports whether `text` is a valid answer.
    ///
    /// ```
    /// use sassafras_config::Format;
    ///
    /// assert!(Format::Names.accepts("recife, salvador"));
    /// assert!(!Format::Names.accepts("recife, recife"));
    /// ```
    pub fn accepts(self, text: &str) -> bool {
        match self {
            Self::Name => Name::checked(text).is_some(),
            Self::Names => parse_names(text).is_some(),
            Self::Hash => Digest::parse(text).is_some(),
            Self::YesNo => matches!(text, "yes" | "no"),
            Self::Cost => text.parse::<Cost>().is_ok(),
            Self::Path => is_valid_path(text),
            Self::Number(min, max) => text.parse().is_ok_and(|n| (min..=max).contains(&n)),
        }
    }
}

/// Parses names separated by commas. Returns `None` if a name is invalid or occurs twice.
pub(crate) fn parse_names(text: &str) -> Option<Vec<Name>> {
    let mut names = Vec::new();
    for part in text.split(',') {
        let name = Name::checked(part.trim())?;
        if names.contains(&name) {
            return None;
        }
        names.push(name);
    }
    Some(names)
}

/// Reports whether `text` is an absolute HTTP path without a query or fragment.
pub(crate) fn is_valid_path(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    text.starts_with('/') && text.chars().all(allowed)
}

/// A question of the questionnaire.
#[derive(Clone, Copy, Debug)]
pub struct Question {
    /// Key of the answer in the file of answers.
    pub key: &'static str,
    /// Text of the question.
    pub prompt: &'static str,
    /// Format of a valid answer.
    pub format: Format,
    /// Reason for the question and for the restrictions on its answer.
    pub rationale: &'static str,
    /// Default in the interactive questionnaire; empty for none.
    pub default: &'static str,
}

const fn question(
    key: &'static str,
    prompt: &'static str,
    format: Format,
    rationale: &'static str,
    default: &'static str,
) -> Question {
    Question {
        key,
        prompt,
        format,
        rationale,
        default,
    }
}

/// Questions of the section `[team]`.
pub const TEAM_QUESTIONS: &[Question] = &[
    question(
        "name",
        "What is the team called?",
        Format::Name,
        "the name is part of the URL to which callers submit jobs",
        "",
    ),
    question(
        "token_sha256",
        "What is the SHA-256 of the token that the team's callers present?",
        Format::Hash,
        "tokens are stored as hashes only, so that anyone may read the declarations",
        "",
    ),
    question(
        "importance",
        "How important is the team's work when all teams want more than there is?",
        Format::Number(1, 100),
        "free slots are divided in proportion to this number",
        "10",
    ),
    question(
        "response_weight",
        "Of 100 points between fast answers and few wasted messages, how many go to fast answers?",
        Format::Number(0, 100),
        "above 50, a second copy of a slow repeatable task may be started; otherwise waste is avoided",
        "50",
    ),
];

/// Questions of each section `[kind NAME]`.
pub const KIND_QUESTIONS: &[Question] = &[
    question(
        "usual_run_ms",
        "How many milliseconds does a task of this kind usually run?",
        Format::Number(1, 600_000),
        "placement uses it as the estimate until run times have been measured",
        "200",
    ),
    question(
        "longest_run_ms",
        "How many milliseconds does the longest task of this kind run?",
        Format::Number(1, 600_000),
        "deadlines should not be shorter",
        "1000",
    ),
    question(
        "repeatable",
        "May a task of this kind be started again when it is not known whether it ran?",
        Format::YesNo,
        "only repeatable tasks are started again after their attempt was lost",
        "no",
    ),
    question(
        "late_costs",
        "What does it cost when a task of this kind is late?",
        Format::Cost,
        "it is checked against the weight of response time",
        "annoyance",
    ),
    question(
        "lost_costs",
        "What does it cost when a task of this kind is lost?",
        Format::Cost,
        "it is checked against whether the kind is repeatable",
        "annoyance",
    ),
    question(
        "doubled_costs",
        "What does it cost when a task of this kind runs twice?",
        Format::Cost,
        "a kind of which a task that runs twice costs money cannot be repeatable",
        "money",
    ),
    question(
        "cores",
        "How many cores does a task of this kind need?",
        Format::Number(0, 1024),
        "tasks are placed only on endpoints that are large enough",
        "1",
    ),
    question(
        "memory_mb",
        "How many MiB of memory does a task of this kind need?",
        Format::Number(0, 16_000_000),
        "tasks are placed only on endpoints that are large enough",
        "256",
    ),
    question(
        "accelerators",
        "How many accelerators does a task of this kind need?",
        Format::Number(0, 64),
        "tasks are placed only on endpoints that have them",
        "0",
    ),
];

/// Questions of the section `[endpoints]`.
pub const ENDPOINT_QUESTIONS: &[Question] = &[
    question(
        "count",
        "How many endpoints serve the team?",
        Format::Number(1, 100_000),
        "count times slots is the capacity that quotas are checked against",
        "",
    ),
    question(
        "slots",
        "How many tasks may run at a time on one endpoint?",
        Format::Number(1, 1024),
        "an agent never runs more tasks at a time",
        "8",
    ),
    question(
        "connections",
        "How many connections does one endpoint accept?",
        Format::Number(1, 65_536),
        "an agent never opens more; each running task uses one",
        "64",
    ),
    question(
        "cores",
        "How many cores does one endpoint have?",
        Format::Number(1, 1024),
        "tasks that need more are rejected immediately",
        "",
    ),
    question(
        "memory_mb",
        "How many MiB of memory does one endpoint have?",
        Format::Number(1, 16_000_000),
        "tasks that need more are rejected immediately",
        "",
    ),
    question(
        "accelerators",
        "How many accelerators does one endpoint have?",
        Format::Number(0, 64),
        "tasks that need more are rejected immediately",
        "0",
    ),
    question(
        "per_rack",
        "How many endpoints stand in one rack?",
        Format::Number(1, 1024),
        "a rack can fail as a whole, with all its endpoints",
        "",
    ),
    question(
        "zones",
        "In which availability zones are the endpoints?",
        Format::Names,
        "an availability zone can fail as a whole; names must match the zones of the agents",
        "",
    ),
    question(
        "path",
        "Under which HTTP path do the endpoints take tasks?",
        Format::Path,
        "agents send each task to this path in a POST request",
        "/tasks",
    ),
];

/// Questions of the section `[limits]`.
pub const LIMIT_QUESTIONS: &[Question] = &[
    question(
        "running_tasks",
        "How many tasks of the team may run at a time?",
        Format::Number(1, 1_000_000),
        "the quota protects other teams from bursts of this team",
        "",
    ),
    question(
        "starts_per_second",
        "How many tasks of the team may start in one second?",
        Format::Number(1, 1_000_000),
        "the quota protects other teams from bursts of this team",
        "",
    ),
    question(
        "tasks_per_job",
        "How many tasks may one job have?",
        Format::Number(1, 970),
        "jobs above 970 tasks are not supported",
        "970",
    ),
    question(
        "deadline_ms",
        "After how many milliseconds is the answer of a task worthless?",
        Format::Number(1, 600_000),
        "a task without a result by then fails its job",
        "30000",
    ),
];

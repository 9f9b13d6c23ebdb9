//! Answers of a team to the questionnaire.

use std::time::Duration;

use crate::Endpoints;
use crate::Finding;
use crate::IniDoc;
use crate::Objective;
use crate::contradictions;
use crate::question::Cost;
use crate::question::ENDPOINT_QUESTIONS;
use crate::question::Format;
use crate::question::KIND_QUESTIONS;
use crate::question::LIMIT_QUESTIONS;
use crate::question::Question;
use crate::question::TEAM_QUESTIONS;
use sassafras_util::Digest;
use sassafras_util::Name;

/// Response weight, of 100, above which response time takes precedence over waste.
pub(crate) const EVEN_WEIGHT: u32 = 50;

/// Answers about one kind of task.
#[derive(Clone, Debug)]
pub struct KindAnswers {
    /// Name of the kind.
    pub name: Name,
    /// Usual run time.
    pub usual_run: Duration,
    /// Longest run time.
    pub longest_run: Duration,
    /// Whether a task may be started again when it is unknown whether it ran.
    pub repeatable: bool,
    /// Cost of a late task.
    pub late_cost: Cost,
    /// Cost of a lost task.
    pub lost_cost: Cost,
    /// Cost of a task that runs twice.
    pub doubled_cost: Cost,
    /// Cores required by a task.
    pub cores: u32,
    /// Memory required by a task, in MiB.
    pub memory_mb: u64,
    /// Accelerators required by a task.
    pub accelerators: u32,
}

/// Answers about limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest number of concurrent tasks.
    pub running_tasks: u32,
    /// Largest number of task starts per second.
    pub start_rate: u32,
    /// Largest number of tasks in a job.
    pub job_tasks: u32,
    /// Time after which the result of a task is worthless.
    pub deadline: Duration,
}

/// Answers of a team. Each is valid on its own, but they may contradict each other.
#[derive(Clone, Debug)]
pub struct Answers {
    /// Name of the team.
    pub name: Name,
    /// SHA-256 of the callers' token.
    pub token_digest: Digest,
    /// Weight of the team in the fair share of slots.
    pub importance: u32,
    /// Weight of response time, of 100. The remainder is the weight of avoiding wasted messages.
    pub response_weight: u32,
    /// Kinds of task, the default one first.
    pub kinds: Vec<KindAnswers>,
    /// Declared endpoints.
    pub endpoints: Endpoints,
    /// Limits of the team.
    pub limits: Limits,
}

/// Result of checking a file of answers.
#[derive(Debug)]
pub struct CheckResult {
    /// The answers, unless one is missing or invalid.
    pub answers: Option<Answers>,
    /// All errors and warnings: of answers in the order of the questions, then of unknown keys, then
    /// of contradictions.
    pub findings: Vec<Finding>,
}

impl CheckResult {
    /// Returns the answers if there are no errors.
    pub fn valid_answers(&self) -> Option<&Answers> {
        let has_errors = self.findings.iter().any(Finding::is_error);
        self.answers.as_ref().filter(|_| !has_errors)
    }
}

impl Answers {
    /// Checks the INI text of a file of answers. Findings refer to it as `file`.
    ///
    /// All errors are reported, not only the first.
    pub fn check(file: &str, text: &str) -> CheckResult {
        match IniDoc::parse(file, text) {
            Ok(doc) => Checker::new(file, doc).check(),
            Err(e) => CheckResult {
                answers: None,
                findings: vec![Finding::error(e.to_string())],
            },
        }
    }

    /// Returns the objective that takes precedence where response time and waste conflict.
    pub fn objective(&self) -> Objective {
        if self.response_weight > EVEN_WEIGHT {
            Objective::Response
        } else {
            Objective::Waste
        }
    }
}

/// A file of answers and the findings so far.
struct Checker {
    file: String,
    doc: IniDoc,
    findings: Vec<Finding>,
}

/// Error type of answers whose errors have been added to the findings.
struct Reported;

impl Checker {
    fn new(file: &str, doc: IniDoc) -> Self {
        Self {
            file: file.to_owned(),
            doc,
            findings: Vec::new(),
        }
    }

    fn check(mut self) -> CheckResult {
        let answers = self.read();
        self.report_unknown_keys();
        if let Some(answers) = &answers {
            let contradictions = contradictions::find(answers, &self.file, &self.doc);
            self.findings.extend(contradictions);
        }
        CheckResult {
            answers,
            findings: self.findings,
        }
    }

    /// Reads all answers, so that every error is reported. Returns `None` if there are errors.
    fn read(&mut self) -> Option<Answers> {
        let mut team = self.section("team", TEAM_QUESTIONS);
        let kinds = self.kinds();
        let mut endpoints = self.section(Endpoints::SECTION, ENDPOINT_QUESTIONS);
        let mut limits = self.section("limits", LIMIT_QUESTIONS);
        if self.findings.iter().any(Finding::is_error) {
            return None;
        }
        Some(Answers {
            name: Name::checked(&team.text())?,
            token_digest: Digest::parse(&team.text())?,
            importance: team.number()? as u32,
            response_weight: team.number()? as u32,
            kinds,
            endpoints: Endpoints::from_answers(|_| Ok::<_, Reported>(endpoints.text())).ok()?,
            limits: Limits {
                running_tasks: limits.number()? as u32,
                start_rate: limits.number()? as u32,
                job_tasks: limits.number()? as u32,
                deadline: Duration::from_millis(limits.number()?),
            },
        })
    }

    fn kinds(&mut self) -> Vec<KindAnswers> {
        let mut kinds = Vec::new();
        let mut has_section = false;
        for section in self.doc.sections() {
            let Some(name) = section.strip_prefix("kind ") else {
                continue;
            };
            has_section = true;
            let answers = self.section(&section, KIND_QUESTIONS);
            let Some(name) = Name::checked(name) else {
                self.findings.push(Finding::error(format!(
                    "{}: [{section}]: the kind's name is not valid; accepted: {}; \
                     why: callers specify the kind of each task by its name",
                    self.file,
                    Format::Name.accepted()
                )));
                continue;
            };
            kinds.extend(parse_kind(name, answers));
        }
        if !has_section {
            self.findings.push(Finding::error(format!(
                "{}: no section [kind NAME]; question: \"What kinds of task does the team submit?\"; \
                 accepted: one section [kind NAME] for each kind, the most frequent one first; \
                 why: the first kind is the default for tasks that specify none",
                self.file
            )));
        }
        kinds
    }

    /// Reads the answers of a section and reports each error.
    fn section(&mut self, section: &str, questions: &[Question]) -> Values {
        let texts = questions.iter().map(|q| self.answer(section, q));
        let texts: Vec<String> = texts.map(Option::unwrap_or_default).collect();
        Values(texts.into_iter())
    }

    /// Reads one answer. Reports an error and returns `None` if it is missing or invalid.
    fn answer(&mut self, section: &str, question: &Question) -> Option<String> {
        let text = self
            .doc
            .take_optional(section, question.key, "", |t| Some(t.to_owned()));
        let text = text.ok().flatten();
        if text.as_deref().is_some_and(|t| question.format.accepts(t)) {
            return text;
        }
        let line = self.doc.line(section, question.key);
        let place = line.map_or_else(|| self.file.clone(), |l| format!("{}:{l}", self.file));
        let problem = text.map_or("missing".to_owned(), |t| format!("{t:?} is not valid"));
        self.findings.push(Finding::error(format!(
            "{place}: [{section}] {}: {problem}; question: \"{}\"; accepted: {}; why: {}",
            question.key,
            question.prompt,
            question.format.accepted(),
            question.rationale
        )));
        None
    }

    fn report_unknown_keys(&mut self) {
        for (section, key, line) in self.doc.untaken_keys() {
            let questions = match section.as_str() {
                "team" => TEAM_QUESTIONS,
                "endpoints" => ENDPOINT_QUESTIONS,
                "limits" => LIMIT_QUESTIONS,
                s if s.starts_with("kind ") => KIND_QUESTIONS,
                _ => &[],
            };
            let keys: Vec<&str> = questions.iter().map(|q| q.key).collect();
            let accepted = if keys.is_empty() {
                "the sections [team], [kind NAME], [endpoints] and [limits]".to_owned()
            } else {
                keys.join(", ")
            };
            self.findings.push(Finding::error(format!(
                "{}:{line}: [{section}] {key}: not an answer to any question; accepted: {accepted}; \
                 why: a misspelt key would otherwise be ignored silently",
                self.file
            )));
        }
    }
}

/// Converts the valid answers of a section `[kind NAME]`. Returns `None` if one is invalid.
fn parse_kind(name: Name, mut answers: Values) -> Option<KindAnswers> {
    Some(KindAnswers {
        name,
        usual_run: Duration::from_millis(answers.number()?),
        longest_run: Duration::from_millis(answers.number()?),
        repeatable: answers.text() == "yes",
        late_cost: answers.text().parse().ok()?,
        lost_cost: answers.text().parse().ok()?,
        doubled_cost: answers.text().parse().ok()?,
        cores: answers.number()? as u32,
        memory_mb: answers.number()?,
        accelerators: answers.number()? as u32,
    })
}

/// Answers of one section in the order of its questions. Invalid ones are empty.
struct Values(std::vec::IntoIter<String>);

impl Values {
    /// Returns the next answer as text.
    fn text(&mut self) -> String {
        self.0.next().unwrap_or_default()
    }

    /// Returns the next answer as a number.
    fn number(&mut self) -> Option<u64> {
        self.text().parse().ok()
    }
}

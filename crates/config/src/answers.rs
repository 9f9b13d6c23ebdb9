//! A team's answers to the questionnaire.

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

/// A response weight above this gives response time more weight than waste.
pub(crate) const EVEN_WEIGHT: u32 = 50;

/// The answers about one kind of task.
#[derive(Clone, Debug)]
pub struct KindAnswers {
    /// The kind's name.
    pub name: Name,
    /// The usual run time.
    pub usual: Duration,
    /// The longest run time.
    pub longest: Duration,
    /// Whether a task may be started again when it is not known whether it ran.
    pub repeatable: bool,
    /// What a late task costs.
    pub late: Cost,
    /// What a lost task costs.
    pub lost: Cost,
    /// What a doubled task costs.
    pub doubled: Cost,
    /// Cores that a task needs.
    pub cores: u32,
    /// Memory that a task needs, in MiB.
    pub memory_mb: u64,
    /// Accelerators that a task needs.
    pub accelerators: u32,
}

/// The answers about limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Tasks that may run at a time.
    pub running: u32,
    /// Tasks that may start in a second.
    pub rate: u32,
    /// Tasks that a job may have.
    pub tasks: u32,
    /// When the answer of a task is worthless.
    pub deadline: Duration,
}

/// A team's answers, each of them valid on its own.
#[derive(Clone, Debug)]
pub struct Answers {
    /// The team's name.
    pub name: Name,
    /// SHA-256 of the callers' token.
    pub token_digest: Digest,
    /// The team's weight in the fair share of slots.
    pub importance: u32,
    /// The points of 100 that go to response time; the rest goes to few wasted messages.
    pub response: u32,
    /// The kinds of task, the default one first.
    pub kinds: Vec<KindAnswers>,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The limits.
    pub limits: Limits,
}

/// The result of checking a file of answers.
#[derive(Debug)]
pub struct CheckResult {
    /// The answers, unless one of them is missing or not valid.
    pub answers: Option<Answers>,
    /// Every fault and warning, in the order of the questions.
    pub findings: Vec<Finding>,
}

impl CheckResult {
    /// Returns the answers when no finding must be corrected.
    pub fn valid_answers(&self) -> Option<&Answers> {
        let faulty = self.findings.iter().any(Finding::is_error);
        self.answers.as_ref().filter(|_| !faulty)
    }
}

impl Answers {
    /// Checks the INI text of a file of answers; `file` names it in findings.
    ///
    /// Every fault is reported, not only the first.
    pub fn check(file: &str, text: &str) -> CheckResult {
        match IniDoc::parse(file, text) {
            Ok(doc) => Sheet::new(file, doc).check(),
            Err(e) => CheckResult {
                answers: None,
                findings: vec![Finding::error(e.to_string())],
            },
        }
    }

    /// Returns which measure decides where response time and waste conflict.
    pub fn objective(&self) -> Objective {
        if self.response > EVEN_WEIGHT {
            Objective::Response
        } else {
            Objective::Waste
        }
    }
}

/// A file of answers while it is read.
struct Sheet {
    file: String,
    doc: IniDoc,
    findings: Vec<Finding>,
}

/// A fault was recorded in the findings.
struct Faulty;

impl Sheet {
    fn new(file: &str, doc: IniDoc) -> Self {
        Self {
            file: file.to_owned(),
            doc,
            findings: Vec::new(),
        }
    }

    fn check(mut self) -> CheckResult {
        let answers = self.read();
        self.report_unknown();
        if let Some(answers) = &answers {
            let found = contradictions::find(answers, &self.file, &self.doc);
            self.findings.extend(found);
        }
        CheckResult {
            answers,
            findings: self.findings,
        }
    }

    /// Reads every answer, so that each fault is found, and only then gives up.
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
            response: team.number()? as u32,
            kinds,
            endpoints: Endpoints::from_answers(|_| Ok::<_, Faulty>(endpoints.text())).ok()?,
            limits: Limits {
                running: limits.number()? as u32,
                rate: limits.number()? as u32,
                tasks: limits.number()? as u32,
                deadline: Duration::from_millis(limits.number()?),
            },
        })
    }

    fn kinds(&mut self) -> Vec<KindAnswers> {
        let mut kinds = Vec::new();
        let mut named = false;
        for section in self.doc.sections() {
            let Some(name) = section.strip_prefix("kind ") else {
                continue;
            };
            named = true;
            let answers = self.section(&section, KIND_QUESTIONS);
            let Some(name) = Name::checked(name) else {
                self.findings.push(Finding::error(format!(
                    "{}: [{section}]: the kind's name is not valid; accepted: {}; why: callers name the kind in each task",
                    self.file,
                    Format::Name.accepted()
                )));
                continue;
            };
            kinds.extend(kind(name, answers));
        }
        if !named {
            self.findings.push(Finding::error(format!(
                "{}: no section [kind NAME]; question: \"What kinds of task does the team submit?\"; \
                 accepted: one section [kind NAME] for each kind, the most frequent one first; \
                 why: tasks that name no kind are of the first one",
                self.file
            )));
        }
        kinds
    }

    /// Reads the answers to the questions of a section, and records each fault.
    fn section(&mut self, section: &str, questions: &[Question]) -> Values {
        let texts = questions.iter().map(|q| self.answer(section, q));
        let texts: Vec<String> = texts.map(Option::unwrap_or_default).collect();
        Values(texts.into_iter())
    }

    fn answer(&mut self, section: &str, question: &Question) -> Option<String> {
        let raw = self
            .doc
            .take_optional(section, question.key, "", |t| Some(t.to_owned()));
        let raw = raw.ok().flatten();
        if raw.as_deref().is_some_and(|t| question.format.accepts(t)) {
            return raw;
        }
        let line = self.doc.line(section, question.key);
        let place = line.map_or_else(|| self.file.clone(), |l| format!("{}:{l}", self.file));
        let fault = raw.map_or("missing".to_owned(), |t| format!("{t:?} is not valid"));
        self.findings.push(Finding::error(format!(
            "{place}: [{section}] {}: {fault}; question: \"{}\"; accepted: {}; why: {}",
            question.key,
            question.prompt,
            question.format.accepted(),
            question.rationale
        )));
        None
    }

    fn report_unknown(&mut self) {
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
                 why: a misspelt answer would otherwise be left out unnoticed",
                self.file
            )));
        }
    }
}

fn kind(name: Name, mut answers: Values) -> Option<KindAnswers> {
    Some(KindAnswers {
        name,
        usual: Duration::from_millis(answers.number()?),
        longest: Duration::from_millis(answers.number()?),
        repeatable: answers.text() == "yes",
        late: answers.text().parse().ok()?,
        lost: answers.text().parse().ok()?,
        doubled: answers.text().parse().ok()?,
        cores: answers.number()? as u32,
        memory_mb: answers.number()?,
        accelerators: answers.number()? as u32,
    })
}

/// The answers of one section in the order of its questions, empty where one is faulty.
struct Values(std::vec::IntoIter<String>);

impl Values {
    fn text(&mut self) -> String {
        self.0.next().unwrap_or_default()
    }

    fn number(&mut self) -> Option<u64> {
        self.text().parse().ok()
    }
}

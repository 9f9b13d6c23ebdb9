//! The questionnaire, interactive or as a file of answers.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use dialoguer::Input;
use serde_json::json;

use crate::console::Console;
use crate::console::findings_json;
use crate::exit::Exit;
use crate::exit::Fault;
use crate::generate::check_file;
use sassafras_config::Answers;
use sassafras_config::CheckResult;
use sassafras_config::ENDPOINT_QUESTIONS;
use sassafras_config::Format;
use sassafras_config::KIND_QUESTIONS;
use sassafras_config::LIMIT_QUESTIONS;
use sassafras_config::Question;
use sassafras_config::TEAM_QUESTIONS;

/// The question that yields the sections `[kind NAME]`.
const KINDS: Question = Question {
    key: "kinds",
    prompt: "What kinds of task does the team submit, the most frequent one first?",
    format: Format::Names,
    rationale: "tasks that name no kind are of the first one",
    default: "",
};

/// Checks a file of answers, or asks on the terminal.
pub(crate) fn run(
    console: &mut Console<'_>,
    answers: Option<&Path>,
    out: Option<&Path>,
) -> Result<Exit, Fault> {
    if let Some(path) = answers {
        let checked = check_file(path)?;
        return report(console, &checked);
    }
    let text = compose(ask)?;
    let checked = Answers::check("answers", &text);
    if let Some(path) = out {
        fs::write(path, &text)?;
        report(console, &checked)
    } else {
        console.findings(&checked.findings)?;
        write!(console.out, "{text}")?;
        Ok(exit(&checked))
    }
}

fn report(console: &mut Console<'_>, checked: &CheckResult) -> Result<Exit, Fault> {
    console.findings(&checked.findings)?;
    let exit = exit(checked);
    let valid = exit == Exit::Done;
    let text = if valid {
        "answers are valid\n"
    } else {
        "answers are not valid\n"
    };
    console.result(
        text,
        &json!({"valid": valid, "findings": findings_json(&checked.findings)}),
    )?;
    Ok(exit)
}

fn exit(checked: &CheckResult) -> Exit {
    checked.valid_answers().map_or(Exit::Failed, |_| Exit::Done)
}

/// Asks every question and returns the file of answers; `ask` is given the section too.
///
/// # Errors
///
/// Fails when `ask` does.
pub fn compose(
    mut ask: impl FnMut(&str, &Question) -> Result<String, Fault>,
) -> Result<String, Fault> {
    let mut text = String::new();
    let mut section = |name: &str, questions: &[Question]| -> Result<(), Fault> {
        let gap = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{gap}[{name}]");
        for question in questions {
            let answer = ask(name, question)?;
            let _ = writeln!(text, "; {}\n{} = {answer}", question.prompt, question.key);
        }
        Ok(())
    };
    section("team", TEAM_QUESTIONS)?;
    section("endpoints", ENDPOINT_QUESTIONS)?;
    section("limits", LIMIT_QUESTIONS)?;
    let kinds = ask("kinds", &KINDS)?;
    for kind in kinds.split(',').map(str::trim) {
        let name = format!("kind {kind}");
        let _ = writeln!(text, "\n[{name}]");
        for question in KIND_QUESTIONS {
            let answer = ask(&name, question)?;
            let _ = writeln!(text, "; {}\n{} = {answer}", question.prompt, question.key);
        }
    }
    Ok(text)
}

fn ask(section: &str, question: &Question) -> Result<String, Fault> {
    let format = question.format;
    let reason = format!(
        "accepted: {}; why: {}",
        format.accepted(),
        question.rationale
    );
    let mut input = Input::<String>::new()
        .with_prompt(format!("[{section}] {}", question.prompt))
        .validate_with(|text: &String| {
            let valid = format.accepts(text.trim());
            if valid { Ok(()) } else { Err(reason.clone()) }
        });
    if !question.default.is_empty() {
        input = input.default(question.default.to_owned());
    }
    let answer = input.interact_text();
    let answer = answer.map_err(|e| Fault::new(Exit::Usage, format!("no answer: {e}")))?;
    Ok(answer.trim().to_owned())
}

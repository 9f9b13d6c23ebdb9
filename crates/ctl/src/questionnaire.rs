//! The questionnaire, answered on the terminal or in a file.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use dialoguer::Input;
use serde_json::json;

use crate::console::Console;
use crate::console::findings_json;
use crate::exit::CommandError;
use crate::exit::Exit;
use crate::generate::check_answers_file;
use sassafras_config::Answers;
use sassafras_config::CheckResult;
use sassafras_config::ENDPOINT_QUESTIONS;
use sassafras_config::Format;
use sassafras_config::KIND_QUESTIONS;
use sassafras_config::LIMIT_QUESTIONS;
use sassafras_config::Question;
use sassafras_config::TEAM_QUESTIONS;

/// Question for the names of the sections `[kind NAME]`.
const KIND_NAMES: Question = Question {
    key: "kinds",
    prompt: "What kinds of task does the team submit, the most frequent one first?",
    format: Format::Names,
    rationale: "tasks that name no kind are of the first one",
    default: "",
};

/// Checks a file of answers if one is given, and otherwise asks on the terminal.
pub(crate) fn run(
    console: &mut Console<'_>,
    answers: Option<&Path>,
    out: Option<&Path>,
) -> Result<Exit, CommandError> {
    if let Some(path) = answers {
        let checked = check_answers_file(path)?;
        return print_report(console, &checked);
    }
    let text = compose(prompt)?;
    let checked = Answers::check("answers", &text);
    if let Some(path) = out {
        fs::write(path, &text)?;
        print_report(console, &checked)
    } else {
        console.print_findings(&checked.findings)?;
        write!(console.out, "{text}")?;
        Ok(exit_of(&checked))
    }
}

fn print_report(console: &mut Console<'_>, checked: &CheckResult) -> Result<Exit, CommandError> {
    console.print_findings(&checked.findings)?;
    let exit = exit_of(checked);
    let valid = exit == Exit::Done;
    let text = if valid {
        "answers are valid\n"
    } else {
        "answers are not valid\n"
    };
    console.print_result(
        text,
        &json!({"valid": valid, "findings": findings_json(&checked.findings)}),
    )?;
    Ok(exit)
}

fn exit_of(checked: &CheckResult) -> Exit {
    checked.valid_answers().map_or(Exit::Failed, |_| Exit::Done)
}

/// Asks every question and returns the text of the file of answers.
///
/// `ask` receives the section and the question.
///
/// # Errors
///
/// Returns the first error of `ask`.
pub fn compose(
    mut ask: impl FnMut(&str, &Question) -> Result<String, CommandError>,
) -> Result<String, CommandError> {
    let mut text = String::new();
    let mut section = |name: &str, questions: &[Question]| -> Result<(), CommandError> {
        let separator = if text.is_empty() { "" } else { "\n" };
        let _ = writeln!(text, "{separator}[{name}]");
        for question in questions {
            let answer = ask(name, question)?;
            let _ = writeln!(text, "; {}\n{} = {answer}", question.prompt, question.key);
        }
        Ok(())
    };
    section("team", TEAM_QUESTIONS)?;
    section("endpoints", ENDPOINT_QUESTIONS)?;
    section("limits", LIMIT_QUESTIONS)?;
    let kinds = ask("kinds", &KIND_NAMES)?;
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

fn prompt(section: &str, question: &Question) -> Result<String, CommandError> {
    let format = question.format;
    let message = format!(
        "accepted: {}; why: {}",
        format.accepted(),
        question.rationale
    );
    let mut input = Input::<String>::new()
        .with_prompt(format!("[{section}] {}", question.prompt))
        .validate_with(|text: &String| {
            let valid = format.accepts(text.trim());
            if valid { Ok(()) } else { Err(message.clone()) }
        });
    if !question.default.is_empty() {
        input = input.default(question.default.to_owned());
    }
    let answer = input.interact_text();
    let answer = answer
        .map_err(|e| CommandError::new(Exit::Usage, format!("cannot read the answer: {e}")))?;
    Ok(answer.trim().to_owned())
}

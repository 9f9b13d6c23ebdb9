//! Generates declarations from files of questionnaire answers.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use crate::console::Console;
use crate::console::findings_json;
use crate::exit::CommandError;
use crate::exit::Exit;
use sassafras_config::Answers;
use sassafras_config::CheckResult;
use sassafras_config::Finding;
use sassafras_config::generate;
use sassafras_config::team_item;
use sassafras_util::Error;

pub(crate) fn check_answers_file(path: &Path) -> Result<CheckResult, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::from(e).context(&file))?;
    Ok(Answers::check(&file, &text))
}

/// Writes the declarations of all teams, or none of them if a file of answers is invalid.
pub(crate) fn run(
    console: &mut Console<'_>,
    answers: &[PathBuf],
    out: &Path,
) -> Result<Exit, CommandError> {
    let mut findings = Vec::new();
    let mut files = BTreeMap::new();
    for path in answers {
        let checked = check_answers_file(path)?;
        if let Some(answers) = checked.valid_answers() {
            let file = out.join(format!("{}.ini", team_item(&answers.name)));
            if files.insert(file, generate(answers)).is_some() {
                findings.push(Finding::error(format!(
                    "{}: [team] name: another file of answers is for team {}; \
                     accepted: one file for each team",
                    path.display(),
                    answers.name
                )));
            }
        }
        findings.extend(checked.findings);
    }
    let invalid = findings.iter().any(Finding::is_error);
    if invalid {
        files.clear();
    }
    for (file, text) in &files {
        write_file(file, text)?;
    }
    let names: Vec<String> = files.keys().map(|f| f.display().to_string()).collect();
    console.print_findings(&findings)?;
    let text: Vec<String> = names.iter().map(|n| format!("wrote {n}\n")).collect();
    console.print_result(
        text.concat(),
        &json!({"files": names, "findings": findings_json(&findings)}),
    )?;
    Ok(if invalid { Exit::Failed } else { Exit::Done })
}

fn write_file(file: &Path, text: &str) -> Result<(), Error> {
    let context = |e: std::io::Error| Error::from(e).context(file.display());
    if let Some(dir) = file.parent() {
        fs::create_dir_all(dir).map_err(context)?;
    }
    fs::write(file, text).map_err(context)
}

//! Declarations from files of answers.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde_json::json;

use crate::console::Console;
use crate::console::findings_json;
use crate::exit::Exit;
use crate::exit::Fault;
use sassafras_config::Answers;
use sassafras_config::CheckResult;
use sassafras_config::Finding;
use sassafras_config::generate;
use sassafras_config::team_item;
use sassafras_util::Error;

/// Reads and checks a file of answers.
pub(crate) fn check_file(path: &Path) -> Result<CheckResult, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| Error::from(e).context(&file))?;
    Ok(Answers::check(&file, &text))
}

/// Writes a declaration for each file of answers, or nothing when one of them has a fault.
pub(crate) fn run(
    console: &mut Console<'_>,
    answers: &[PathBuf],
    out: &Path,
) -> Result<Exit, Fault> {
    let mut findings = Vec::new();
    let mut files = BTreeMap::new();
    for path in answers {
        let checked = check_file(path)?;
        if let Some(answers) = checked.valid_answers() {
            let file = out.join(format!("{}.ini", team_item(&answers.name)));
            if files.insert(file, generate(answers)).is_some() {
                findings.push(Finding::error(format!(
                    "{}: [team] name: another file of answers is for team {} too; \
                     accepted: one file for each team",
                    path.display(),
                    answers.name
                )));
            }
        }
        findings.extend(checked.findings);
    }
    let faulty = findings.iter().any(Finding::is_error);
    if faulty {
        files.clear();
    }
    for (file, text) in &files {
        write(file, text)?;
    }
    let names: Vec<String> = files.keys().map(|f| f.display().to_string()).collect();
    console.findings(&findings)?;
    let text: Vec<String> = names.iter().map(|n| format!("wrote {n}\n")).collect();
    console.result(
        text.concat(),
        &json!({"files": names, "findings": findings_json(&findings)}),
    )?;
    Ok(if faulty { Exit::Failed } else { Exit::Done })
}

fn write(file: &Path, text: &str) -> Result<(), Error> {
    let context = |e: std::io::Error| Error::from(e).context(file.display());
    if let Some(dir) = file.parent() {
        fs::create_dir_all(dir).map_err(context)?;
    }
    fs::write(file, text).map_err(context)
}

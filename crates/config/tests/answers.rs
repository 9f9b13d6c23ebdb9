//! Validation of questionnaire answers.

use quickcheck::QuickCheck;

use sassafras_config::Answers;
use sassafras_config::ENDPOINT_QUESTIONS;
use sassafras_config::Finding;
use sassafras_config::KIND_QUESTIONS;
use sassafras_config::LIMIT_QUESTIONS;
use sassafras_config::Objective;
use sassafras_config::Question;
use sassafras_config::TEAM_QUESTIONS;

const VALID: &str = "\
[team]
name = demo
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
importance = 10
response_weight = 70

[kind lookup]
usual_run_ms = 100
longest_run_ms = 1000
repeatable = yes
late_costs = annoyance
lost_costs = annoyance
doubled_costs = nothing
cores = 1
memory_mb = 512
accelerators = 0

[endpoints]
count = 6
slots = 8
connections = 64
cores = 16
memory_mb = 32768
accelerators = 0
per_rack = 2
zones = a, b, c
path = /tasks

[limits]
running_tasks = 48
starts_per_second = 400
tasks_per_job = 100
deadline_ms = 5000
";

/// Returns the valid answers with the first `old` replaced by `new`.
fn with_replaced(old: &str, new: &str) -> String {
    let changed = VALID.replacen(old, new, 1);
    assert_ne!(changed, VALID, "{old:?} is not in the answers");
    changed
}

fn findings(text: &str) -> Vec<Finding> {
    Answers::check("answers.ini", text).findings
}

fn line_of(text: &str, line: &str) -> usize {
    let found = text.lines().position(|l| l == line);
    found.map_or_else(|| panic!("no line {line:?}"), |l| l + 1)
}

/// Guards against valid answers that are rejected or cause warnings.
#[test]
fn valid_answers_have_no_findings() {
    let checked = Answers::check("answers.ini", VALID);
    assert_eq!(checked.findings, []);
    let answers = checked.valid_answers().expect("valid answers are usable");
    assert_eq!(answers.objective(), Objective::Response);
    assert_eq!(answers.endpoints.capacity(), 48);
}

/// Guards against an invalid answer that is accepted, or whose error lacks the question, the line,
/// the accepted values or the rationale.
#[test]
fn each_invalid_answer_is_explained() {
    let cases = [
        ("name = demo", "name = a/b", &TEAM_QUESTIONS[0]),
        ("token_sha256 = 00", "token_sha256 = 0x", &TEAM_QUESTIONS[1]),
        ("importance = 10", "importance = 0", &TEAM_QUESTIONS[2]),
        ("importance = 10", "importance = 101", &TEAM_QUESTIONS[2]),
        ("importance = 10", "importance = high", &TEAM_QUESTIONS[2]),
        (
            "response_weight = 70",
            "response_weight = 101",
            &TEAM_QUESTIONS[3],
        ),
        (
            "response_weight = 70",
            "response_weight = -1",
            &TEAM_QUESTIONS[3],
        ),
        ("usual_run_ms = 100", "usual_run_ms = 0", &KIND_QUESTIONS[0]),
        (
            "usual_run_ms = 100",
            "usual_run_ms = 0.5",
            &KIND_QUESTIONS[0],
        ),
        (
            "longest_run_ms = 1000",
            "longest_run_ms = 600001",
            &KIND_QUESTIONS[1],
        ),
        ("repeatable = yes", "repeatable = true", &KIND_QUESTIONS[2]),
        (
            "late_costs = annoyance",
            "late_costs = much",
            &KIND_QUESTIONS[3],
        ),
        ("lost_costs = annoyance", "lost_costs =", &KIND_QUESTIONS[4]),
        (
            "doubled_costs = nothing",
            "doubled_costs = 5",
            &KIND_QUESTIONS[5],
        ),
        ("cores = 1", "cores = 1025", &KIND_QUESTIONS[6]),
        ("memory_mb = 512", "memory_mb = 512 MB", &KIND_QUESTIONS[7]),
        ("accelerators = 0", "accelerators = 65", &KIND_QUESTIONS[8]),
        ("count = 6", "count = 0", &ENDPOINT_QUESTIONS[0]),
        ("slots = 8", "slots = 2000", &ENDPOINT_QUESTIONS[1]),
        (
            "connections = 64",
            "connections = none",
            &ENDPOINT_QUESTIONS[2],
        ),
        ("cores = 16", "cores = 0", &ENDPOINT_QUESTIONS[3]),
        ("memory_mb = 32768", "memory_mb = 0", &ENDPOINT_QUESTIONS[4]),
        ("per_rack = 2", "per_rack = 0", &ENDPOINT_QUESTIONS[6]),
        ("zones = a, b, c", "zones = a, b, a", &ENDPOINT_QUESTIONS[7]),
        ("zones = a, b, c", "zones = a, , c", &ENDPOINT_QUESTIONS[7]),
        ("path = /tasks", "path = tasks", &ENDPOINT_QUESTIONS[8]),
        ("path = /tasks", "path = /tasks?x=1", &ENDPOINT_QUESTIONS[8]),
        (
            "running_tasks = 48",
            "running_tasks = 0",
            &LIMIT_QUESTIONS[0],
        ),
        (
            "starts_per_second = 400",
            "starts_per_second = 1e3",
            &LIMIT_QUESTIONS[1],
        ),
        (
            "tasks_per_job = 100",
            "tasks_per_job = 971",
            &LIMIT_QUESTIONS[2],
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 5s",
            &LIMIT_QUESTIONS[3],
        ),
    ];
    for (old, new, question) in cases {
        let text = with_replaced(old, new);
        let found = findings(&text);
        assert_eq!(found.len(), 1, "{new}: {found:?}");
        assert!(found[0].is_error(), "{new}: {found:?}");
        let line = text.lines().position(|l| l.starts_with(new));
        let line = line.expect("answer") + 1;
        let place = format!("answers.ini:{line}: [");
        assert!(found[0].text.starts_with(&place), "{new}: {found:?}");
        assert_explained(&found[0].text, question);
        let checked = Answers::check("answers.ini", &text);
        assert!(checked.valid_answers().is_none(), "{new} is not usable");
    }
}

fn assert_explained(text: &str, question: &Question) {
    let accepted = question.format.accepted();
    for part in [question.key, question.prompt, &accepted, question.rationale] {
        assert!(text.contains(part), "{part:?} is not in {text:?}");
    }
}

/// Guards against a missing answer that is silently replaced by a default.
#[test]
fn each_missing_answer_is_explained() {
    for (header, questions) in [
        ("[team]", TEAM_QUESTIONS),
        ("[kind lookup]", KIND_QUESTIONS),
        ("[endpoints]", ENDPOINT_QUESTIONS),
        ("[limits]", LIMIT_QUESTIONS),
    ] {
        for question in questions {
            let (before, section) = VALID.split_once(header).expect("section");
            let start = format!("\n{} = ", question.key);
            let (kept, rest) = section.split_once(&start).expect("answer");
            let (_, rest) = rest.split_once('\n').expect("end of line");
            let found = findings(&format!("{before}{header}{kept}\n{rest}"));
            assert_eq!(found.len(), 1, "{header} {}: {found:?}", question.key);
            let expected = format!("{header} {}: missing", question.key);
            assert!(found[0].text.contains(&expected), "{found:?}");
            assert_explained(&found[0].text, question);
        }
    }
}

/// Guards against a check that stops at the first error.
#[test]
fn all_errors_are_reported_at_once() {
    let text =
        with_replaced("importance = 10", "importance = 0").replace("path = /tasks", "path = tasks");
    let text = text.replace("deadline_ms", "dead_line_ms");
    let found = findings(&text);
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found.iter().all(Finding::is_error));
}

/// Guards against misspelt keys and sections that are ignored silently.
#[test]
fn unknown_answers_are_errors() {
    for (added, accepted) in [
        ("[limits]\ncolour = red", "running_tasks, starts_per_second"),
        ("[limit]\ncolour = red", "[kind NAME]"),
        ("[team]\ncolour = red", "response_weight"),
    ] {
        let text = if added.starts_with("[limit]") {
            format!("{VALID}\n{added}\n")
        } else {
            let (header, _) = added.split_once('\n').expect("two lines");
            with_replaced(header, added)
        };
        let found = findings(&text);
        assert_eq!(found.len(), 1, "{added}: {found:?}");
        let place = format!("answers.ini:{}: ", line_of(&text, "colour = red"));
        assert!(found[0].text.starts_with(&place), "{found:?}");
        assert!(found[0].text.contains(accepted), "{found:?}");
    }
}

/// Guards against files without a usable kind of task, and against malformed files.
#[test]
fn invalid_files_are_errors() {
    let start = VALID.find("[kind lookup]").expect("section");
    let end = VALID.find("[endpoints]").expect("section");
    let without_kind = format!("{}{}", &VALID[..start], &VALID[end..]);
    for (text, expected) in [
        (without_kind, "no section [kind NAME]"),
        (
            with_replaced("[kind lookup]", "[kind a/b]"),
            "the kind's name",
        ),
        (with_replaced("[limits]", "[limits"), "answers.ini"),
        (
            with_replaced("importance = 10", "importance = 10\nimportance = 11"),
            "given twice",
        ),
    ] {
        let found = findings(&text);
        assert!(
            found
                .iter()
                .any(|f| f.is_error() && f.text.contains(expected)),
            "{expected}: {found:?}"
        );
    }
}

/// Guards against contradictory answers from which a declaration is generated.
#[test]
fn contradictions_are_errors() {
    for (old, new, place) in [
        (
            "doubled_costs = nothing",
            "doubled_costs = money",
            "[kind lookup] repeatable",
        ),
        (
            "longest_run_ms = 1000",
            "longest_run_ms = 99",
            "[kind lookup] longest_run_ms",
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 99",
            "[limits] deadline_ms",
        ),
        ("cores = 1", "cores = 17", "[kind lookup] cores"),
        (
            "memory_mb = 512",
            "memory_mb = 32769",
            "[kind lookup] memory_mb",
        ),
        (
            "accelerators = 0",
            "accelerators = 1",
            "[kind lookup] accelerators",
        ),
        (
            "connections = 64",
            "connections = 7",
            "[endpoints] connections",
        ),
        (
            "zones = a, b, c",
            "zones = a, b, c, d, e, f, g",
            "[endpoints] zones",
        ),
        (
            "running_tasks = 48",
            "running_tasks = 49",
            "[limits] running_tasks",
        ),
    ] {
        let text = with_replaced(old, new);
        let checked = Answers::check("answers.ini", &text);
        let errors: Vec<_> = checked.findings.iter().filter(|f| f.is_error()).collect();
        assert_eq!(errors.len(), 1, "{new}: {errors:?}");
        assert!(errors[0].text.contains(place), "{new}: {errors:?}");
        assert!(errors[0].text.contains("accepted: "), "{new}: {errors:?}");
        assert!(errors[0].text.starts_with("answers.ini:"), "{errors:?}");
        assert!(checked.valid_answers().is_none(), "{new} is not usable");
    }
}

/// Guards against doubtful answers that cause no warning or prevent generation.
#[test]
fn doubtful_answers_are_warnings() {
    for (old, new, place) in [
        (
            "doubled_costs = nothing",
            "doubled_costs = annoyance",
            "[kind lookup] repeatable",
        ),
        (
            "repeatable = yes",
            "repeatable = no",
            "[kind lookup] repeatable",
        ),
        (
            "response_weight = 70\n\n[kind lookup]\nusual_run_ms = 100\nlongest_run_ms = 1000\nrepeatable = yes\nlate_costs = annoyance",
            "response_weight = 20\n\n[kind lookup]\nusual_run_ms = 100\nlongest_run_ms = 1000\nrepeatable = yes\nlate_costs = money",
            "[team] response_weight",
        ),
        (
            "deadline_ms = 5000",
            "deadline_ms = 999",
            "[limits] deadline_ms",
        ),
        ("cores = 1", "cores = 3", "[kind lookup] cores"),
        ("per_rack = 2", "per_rack = 3", "[endpoints] per_rack"),
        ("zones = a, b, c", "zones = a", "[endpoints] zones"),
        (
            "starts_per_second = 400",
            "starts_per_second = 481",
            "[limits] starts_per_second",
        ),
        (
            "starts_per_second = 400",
            "starts_per_second = 10",
            "[limits] tasks_per_job",
        ),
    ] {
        let checked = Answers::check("answers.ini", &with_replaced(old, new));
        let found = &checked.findings;
        assert_eq!(found.len(), 1, "{new}: {found:?}");
        assert!(!found[0].is_error(), "{new}: {found:?}");
        assert!(found[0].text.contains(place), "{new}: {found:?}");
        assert!(checked.valid_answers().is_some(), "{new} is usable");
    }
}

/// Guards against accepted answers that yield an invalid declaration, for example because the
/// bounds of a question and of its setting differ.
#[test]
fn usable_answers_always_yield_a_valid_declaration() {
    const VALUES: [&str; 16] = [
        "0",
        "1",
        "8",
        "50",
        "64",
        "100",
        "970",
        "1024",
        "65536",
        "100000",
        "600000",
        "1000000",
        "16000000",
        "yes",
        "nothing",
        "a, b.c, _d-",
    ];
    fn valid(edits: Vec<(u8, u8)>) -> bool {
        let mut lines: Vec<String> = VALID.lines().map(str::to_owned).collect();
        for (line, value) in edits.into_iter().take(4) {
            let count = lines.len();
            let line = &mut lines[usize::from(line) % count];
            if let Some((key, _)) = line.split_once(" = ") {
                *line = format!("{key} = {}", VALUES[usize::from(value) % VALUES.len()]);
            }
        }
        let checked = Answers::check("answers.ini", &lines.join("\n"));
        let Some(answers) = checked.valid_answers() else {
            return true;
        };
        let item = sassafras_config::team_item(&answers.name);
        let text = sassafras_config::generate(answers);
        sassafras_config::canonicalize("generated", &item, &text).is_ok()
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(4, 12))
        .tests(5_000)
        .quickcheck(valid as fn(Vec<(u8, u8)>) -> bool);
}

//! Generation, canonical form and validation of declarations.

use quickcheck::QuickCheck;

use sassafras_config::Answers;
use sassafras_config::Operators;
use sassafras_config::Team;
use sassafras_config::canonicalize;
use sassafras_config::generate;
use sassafras_config::is_known_item;

const TEAM: &str = "\
[team]
name = demo
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000
weight = 10
quota_slots = 48
quota_per_second = 400
max_tasks = 100
deadline_ms = 5000
objective = response

[kind lookup]
run_ms = 100
repeatable = true
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
zones = a, b
path = /tasks
";

/// Returns team, answers and declaration of each deployment in the repository.
fn deployments() -> Vec<(String, String, String)> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deployments");
    ["baia-serena", "ppgs"]
        .map(|team| {
            let read = |file: &str| {
                let path = format!("{root}/{team}/{file}");
                std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
            };
            let answers = read("answers.ini");
            let declaration = read(&format!("declarations/team/{team}.ini"));
            (team.to_owned(), answers, declaration)
        })
        .to_vec()
}

/// Guards against committed declarations that are out of date, and against output that is not
/// deterministic.
#[test]
fn deployments_are_generated_from_their_answers() {
    for (team, answers, declaration) in deployments() {
        let checked = Answers::check(&team, &answers);
        let answers = checked
            .valid_answers()
            .unwrap_or_else(|| panic!("{checked:?}"));
        let first = generate(answers);
        assert_eq!(first, declaration, "run `sassafrasctl generate` for {team}");
        assert_eq!(first, generate(answers));
    }
}

/// Guards against generated declarations that are invalid or differ from the answers.
#[test]
fn generated_declarations_contain_the_answers() {
    for (name, text, declaration) in deployments() {
        let checked = Answers::check(&name, &text);
        let answers = checked.valid_answers().expect("valid answers");
        let team = Team::parse(&name, &declaration).expect("valid declaration");
        assert_eq!(team.name, answers.name);
        assert_eq!(team.token_digest, answers.token_digest);
        assert_eq!(team.weight, answers.importance);
        assert_eq!(team.slots, answers.limits.running_tasks);
        assert_eq!(team.start_rate, answers.limits.start_rate);
        assert_eq!(team.max_tasks, answers.limits.job_tasks);
        assert_eq!(team.default_deadline, answers.limits.deadline);
        assert_eq!(team.objective, answers.objective());
        assert_eq!(team.endpoints.as_ref(), Some(&answers.endpoints));
        let kinds = |k: &sassafras_config::KindAnswers| (k.name.clone(), k.usual_run, k.repeatable);
        let expected: Vec<_> = answers.kinds.iter().map(kinds).collect();
        let kinds = |k: &sassafras_config::Kind| (k.name.clone(), k.run_time, k.repeatable);
        assert_eq!(team.kinds.iter().map(kinds).collect::<Vec<_>>(), expected);
    }
}

/// Guards against a setting without a comment that names the answer it is derived from.
#[test]
fn each_generated_setting_names_its_answer() {
    for (_, answers, declaration) in deployments() {
        let lines: Vec<&str> = declaration.lines().collect();
        let mut settings = 0;
        for pair in lines.windows(2) {
            if pair[1].starts_with(';') || !pair[1].contains(" = ") {
                continue;
            }
            settings += 1;
            let source = pair[0].strip_prefix("; answer: [").expect(pair[1]);
            let (section, key) = source.split_once("] ").expect(pair[0]);
            assert!(answers.contains(&format!("[{section}]")), "{}", pair[0]);
            let key = key.split([' ', ',']).next().expect("a key");
            assert!(answers.contains(&format!("\n{key} = ")), "{}", pair[0]);
        }
        assert!(settings > 20, "{settings} settings");
    }
}

/// Guards against a canonical form that depends on comments, spacing or key order.
#[test]
fn canonical_text_ignores_comments_spacing_and_order() {
    let text = canonicalize("demo.ini", "team/demo", TEAM).expect("valid");
    assert_eq!(text, TEAM);
    let spaced = TEAM
        .replace(" = ", "=")
        .replace("[team]", "; a comment\n\n[team]");
    let moved = spaced.replace("name=demo\n", "").replace(
        "objective=response\n",
        "objective=response\n# another\n name = demo\n",
    );
    assert_ne!(moved, spaced);
    for other in [spaced, moved] {
        assert_eq!(
            canonicalize("demo.ini", "team/demo", &other).expect("valid"),
            text
        );
    }
    for (_, _, declaration) in deployments() {
        let team = Team::parse("team", &declaration).expect("valid");
        let item = sassafras_config::team_item(&team.name);
        let once = canonicalize("team", &item, &declaration).expect("valid");
        assert!(!once.contains(';'), "{once}");
        assert_eq!(canonicalize("team", &item, &once).expect("valid"), once);
    }
}

/// Guards against settings that are lost or added in the canonical form of unknown items.
#[test]
fn canonical_text_of_unknown_items_keeps_settings() {
    let text = canonicalize("x.ini", "limits", "; c\n[b]\ny=2\n[a]\nx =  1\n").expect("valid");
    assert_eq!(text, "[b]\ny = 2\n[a]\nx = 1\n");
    // Followed by a line break, the backslash would continue the line.
    canonicalize("x.ini", "limits", "a = \\").expect_err("trailing backslash");
    assert!(!is_known_item("limits") && !is_known_item("team/a/b") && !is_known_item("team/"));
    assert!(is_known_item("operators") && is_known_item("team/demo"));
}

/// Guards against a canonical form that is not idempotent, and against panics on malformed text.
#[test]
fn canonical_text_is_stable_for_any_input() {
    fn stable(text: &str) -> bool {
        let Ok(once) = canonicalize("x.ini", "limits", text) else {
            return true;
        };
        canonicalize("x.ini", "limits", &once).is_ok_and(|twice| twice == once)
    }
    // Draws from characters with a meaning in INI files, which are rare in random text.
    fn stable_of_tokens(picks: Vec<u8>) -> bool {
        const TOKENS: [&str; 12] = [
            "[", "]", "=", ":", ";", "#", "\n", " ", "\"", "\\", "a", "b",
        ];
        let tokens = picks
            .into_iter()
            .map(|p| TOKENS[usize::from(p) % TOKENS.len()]);
        stable(&tokens.collect::<String>())
    }
    QuickCheck::new()
        .rng(quickcheck::Gen::from_size_and_seed(60, 11))
        .tests(20_000)
        .quickcheck(stable_of_tokens as fn(Vec<u8>) -> bool);
}

/// Guards against invalid settings that are accepted, or whose errors lack the location or the
/// accepted values.
#[test]
fn invalid_declarations_name_line_and_accepted_values() {
    for (old, new, expected) in [
        ("name = demo", "name = a b", "demo.ini:2: [team] name"),
        ("weight = 10", "weight = 0", "accepted: 1 to 100"),
        (
            "quota_slots = 48",
            "quota_slots = many",
            "[team] quota_slots",
        ),
        (
            "quota_per_second = 400\n",
            "",
            "[team] quota_per_second: missing",
        ),
        ("max_tasks = 100", "max_tasks = 971", "accepted: 1 to 970"),
        (
            "deadline_ms = 5000",
            "deadline_ms = 0",
            "[team] deadline_ms",
        ),
        (
            "objective = response",
            "objective = both",
            "accepted: response or waste",
        ),
        (
            "repeatable = true",
            "repeatable = yes",
            "accepted: true or false",
        ),
        ("[kind lookup]", "[kind a/b]", "name is not valid"),
        ("run_ms = 100", "run_ms = 100\nspeed = 1", "unknown key"),
        ("slots = 8", "slots = 0", "[endpoints] slots"),
        ("zones = a, b", "zones = a, a", "[endpoints] zones"),
        ("path = /tasks", "path = tasks", "[endpoints] path"),
        ("connections = 64\n", "", "[endpoints] connections: missing"),
        (
            "name = demo",
            "name = other",
            "differs from the item's name",
        ),
        ("name = demo", "name = demo\nname = demo", "given twice"),
    ] {
        let text = TEAM.replacen(old, new, 1);
        assert_ne!(text, TEAM, "{old:?}");
        let e = canonicalize("demo.ini", "team/demo", &text).expect_err(new);
        assert!(e.to_string().starts_with("demo.ini"), "{new}: {e}");
        assert!(e.to_string().contains(expected), "{new}: {e}");
    }
}

/// Guards against invalid declarations of operators that are accepted, which could lock operators
/// out or admit others.
#[test]
fn invalid_operators_are_rejected() {
    let token = "0".repeat(64);
    let valid = format!("[operator ana]\ntoken_sha256 = {token}\n");
    let operators = Operators::parse("operators.ini", &valid).expect("valid");
    assert_eq!(operators.to_ini(), valid);
    assert_eq!(
        canonicalize("operators.ini", "operators", &valid).expect("valid"),
        valid
    );
    for (text, expected) in [
        (String::new(), "no [operator NAME] section"),
        (
            "[operator ana]\ntoken_sha256 = 12\n".to_owned(),
            "operators.ini:2",
        ),
        (
            format!("[operator a/b]\ntoken_sha256 = {token}\n"),
            "unknown key",
        ),
        (format!("{valid}name = x\n"), "operators.ini:3"),
    ] {
        let e = Operators::parse("operators.ini", &text).expect_err(&text);
        assert!(e.to_string().contains(expected), "{text:?}: {e}");
    }
}

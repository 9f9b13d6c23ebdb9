//! Commands that need no running cluster: exit codes, declarations, settings and generated files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sassafras_config::Answers;
use sassafras_config::IniDoc;
use sassafras_ctl::Declarations;
use sassafras_ctl::Exit;
use sassafras_ctl::Settings;
use sassafras_ctl::compose;
use sassafras_runtime::CommonSettings;
use sassafras_util::Digest;

/// A temporary folder that is removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new(test: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("sassafrasctl-{}-{test}", std::process::id()));
        fs::create_dir_all(&dir).expect("create the test folder");
        Self(dir)
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::create_dir_all(path.parent().expect("file below the folder")).expect("create a folder");
        fs::write(&path, text).expect("write a file");
        path.display().to_string()
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

fn run(args: &[&str]) -> (Exit, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = ["sassafrasctl"].iter().chain(args);
    let exit = sassafras_ctl::run(args, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (exit, text(out), text(err))
}

fn deployment(team: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deployments")
        .join(team)
}

fn answers_file(team: &str) -> String {
    deployment(team).join("answers.ini").display().to_string()
}

/// Guards against usage errors that end with an exit code other than 2, which scripts would take
/// for another failure.
#[test]
fn bad_usage_ends_with_code_2() {
    for args in [
        &["frob"][..],
        &[],
        &["plan"],
        &["drain", "a/b"],
        &["generate", "--out", "x"],
        &["member", "add", "c1", "nowhere"],
        &["status", "--timeout-ms", "soon"],
        &["status"],
        &["status", "--settings", "/no/such/file.ini"],
    ] {
        let (exit, out, err) = run(args);
        assert_eq!(exit, Exit::Usage, "{args:?}: {err}");
        assert_eq!(out, "", "{args:?}");
        assert!(!err.is_empty(), "{args:?}");
    }
    assert_eq!(run(&["--help"]).0, Exit::Done);
    assert!(run(&["--version"]).1.starts_with("sassafrasctl "));
    let codes = [
        Exit::Done,
        Exit::Failed,
        Exit::Usage,
        Exit::Conflict,
        Exit::Unavailable,
    ];
    assert_eq!(codes.map(|c| c as u8), [0, 1, 2, 3, 4]);
}

/// Guards against tokens that repeat, and against a hash that does not match its token.
#[test]
fn tokens_are_random_and_match_their_hash() {
    let token = || {
        let (exit, out, _) = run(&["token", "--json"]);
        assert_eq!(exit, Exit::Done);
        let json: serde_json::Value = serde_json::from_str(&out).expect("JSON");
        let text = json["token"].as_str().expect("a token").to_owned();
        let digest = Digest::of(text.as_bytes()).to_string();
        assert_eq!(json["sha256"], digest.as_str());
        text
    };
    let (first, second) = (token(), token());
    assert_eq!(first.len(), 64);
    assert_ne!(first, second);
}

/// Guards against `generate` output that differs from the committed declarations.
#[test]
fn generate_writes_the_committed_declarations() {
    let dir = TempDir::new("generate");
    let out = dir.path("out");
    let (baia, ppgs) = (answers_file("baia-serena"), answers_file("ppgs"));
    for _ in 0..2 {
        let (exit, text, err) = run(&["generate", "--answers", &baia, &ppgs, "--out", &out]);
        assert_eq!(exit, Exit::Done, "{err}");
        assert_eq!(text.lines().count(), 2, "{text}");
        for team in ["baia-serena", "ppgs"] {
            let file = format!("team/{team}.ini");
            let committed = deployment(team).join("declarations").join(&file);
            assert_eq!(
                fs::read(Path::new(&out).join(&file)).expect("generated"),
                fs::read(committed).expect("committed")
            );
        }
    }
    let declarations = Declarations::read(Path::new(&out)).expect("readable");
    assert_eq!(declarations.findings, []);
    let names: Vec<_> = declarations.items.keys().collect();
    assert_eq!(names, ["team/baia-serena", "team/ppgs"]);
}

/// Guards against committed folders of declarations that `apply` refuses.
#[test]
fn deployments_can_be_applied() {
    for team in ["baia-serena", "ppgs"] {
        let declarations =
            Declarations::read(&deployment(team).join("declarations")).expect("readable");
        assert_eq!(declarations.findings, []);
        let names: Vec<_> = declarations.items.keys().cloned().collect();
        assert_eq!(names, ["operators".to_owned(), format!("team/{team}")]);
    }
}

/// Guards against declarations generated from invalid answers, and against two files of answers
/// for one team.
#[test]
fn generate_writes_nothing_if_an_answer_is_invalid() {
    let dir = TempDir::new("invalid");
    let out = dir.path("out");
    let good = answers_file("ppgs");
    let text = fs::read_to_string(&good).expect("answers");
    let bad = dir.file(
        "bad.ini",
        &text.replace("importance = 10", "importance = 0"),
    );
    for (second, expected) in [(&bad, "How important"), (&good, "another file of answers")] {
        let (exit, text, err) = run(&["generate", "--answers", &good, second, "--out", &out]);
        assert_eq!(exit, Exit::Failed);
        assert_eq!(text, "");
        assert!(err.contains(expected), "{err}");
        assert!(!Path::new(&out).exists());
    }
    assert_eq!(run(&["questionnaire", "--answers", &good]).0, Exit::Done);
    let (exit, _, err) = run(&["questionnaire", "--answers", &bad]);
    assert_eq!(exit, Exit::Failed);
    assert!(
        err.starts_with("error: ") && err.contains("bad.ini:6:"),
        "{err}"
    );
}

/// Guards against interactive answers that fail validation when read back.
#[test]
fn composed_answers_are_valid() {
    let text = compose(|section, question| {
        let answer = match (section, question.key) {
            ("team", "name") => "demo",
            ("kinds", _) => "first, second",
            (_, "token_sha256") => {
                return Ok("0".repeat(64));
            }
            ("endpoints", "count") => "4",
            ("endpoints", "cores") => "16",
            ("endpoints", "memory_mb") => "32768",
            (_, "per_rack") => "2",
            (_, "zones") => "a, b",
            (_, "running_tasks") => "32",
            (_, "starts_per_second") => "100",
            _ => question.default,
        };
        Ok(answer.to_owned())
    });
    let checked = Answers::check("answers", &text.expect("composed"));
    let answers = checked
        .valid_answers()
        .unwrap_or_else(|| panic!("{checked:?}"));
    let kinds: Vec<_> = answers.kinds.iter().map(|k| k.name.as_str()).collect();
    assert_eq!(kinds, ["first", "second"]);
}

/// Guards against invalid declarations that are sent, and against errors without file and key.
#[test]
fn invalid_declarations_are_not_sent() {
    let dir = TempDir::new("folder");
    let (exit, _, err) = run(&["plan", &dir.path("")]);
    assert_eq!(
        (exit, err.contains("no file *.ini")),
        (Exit::Failed, true),
        "{err}"
    );
    dir.file("team/demo.ini", "[team]\nname = demo\n");
    dir.file("a b.ini", "[x]\ny = 1\n");
    dir.file("notes.txt", "not an item");
    let (exit, _, err) = run(&["apply", &dir.path("")]);
    assert_eq!(exit, Exit::Failed);
    assert!(err.contains("a b.ini: not the name of an item"), "{err}");
    assert!(err.contains("[team] token_sha256: missing"), "{err}");
    assert!(err.contains("nothing sent"), "{err}");
}

/// Guards against invalid settings that are accepted, and against errors without line and key.
#[test]
fn settings_errors_name_line_and_accepted_values() {
    let dir = TempDir::new("settings");
    let key = dir.file("cluster.key", "0123456789abcdef\n");
    let token = dir.file("operator.token", "example-token\n");
    let short = dir.file("short.key", "0123");
    let words = dir.file("words.token", "two words\n");
    let valid = format!(
        "[operator]\nname = ana\ntoken_file = {token}\n\
         [cluster]\ncontrol = c1@127.0.0.1:7001, c2@127.0.0.1:7002\nkey_file = {key}\n"
    );
    let load = |text: &str| {
        let mut doc = IniDoc::parse("ctl.ini", text)?;
        Settings::load(&mut doc)
    };
    let settings = load(&valid).expect("valid");
    assert_eq!((settings.name.as_str(), settings.control.len()), ("ana", 2));
    for (old, new, expected) in [
        ("name = ana", "name = a b", "ctl.ini:2: [operator] name"),
        ("name = ana\n", "", "[operator] name: missing"),
        (
            "c1@127.0.0.1:7001",
            "127.0.0.1:7001",
            "accepted: name@IP:PORT",
        ),
        (
            "c1@127.0.0.1:7001",
            "c1@host:7001",
            "ctl.ini:5: [cluster] control",
        ),
        (&*key, "/no/such/file", "ctl.ini:6: [cluster] key_file"),
        (&*key, &*short, "fewer than 16 bytes"),
        (&*token, "/no/such/file", "ctl.ini:3: [operator] token_file"),
        (&*token, &*words, "has to hold one token"),
        (
            "name = ana",
            "name = ana\nnmae = ana",
            "ctl.ini:3: [operator] nmae: unknown key",
        ),
    ] {
        let e = load(&valid.replacen(old, new, 1)).expect_err(new);
        assert!(e.to_string().contains(expected), "{new}: {e}");
    }
}

/// Guards against example settings that fail to load.
#[test]
fn example_settings_are_valid() {
    let dir = TempDir::new("examples");
    let key = dir.file("cluster.key", "0123456789abcdef\n");
    let token = dir.file("operator.token", "example-token\n");
    for team in ["baia-serena", "ppgs"] {
        let answers = fs::read_to_string(answers_file(team)).expect("answers");
        for role in ["control", "entry", "agent", "operator"] {
            let file = deployment(team).join(format!("settings/{role}.ini"));
            let text = fs::read_to_string(&file).expect("settings");
            let text = text
                .replace("/etc/sassafras/cluster.key", &key)
                .replace("/etc/sassafras/operator.token", &token);
            let mut doc = IniDoc::parse(role, &text).expect("INI");
            if role == "operator" {
                Settings::load(&mut doc).unwrap_or_else(|e| panic!("{team}: {e}"));
                continue;
            }
            let common = CommonSettings::load(&mut doc).unwrap_or_else(|e| panic!("{team}: {e}"));
            assert_eq!(common.control.len(), 3);
            let zones = answers.lines().find(|l| l.starts_with("zones = "));
            assert!(zones.is_some_and(|z| z.contains(common.zone.as_str())));
        }
    }
}

/// Guards against an unreachable control group that is reported as another failure.
#[test]
fn unreachable_control_ends_with_code_4() {
    let dir = TempDir::new("unreachable");
    let key = dir.file("cluster.key", "0123456789abcdef\n");
    let token = dir.file("operator.token", "example-token\n");
    // Binding and closing a listener yields a port on which nothing listens.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    drop(listener);
    let settings = dir.file(
        "ctl.ini",
        &format!(
            "[operator]\nname = ana\ntoken_file = {token}\n[cluster]\ncontrol = c1@{addr}\nkey_file = {key}\n"
        ),
    );
    let (exit, out, err) = run(&["status", "--settings", &settings, "--timeout-ms", "200"]);
    assert_eq!((exit, &*out), (Exit::Unavailable, ""), "{err}");
}

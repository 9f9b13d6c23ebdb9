//! Tests of the agent's settings and of parsing announcements.

use std::time::Duration;

use sassafras_agent::Announcement;
use sassafras_agent::Settings;
use sassafras_config::IniDoc;
use sassafras_util::Error;

fn load(extra: &str) -> Result<Settings, Error> {
    let key = concat!(env!("CARGO_TARGET_TMPDIR"), "/agent-test.key");
    std::fs::write(key, "0123456789abcdef0123456789abcdef")?;
    let text = format!(
        "[node]\nname = a1\nzone = z1\nlisten = 127.0.0.1:7000\n\
         [cluster]\ncontrol = c1@127.0.0.1:7001\nkey_file = {key}\n\
         [endpoint]\nlisten = 127.0.0.1:7100\n{extra}"
    );
    let mut doc = IniDoc::parse("agent.ini", &text)?;
    let settings = Settings::load(&mut doc)?;
    doc.finish().map(|()| settings)
}

/// Guards against silently ignoring unknown or invalid settings, and against changed defaults.
#[test]
fn settings_are_checked() {
    let defaults = load("").expect("valid");
    assert_eq!(defaults.options.retention, Duration::from_mins(10));
    assert_eq!(defaults.drain_timeout, Duration::from_mins(1));
    let changed = load("[agent]\nresult_retention_ms = 5000\nqueue = 7\nresult_mb = 2\n");
    let changed = changed.expect("valid").options;
    assert_eq!(
        (changed.retention, changed.queue),
        (Duration::from_secs(5), 7)
    );
    assert_eq!(changed.result_bytes, 2 * 1024 * 1024);
    let unknown = load("[agent]\nqueues = 7\n").expect_err("unknown key");
    assert!(unknown.to_string().contains("[agent] queues"), "{unknown}");
    let range = load("[agent]\ndrain_ms = 9999999\n").expect_err("out of range");
    assert!(range.to_string().contains("drain_ms"), "{range}");
}

/// Guards against an announcement that would lead to a division by zero slots or to an invalid
/// request.
#[test]
fn announcements_are_checked() {
    let parse = |slots: u32, path: &str, kinds: &str| {
        let text = format!(
            r#"{{"address":"127.0.0.1:9","path":"{path}","slots":{slots},"connections":2,"kinds":{kinds},"state":"active"}}"#
        );
        Announcement::parse(text.as_bytes())
    };
    let good = parse(8, "/tasks", r#"["a"]"#).expect("valid");
    assert_eq!(good.capacity(), 2, "each running task needs a connection");
    for (slots, path, kinds, field) in [
        (0, "/tasks", "[]", "slots"),
        (8, "tasks", "[]", "path"),
        (8, "/a b", "[]", "path"),
        (8, "/tasks", r#"["a/b"]"#, "kinds"),
    ] {
        let e = parse(slots, path, kinds).expect_err(field);
        assert!(e.to_string().contains(field), "{e}");
    }
}

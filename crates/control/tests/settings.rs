//! Tests of the settings of a control member.

use std::sync::LazyLock;
use std::time::Duration;

use sassafras_config::IniDoc;
use sassafras_control::Settings;
use sassafras_util::Error;

/// A file with a cluster key, which is written once, since tests run side by side.
static KEY_FILE: LazyLock<&str> = LazyLock::new(|| {
    let path = concat!(env!("CARGO_TARGET_TMPDIR"), "/control-test.key");
    std::fs::write(path, "0123456789abcdef0123456789abcdef").unwrap();
    path
});

fn load(control: &str) -> Result<Settings, Error> {
    let key = *KEY_FILE;
    let text = format!(
        "[node]\nname = c1\nzone = z1\nlisten = 127.0.0.1:7001\n\
         [cluster]\ncontrol = c1@127.0.0.1:7001\nkey_file = {key}\n\
         [storage]\npath = /var/lib/control\n[control]\n{control}"
    );
    let mut doc = IniDoc::parse("control.ini", &text)?;
    let settings = Settings::load(&mut doc)?;
    doc.finish().map(|()| settings)
}

/// Guards against a member that is killed before it has left the group, because its settings allow more
/// time than its grace period.
#[test]
fn a_member_ends_before_its_grace_period() {
    let settings = load("grace_s = 6\n").expect("valid");
    assert!(settings.drain < Duration::from_secs(6));
    assert!(settings.drain > Duration::from_secs(4));
}

/// Guards against a claim that is deleted while tasks of its job run: control then says that the
/// job is unclaimed, and it is refused as not run or runs again.
#[test]
fn claims_outlast_the_longest_deadline() {
    let shortest = load("result_retention_ms = 1000\nclaim_retention_ms = 600000\n");
    let shortest = shortest.expect("valid");
    assert_eq!(shortest.claim_retention, Duration::from_mins(10));
    let shorter = load("result_retention_ms = 1000\nclaim_retention_ms = 599999\n");
    let e = shorter.expect_err("shorter than the longest deadline");
    assert!(e.to_string().contains("claim_retention_ms"), "{e}");
}

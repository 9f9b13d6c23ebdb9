//! Tests of the validation of configuration changes. It has to refuse those that no node could
//! parse, and those that no operator could revert.

use sassafras_control::canonicalize;
use sassafras_state::ConfigItems;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;

fn item(name: &str, text: &str) -> ConfigItem {
    ConfigItem {
        name: name.to_owned(),
        text: text.to_owned(),
        version: 0,
    }
}

fn change(upserts: Vec<ConfigItem>, removals: &[&str]) -> ConfigChange {
    ConfigChange {
        request_id: "r".to_owned(),
        upserts,
        removals: removals.iter().map(|r| (*r).to_owned()).collect(),
        ..ConfigChange::default()
    }
}

fn team(name: &str, extra: &str) -> String {
    format!(
        "[team]\nname={name}\ntoken_sha256={}\nweight=1\nquota_slots=8\nquota_per_second=9\n\
         max_tasks=10\ndeadline_ms=1000\nobjective=waste\n{extra}\
         [kind a]\nrun_ms=50\nrepeatable=false\ncores=1\nmemory_mb=1\naccelerators=0\n",
        "0".repeat(64)
    )
}

#[test]
fn invalid_changes_are_refused() {
    let refused = [
        change(vec![], &[]),
        change(vec![], &["operators"]),
        change(vec![item("operators", "")], &[]),
        change(vec![item("team/a", &team("b", ""))], &[]),
        change(vec![item("team/a", &team("a", "unknown=1\n"))], &[]),
        change(vec![item("limits", "[a]\nb = 1\n")], &["limits"]),
        change(vec![item("../x", "")], &[]),
        change(vec![item("limits", &"#".repeat(70_000))], &[]),
        ConfigChange {
            request_id: String::new(),
            ..change(vec![], &["limits"])
        },
    ];
    for change in refused {
        assert!(
            canonicalize(&ConfigItems::default(), change.clone()).is_err(),
            "{change:?}"
        );
    }
}

#[test]
fn items_are_stored_in_canonical_form() {
    let made = change(vec![item("team/a", &team("a", "# note\n"))], &["team/b"]);
    let stored = canonicalize(&ConfigItems::default(), made).unwrap();
    assert!(stored.upserts[0].text.contains("quota_slots = 8\n"));
    assert!(!stored.upserts[0].text.contains("note"));
    let again = canonicalize(&ConfigItems::default(), stored.clone()).unwrap();
    assert_eq!(again, stored);
}

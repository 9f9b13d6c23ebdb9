//! Changes and warnings of a plan.

use std::collections::BTreeMap;

use sassafras_config::Finding;
use sassafras_ctl::ChangeKind;
use sassafras_ctl::Plan;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::EndpointInfo;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::NodeStatus;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::StatusReply;

fn team(name: &str, quota: u32, kinds: &[&str], endpoints: bool) -> (String, String) {
    let mut text = format!(
        "[team]\nname = {name}\ntoken_sha256 = {}\nweight = 10\nquota_slots = {quota}\n\
         quota_per_second = 400\nmax_tasks = 100\ndeadline_ms = 5000\nobjective = waste\n",
        "0".repeat(64)
    );
    for kind in kinds {
        let kind = format!(
            "\n[kind {kind}]\nrun_ms = 100\nrepeatable = false\ncores = 4\nmemory_mb = 512\naccelerators = 0\n"
        );
        text.push_str(&kind);
    }
    if endpoints {
        text += "\n[endpoints]\ncount = 2\nslots = 8\nconnections = 64\ncores = 16\nmemory_mb = 32768\n\
                 accelerators = 0\nper_rack = 2\nzones = a\npath = /tasks\n";
    }
    let item = format!("team/{name}");
    let text = sassafras_config::canonicalize("test", &item, &text).expect("valid");
    (item, text)
}

fn declared_items(items: &[(String, String)]) -> BTreeMap<String, String> {
    items.iter().cloned().collect()
}

fn agent(slots: u32, cores: u32, state: NodeState, kinds: &[&str]) -> NodeStatus {
    let endpoint = EndpointInfo {
        slots,
        cores,
        memory_mb: 32768,
        kinds: kinds.iter().map(ToString::to_string).collect(),
        ..EndpointInfo::default()
    };
    NodeStatus {
        member: Some(Member {
            role: Role::Agent.into(),
            state: state.into(),
            endpoint: Some(endpoint),
            ..Member::default()
        }),
        ..NodeStatus::default()
    }
}

fn status(items: &[(String, String)], nodes: Vec<NodeStatus>) -> StatusReply {
    let item = |(name, text): &(String, String)| ConfigItem {
        name: name.clone(),
        text: text.clone(),
        version: 7,
    };
    StatusReply {
        config_version: 7,
        items: items.iter().map(item).collect(),
        nodes,
        ..StatusReply::default()
    }
}

fn finding_texts(findings: &[Finding]) -> Vec<&str> {
    findings.iter().map(|f| f.text.as_str()).collect()
}

/// Guards against a plan that shows changes when the declarations equal the items in force.
#[test]
fn equal_items_are_not_changes() {
    let items = [team("demo", 8, &["a"], false)];
    let nodes = vec![agent(8, 16, NodeState::Active, &[])];
    let plan = Plan::new(&declared_items(&items), &status(&items, nodes));
    assert_eq!(plan.changes, []);
    assert_eq!(plan.findings, []);
    assert_eq!(plan.to_string(), "version in force: 7\nno changes\n");
}

/// Guards against changes that are omitted, repeated or shown under the wrong item or setting.
#[test]
fn changes_are_shown_by_item_and_setting() {
    let old = [
        team("changed", 8, &["a", "b"], false),
        team("removed", 8, &["a"], false),
    ];
    let new = [
        team("added", 8, &["a"], false),
        team("changed", 9, &["a", "c"], false),
    ];
    let nodes = vec![agent(100, 16, NodeState::Active, &[])];
    let plan = Plan::new(&declared_items(&new), &status(&old, nodes));
    let changes: Vec<_> = plan.changes.iter().map(|c| (&*c.item, c.kind)).collect();
    let expected = [
        ("team/added", ChangeKind::Added),
        ("team/changed", ChangeKind::Changed),
        ("team/removed", ChangeKind::Removed),
    ];
    assert_eq!(changes, expected);
    assert_eq!(plan.removals(), ["team/removed"]);
    let settings = &plan.changes[1].settings;
    assert!(settings.contains(&"~ [team] quota_slots = 9 (was 8)".to_owned()));
    assert!(settings.contains(&"+ [kind c] run_ms = 100".to_owned()));
    assert!(settings.contains(&"- [kind b] run_ms = 100".to_owned()));
    assert_eq!(settings.len(), 11, "{settings:?}");
    let warnings = finding_texts(&plan.findings);
    assert_eq!(warnings.len(), 2, "{warnings:?}");
    assert!(warnings[0].starts_with("team/changed: kind b is removed"));
    assert!(warnings[1].starts_with("team/removed: removed"));
    let text = plan.to_string();
    assert!(text.contains("changed team/changed\n    ~ [team] quota_slots = 9 (was 8)\n"));
    let json = plan.to_json();
    assert_eq!(json["version"], 7);
    assert_eq!(json["changes"][2]["change"], "removed");
    assert_eq!(json["findings"][1]["severity"], "warning");
}

/// Guards against declarations without the item `operators` that revoke the access of every
/// operator.
#[test]
fn operators_are_not_removed_with_their_file() {
    let token = "0".repeat(64);
    let operators = format!("[operator ana]\ntoken_sha256 = {token}\n");
    let team = team("demo", 8, &["a"], false);
    let old = [("operators".to_owned(), operators.clone()), team.clone()];
    let nodes = vec![agent(8, 16, NodeState::Active, &[])];
    let plan = Plan::new(&declared_items(&[team]), &status(&old, nodes));
    assert_eq!(plan.changes, []);
    // The bootstrap operators are stored as written, with comments.
    let commented = format!("; a comment\n{operators}");
    let in_force = status(&[("operators".to_owned(), commented)], Vec::new());
    let declared = declared_items(&[("operators".to_owned(), operators)]);
    assert_eq!(Plan::new(&declared, &in_force).changes, []);
}

/// Guards against risky changes that are planned without a warning: quotas above the capacity,
/// kinds that no endpoint can run, and unknown items.
#[test]
fn risky_changes_are_warnings() {
    let demo = |quota| team("demo", quota, &["a"], false);
    let active = |slots| agent(slots, 16, NodeState::Active, &[]);
    let unknown = ("limits".to_owned(), "[a]\nb = 1\n".to_owned());
    let cases = [
        (
            vec![demo(9)],
            vec![active(8)],
            vec![
                "team/demo: quota_slots 9 is over the capacity of 8 announced slots",
                "all teams: quotas of 9 slots",
            ],
        ),
        (
            vec![demo(8), team("other", 8, &["a"], false)],
            vec![active(8)],
            vec!["all teams: quotas of 16 slots together"],
        ),
        (
            vec![demo(8)],
            vec![active(4), agent(8, 16, NodeState::Gone, &[])],
            vec![
                "team/demo: quota_slots 8 is over the capacity of 4",
                "all teams",
            ],
        ),
        (
            vec![demo(8)],
            vec![],
            vec!["team/demo: quota_slots 8 is over the capacity of 0 announced"],
        ),
        (vec![team("demo", 16, &["a"], true)], vec![], vec![]),
        (
            vec![team("demo", 17, &["a"], true)],
            vec![],
            vec!["team/demo: quota_slots 17 is over the capacity of 16 declared"],
        ),
        (
            vec![demo(8)],
            vec![agent(8, 3, NodeState::Active, &[])],
            vec!["team/demo: no announced endpoint can run kind a"],
        ),
        (
            vec![demo(8)],
            vec![agent(8, 16, NodeState::Active, &["b"])],
            vec!["team/demo: no announced endpoint can run kind a"],
        ),
        (
            vec![demo(8), unknown],
            vec![active(8)],
            vec!["limits: unknown item"],
        ),
    ];
    for (declared, nodes, expected) in cases {
        let plan = Plan::new(&declared_items(&declared), &status(&[], nodes));
        let warnings = finding_texts(&plan.findings);
        assert_eq!(warnings.len(), expected.len(), "{expected:?}: {warnings:?}");
        for (warning, start) in warnings.iter().zip(expected) {
            assert!(warning.starts_with(start), "{start:?}: {warnings:?}");
        }
        assert!(plan.findings.iter().all(|f| !f.is_error()));
    }
}

/// Guards against a changed token without a warning that callers with the old one are refused.
#[test]
fn changed_tokens_are_warnings() {
    let (item, text) = team("demo", 8, &["a"], false);
    let other = text.replace(&"0".repeat(64), &"1".repeat(64));
    let nodes = vec![agent(8, 16, NodeState::Active, &[])];
    let in_force = status(&[(item.clone(), text)], nodes);
    let plan = Plan::new(&declared_items(&[(item, other)]), &in_force);
    assert_eq!(plan.findings.len(), 1, "{:?}", plan.findings);
    assert!(plan.findings[0].text.contains("the token changes"));
}

//! Plans: the difference between declarations and the configuration in force.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;
use serde_json::json;

use crate::console::findings_json;
use sassafras_config::Finding;
use sassafras_config::IniDoc;
use sassafras_config::Kind;
use sassafras_config::Operators;
use sassafras_config::Team;
use sassafras_config::canonicalize;
use sassafras_config::is_known_item;
use sassafras_config::team_of_item;
use sassafras_wire::proto::EndpointInfo;
use sassafras_wire::proto::Member;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::StatusReply;

/// Kind of change to an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeKind {
    /// The item is not in force yet.
    Added,
    /// The text in force differs.
    Changed,
    /// The item is in force and no longer declared.
    Removed,
}

impl fmt::Display for ChangeKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Added => "added",
            Self::Changed => "changed",
            Self::Removed => "removed",
        })
    }
}

/// A change to one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Name of the item.
    pub item: String,
    /// Kind of the change.
    pub kind: ChangeKind,
    /// One line for each setting that is added (`+`), changed (`~`) or removed (`-`).
    pub settings: Vec<String>,
}

/// The difference between declarations and the configuration in force.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The version in force that the plan is based on.
    pub version: u64,
    /// The changes, ordered by item name.
    pub changes: Vec<Change>,
    /// Warnings about the effects of the plan.
    pub findings: Vec<Finding>,
}

impl Plan {
    /// Compares declared items with `status`, which must include the configuration and nodes.
    ///
    /// The item `operators` stays in force when it is not declared, since removing it would leave
    /// no operator who can change the configuration.
    pub fn new(declared: &BTreeMap<String, String>, status: &StatusReply) -> Self {
        let in_force = canonical_items(status);
        let mut changes = Vec::new();
        for (item, text) in declared {
            let old = in_force.get(item.as_str());
            changes.extend(diff_item(item, old.map(String::as_str), Some(text)));
        }
        for (item, text) in in_force {
            if !declared.contains_key(item) && item != Operators::ITEM {
                changes.extend(diff_item(item, Some(&text), None));
            }
        }
        changes.sort_by(|a, b| a.item.cmp(&b.item));
        let mut findings = Vec::new();
        warn_about_changes(&changes, &mut findings);
        warn_about_unknown_items(declared, &mut findings);
        warn_about_capacity(declared, status, &mut findings);
        Self {
            version: status.config_version,
            changes,
            findings,
        }
    }

    /// Returns the names of the items that are removed.
    pub fn removals(&self) -> Vec<String> {
        let removed = self
            .changes
            .iter()
            .filter(|c| c.kind == ChangeKind::Removed);
        removed.map(|c| c.item.clone()).collect()
    }

    /// Returns the plan as JSON.
    pub fn to_json(&self) -> Value {
        let change = |c: &Change| json!({"item": c.item, "change": c.kind.to_string(), "settings": c.settings});
        json!({
            "version": self.version,
            "changes": self.changes.iter().map(change).collect::<Vec<_>>(),
            "findings": findings_json(&self.findings),
        })
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "version in force: {}", self.version)?;
        if self.changes.is_empty() {
            return writeln!(f, "no changes");
        }
        for change in &self.changes {
            writeln!(f, "{} {}", change.kind, change.item)?;
            for setting in &change.settings {
                writeln!(f, "    {setting}")?;
            }
        }
        Ok(())
    }
}

/// Returns the items in force as canonical text.
///
/// The text in force may not be canonical: the bootstrap operators are stored as written, and an
/// item accepted by an earlier version may no longer be valid, in which case its text is kept.
fn canonical_items(status: &StatusReply) -> BTreeMap<&str, String> {
    let items = status.items.iter().map(|i| {
        let text = canonicalize(&i.name, &i.name, &i.text);
        (i.name.as_str(), text.unwrap_or_else(|_| i.text.clone()))
    });
    items.collect()
}

fn diff_item(item: &str, old: Option<&str>, new: Option<&str>) -> Option<Change> {
    let kind = match (old, new) {
        (None, Some(_)) => ChangeKind::Added,
        (Some(_), None) => ChangeKind::Removed,
        (Some(old), Some(new)) if old != new => ChangeKind::Changed,
        _ => return None,
    };
    let old = parse_settings(old.unwrap_or_default());
    let new = parse_settings(new.unwrap_or_default());
    let mut lines = Vec::new();
    for (key, value) in &new {
        match old.iter().find(|(k, _)| k == key) {
            None => lines.push(format!("+ {key} = {value}")),
            Some((_, old_value)) if old_value != value => {
                lines.push(format!("~ {key} = {value} (was {old_value})"));
            }
            Some(_) => {}
        }
    }
    for (key, value) in &old {
        if !new.iter().any(|(k, _)| k == key) {
            lines.push(format!("- {key} = {value}"));
        }
    }
    Some(Change {
        item: item.to_owned(),
        kind,
        settings: lines,
    })
}

/// Returns `[section] key` and value of each setting, or no settings if the text is not INI.
fn parse_settings(text: &str) -> Vec<(String, String)> {
    let Ok(mut doc) = IniDoc::parse("", text) else {
        return Vec::new();
    };
    let mut settings = Vec::new();
    for (section, key) in doc.keys() {
        let value = doc.take_optional(&section, &key, "", |t| Some(t.to_owned()));
        let value = value.ok().flatten().unwrap_or_default();
        settings.push((format!("[{section}] {key}"), value));
    }
    settings
}

fn warn_about_changes(changes: &[Change], findings: &mut Vec<Finding>) {
    for change in changes {
        let item = &change.item;
        if team_of_item(item).is_none() {
            continue;
        }
        if change.kind == ChangeKind::Removed {
            findings.push(Finding::warning(format!(
                "{item}: removed; the team's callers are refused (401) from then on"
            )));
        }
        if change.kind != ChangeKind::Changed {
            continue;
        }
        let token = |s: &String| s.starts_with("~ [team] token_sha256");
        if change.settings.iter().any(token) {
            findings.push(Finding::warning(format!(
                "{item}: the token changes; callers that present the old one are refused (401)"
            )));
        }
        for setting in &change.settings {
            let kind = setting.strip_prefix("- [kind ");
            if let Some((kind, _)) = kind.and_then(|s| s.split_once("] run_ms")) {
                findings.push(Finding::warning(format!(
                    "{item}: kind {kind} is removed; jobs that name it are refused"
                )));
            }
        }
    }
}

fn warn_about_unknown_items(declared: &BTreeMap<String, String>, findings: &mut Vec<Finding>) {
    for item in declared.keys().filter(|i| !is_known_item(i)) {
        findings.push(Finding::warning(format!(
            "{item}: unknown item; no process reads it; known: {}, team/NAME",
            Operators::ITEM
        )));
    }
}

/// Warns of quotas above the capacity and of kinds that no endpoint can run.
///
/// Uses the endpoints announced by active agents. While these have no slots, the quota of a team
/// is compared with the endpoints that the team declares, if any, and kinds are
/// not checked.
fn warn_about_capacity(
    declared: &BTreeMap<String, String>,
    status: &StatusReply,
    findings: &mut Vec<Finding>,
) {
    let members = status.nodes.iter().filter_map(|n| n.member.as_ref());
    let endpoints: Vec<&EndpointInfo> = members.filter_map(active_endpoint).collect();
    let announced: u64 = endpoints.iter().map(|e| u64::from(e.slots)).sum();
    let mut total_quota = 0;
    for (item, text) in declared {
        let Ok(team) = Team::parse(item, text) else {
            continue;
        };
        let quota = u64::from(team.slots);
        total_quota += quota;
        let (capacity, source) = match &team.endpoints {
            Some(endpoints) if announced == 0 => (endpoints.capacity(), "declared"),
            _ => (announced, "announced"),
        };
        if quota > capacity {
            findings.push(Finding::warning(format!(
                "{item}: quota_slots {quota} is over the capacity of {capacity} {source} slots"
            )));
        }
        for kind in &team.kinds {
            if announced > 0 && !endpoints.iter().any(|e| can_run(kind, e)) {
                findings.push(Finding::warning(format!(
                    "{item}: no announced endpoint can run kind {}",
                    kind.name
                )));
            }
        }
    }
    if announced > 0 && total_quota > announced {
        findings.push(Finding::warning(format!(
            "all teams: quotas of {total_quota} slots together are over the capacity of {announced} announced slots"
        )));
    }
}

fn active_endpoint(member: &Member) -> Option<&EndpointInfo> {
    let active = member.role() == Role::Agent && member.state() == NodeState::Active;
    member.endpoint.as_ref().filter(|_| active)
}

fn can_run(kind: &Kind, endpoint: &EndpointInfo) -> bool {
    let accepts_kind = endpoint.kinds.is_empty() || endpoint.kinds.iter().any(|k| *k == *kind.name);
    accepts_kind
        && kind.cores <= endpoint.cores
        && kind.memory_mb <= endpoint.memory_mb
        && kind.accelerators <= endpoint.accelerators
}

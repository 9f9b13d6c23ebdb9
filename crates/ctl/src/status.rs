//! Status of the cluster, and the audit trail.

use serde_json::Value;
use serde_json::json;

use crate::console::Console;
use crate::console::format_table;
use crate::exit::CommandError;
use crate::exit::Exit;
use crate::session::Session;
use crate::session::unexpected_reply;
use sassafras_wire::Body;
use sassafras_wire::proto::AuditQuery;
use sassafras_wire::proto::AuditRecord;
use sassafras_wire::proto::NodeStatus;
use sassafras_wire::proto::StatusReply;

/// Audit records per request; keeps replies far below the frame size limit.
const AUDIT_PAGE_RECORDS: u32 = 1000;

/// Shows the control group, the nodes and the items in force.
pub(crate) async fn show(
    console: &mut Console<'_>,
    session: &mut Session,
) -> Result<Exit, CommandError> {
    let status = session.status().await?;
    console.print_result(to_text(&status), &to_json(&status))?;
    Ok(Exit::Done)
}

fn to_text(status: &StatusReply) -> String {
    let row = |n: &NodeStatus| {
        let member = n.member.clone().unwrap_or_default();
        let load = n.load.unwrap_or_default();
        [
            node_name(n),
            lowercase(member.role().as_str_name().trim_start_matches("ROLE_")),
            member.zone.clone(),
            lowercase(member.state().as_str_name()),
            member.address.clone(),
            n.config_version.to_string(),
            heartbeat_age_ms(n).map_or("-".to_owned(), |ms| ms.to_string()),
            format!("{}/{}", load.running, load.slots),
        ]
    };
    let header = [
        "NODE", "ROLE", "ZONE", "STATE", "ADDRESS", "CONFIG", "AGE_MS", "RUNNING",
    ];
    let nodes: Vec<_> = status.nodes.iter().map(row).collect();
    let items: Vec<_> = status
        .items
        .iter()
        .map(|i| [i.name.clone(), i.version.to_string()])
        .collect();
    format!(
        "leader {}  term {}  commit {}  config {}  claims {}\nvoters {}\nlearners {}\nevacuated {}\n\n{}\n{}",
        or_none(&status.leader),
        status.term,
        status.commit,
        status.config_version,
        status.claims,
        or_none(&status.voters.join(", ")),
        or_none(&status.learners.join(", ")),
        or_none(&status.evacuated.join(", ")),
        format_table(header, &nodes),
        format_table(["ITEM", "VERSION"], &items)
    )
}

fn or_none(text: &str) -> &str {
    if text.is_empty() { "none" } else { text }
}

fn lowercase(text: &str) -> String {
    text.to_lowercase()
}

/// Returns the time since the node's last heartbeat, if the leader has received one.
fn heartbeat_age_ms(node: &NodeStatus) -> Option<u64> {
    (node.age_ms != u64::MAX).then_some(node.age_ms)
}

/// Returns the name of a node, or an empty string if its status has none.
pub(crate) fn node_name(node: &NodeStatus) -> String {
    let node_ref = node.member.as_ref().and_then(|m| m.node.as_ref());
    node_ref.map_or(String::new(), |n| n.name.clone())
}

fn to_json(status: &StatusReply) -> Value {
    let node = |n: &NodeStatus| {
        let member = n.member.clone().unwrap_or_default();
        let load = n.load.unwrap_or_default();
        json!({
            "name": node_name(n),
            "incarnation": member.node.as_ref().map_or(0, |r| r.incarnation),
            "role": lowercase(member.role().as_str_name().trim_start_matches("ROLE_")),
            "zone": member.zone,
            "state": lowercase(member.state().as_str_name()),
            "address": member.address,
            "config_version": n.config_version,
            "age_ms": heartbeat_age_ms(n),
            "load": {"slots": load.slots, "running": load.running, "granted": load.granted, "queued": load.queued},
        })
    };
    let items = status.items.iter();
    json!({
        "leader": status.leader,
        "term": status.term,
        "commit": status.commit,
        "config_version": status.config_version,
        "control_ms": status.control_ms,
        "claims": status.claims,
        "voters": status.voters,
        "learners": status.learners,
        "evacuated": status.evacuated,
        "nodes": status.nodes.iter().map(node).collect::<Vec<_>>(),
        "items": items.map(|i| json!({"name": i.name, "version": i.version, "text": i.text})).collect::<Vec<_>>(),
    })
}

/// Shows at most `limit` audit records with an index above `after`.
pub(crate) async fn audit(
    console: &mut Console<'_>,
    session: &mut Session,
    mut after: u64,
    limit: u32,
) -> Result<Exit, CommandError> {
    let mut records = Vec::<AuditRecord>::new();
    while (records.len() as u32) < limit {
        let query = AuditQuery {
            after,
            limit: AUDIT_PAGE_RECORDS.min(limit - records.len() as u32),
            credential: session.settings.token.clone(),
        };
        let reply = match session.request(Body::AuditQuery(query)).await? {
            Body::AuditReply(reply) => reply,
            other => return Err(unexpected_reply(&other)),
        };
        let Some(last) = reply.records.last().map(|r| r.index) else {
            break;
        };
        records.extend(reply.records);
        if last >= reply.last || last <= after {
            break;
        }
        after = last;
    }
    let row = |r: &AuditRecord| {
        [
            r.index.to_string(),
            r.control_ms.to_string(),
            r.actor.clone(),
            r.origin.clone(),
            r.action.clone(),
            r.detail.clone(),
        ]
    };
    let rows: Vec<_> = records.iter().map(row).collect();
    let header = ["INDEX", "CONTROL_MS", "ACTOR", "ORIGIN", "ACTION", "DETAIL"];
    let json = |r: &AuditRecord| {
        json!({
            "index": r.index, "control_ms": r.control_ms, "actor": r.actor,
            "origin": r.origin, "action": r.action, "detail": r.detail,
        })
    };
    let json: Value = records.iter().map(json).collect();
    console.print_result(format_table(header, &rows), &json)?;
    Ok(Exit::Done)
}

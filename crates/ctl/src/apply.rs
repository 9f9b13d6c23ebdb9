//! Plans and applies a folder of declarations.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::args::ApplyArgs;
use crate::commands::new_request_id;
use crate::console::Console;
use crate::declarations::Declarations;
use crate::exit::CommandError;
use crate::exit::Exit;
use crate::plan::Plan;
use crate::session::Session;
use crate::session::unexpected_reply;
use crate::status::node_name;
use sassafras_config::Finding;
use sassafras_util::Clock;
use sassafras_util::SystemClock;
use sassafras_wire::Body;
use sassafras_wire::proto::ConfigChange;
use sassafras_wire::proto::ConfigItem;
use sassafras_wire::proto::ConfigReply;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::NodeStatus;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::config_reply::Kind;

/// Interval at which the versions reported by nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads a folder of declarations. Returns an error if any of them is invalid.
pub(crate) fn read_declarations(
    console: &mut Console<'_>,
    dir: &std::path::Path,
) -> Result<Declarations, CommandError> {
    let declarations = Declarations::read(dir)?;
    console.print_findings(&declarations.findings)?;
    if declarations.findings.iter().any(Finding::is_error) {
        return Err(CommandError::failed(
            "the declarations are invalid; nothing sent",
        ));
    }
    Ok(declarations)
}

/// Shows how the declarations differ from the configuration in force.
pub(crate) async fn plan(
    console: &mut Console<'_>,
    session: &mut Session,
    declarations: &Declarations,
) -> Result<Exit, CommandError> {
    let plan = Plan::new(&declarations.items, &session.status().await?);
    console.print_findings(&plan.findings)?;
    console.print_result(&plan, &plan.to_json())?;
    Ok(Exit::Done)
}

/// Applies the declarations and waits until the nodes report the new version.
pub(crate) async fn run(
    console: &mut Console<'_>,
    session: &mut Session,
    declarations: &Declarations,
    args: &ApplyArgs,
) -> Result<Exit, CommandError> {
    let plan = Plan::new(&declarations.items, &session.status().await?);
    console.print_findings(&plan.findings)?;
    let id = args.request_id.clone().unwrap_or_else(new_request_id);
    let version = if plan.changes.is_empty() && args.request_id.is_none() {
        console.print_note("no changes; nothing sent")?;
        plan.version
    } else {
        console.print_note(format!(
            "request id {id}; if no reply arrives, resend with --request-id {id}"
        ))?;
        let change = new_change(session, declarations, &plan, args.base, &id);
        submit(console, session, &plan, change).await?
    };
    let nodes = wait_for_nodes(session, version, args.wait_ms).await;
    let nodes = nodes.map_err(|e| {
        let text =
            format!("version {version} is accepted; the versions of the nodes are unknown: {e}");
        CommandError::new(e.exit, text)
    })?;
    print_report(console, &plan, version, &id, &nodes)?;
    let behind = nodes.iter().filter(|n| !n.in_force).count();
    if behind == 0 || args.wait_ms.is_zero() {
        return Ok(Exit::Done);
    }
    Err(CommandError::new(
        Exit::Unavailable,
        format!(
            "{behind} nodes did not report version {version} in time; they take no work without a \
             lease, and receive the version when they renew it"
        ),
    ))
}

/// Sends a change and returns the version it was accepted as.
async fn submit(
    console: &mut Console<'_>,
    session: &mut Session,
    plan: &Plan,
    change: ConfigChange,
) -> Result<u64, CommandError> {
    let id = change.request_id.clone();
    let reply = match session.request(Body::ConfigChange(change)).await? {
        Body::ConfigReply(reply) => reply,
        other => return Err(unexpected_reply(&other)),
    };
    match reply.kind() {
        Kind::Accepted if reply.version <= plan.version && !plan.changes.is_empty() => {
            Err(reused_request_id(&id, reply.version, plan.version))
        }
        Kind::Accepted => Ok(reply.version),
        Kind::Conflict => {
            print_in_force(console, &reply)?;
            Err(CommandError::new(
                Exit::Conflict,
                format!(
                    "conflict: {}; run `plan` and apply again with a new request id",
                    reply.detail
                ),
            ))
        }
        kind => {
            let kind = kind.as_str_name().to_lowercase();
            Err(CommandError::failed(format!("{kind}: {}", reply.detail)))
        }
    }
}

fn print_report(
    console: &mut Console<'_>,
    plan: &Plan,
    version: u64,
    id: &str,
    nodes: &[NodeVersion],
) -> Result<(), CommandError> {
    let lines: String = nodes.iter().map(NodeVersion::to_text).collect();
    let text = format!("version {version} is accepted\n{lines}");
    let json = json!({
        "version": version,
        "request_id": id,
        "changes": plan.to_json()["changes"],
        "nodes": nodes.iter().map(NodeVersion::to_json).collect::<Vec<_>>(),
    });
    console.print_result(text, &json)?;
    Ok(())
}

/// Returns the error for a request id that was accepted before while the declarations differ from
/// the configuration in force. Success would hide that the declarations are not in force.
fn reused_request_id(id: &str, accepted: u64, in_force: u64) -> CommandError {
    CommandError::new(
        Exit::Conflict,
        format!(
            "request id {id} was accepted before as version {accepted}, and the folder differs from \
             version {in_force} in force: another change came later, or the id was used for another \
             folder; run `plan`"
        ),
    )
}

/// Returns the change to send.
///
/// It contains the declared items that differ. A resend of a change that is already in force
/// contains all items, since a change without items is invalid.
fn new_change(
    session: &Session,
    declarations: &Declarations,
    plan: &Plan,
    base: Option<u64>,
    id: &str,
) -> ConfigChange {
    let changed = |name: &String| plan.changes.iter().any(|c| c.item == *name);
    let upserts = declarations
        .items
        .iter()
        .filter(|(name, _)| plan.changes.is_empty() || changed(name));
    ConfigChange {
        base: base.unwrap_or(plan.version),
        request_id: id.to_owned(),
        operator: session.settings.name.to_string(),
        origin: String::new(),
        upserts: upserts
            .map(|(name, text)| ConfigItem {
                name: name.clone(),
                text: text.clone(),
                version: 0,
            })
            .collect(),
        removals: plan.removals(),
        credential: session.settings.token.clone(),
    }
}

/// Prints the items in force that the change conflicts with.
fn print_in_force(console: &mut Console<'_>, reply: &ConfigReply) -> Result<(), CommandError> {
    let items = reply.in_force.iter();
    let json = json!({
        "conflict": true,
        "version": reply.version,
        "in_force": items.map(|i| json!({"name": i.name, "version": i.version, "text": i.text})).collect::<Vec<_>>(),
    });
    let items = reply.in_force.iter();
    let items = items.map(|i| format!("{} (version {})\n{}", i.name, i.version, i.text));
    console.print_result(items.collect::<Vec<_>>().concat(), &json)?;
    Ok(())
}

/// Configuration version reported by a node.
struct NodeVersion {
    name: String,
    version: u64,
    state: NodeState,
    in_force: bool,
}

impl NodeVersion {
    /// Returns `None` for nodes that have no configuration in force: control members, and nodes
    /// in the state `GONE`.
    fn new(node: &NodeStatus, version: u64) -> Option<Self> {
        let member = node.member.as_ref()?;
        let has_config = matches!(member.role(), Role::Entry | Role::Agent);
        (has_config && member.state() != NodeState::Gone).then(|| Self {
            name: node_name(node),
            version: node.config_version,
            state: member.state(),
            in_force: node.config_version >= version,
        })
    }

    fn to_text(&self) -> String {
        let state = self.state.as_str_name().to_lowercase();
        let progress = if self.in_force { "in force" } else { "behind" };
        format!(
            "{}: {progress}, version {}, {state}\n",
            self.name, self.version
        )
    }

    fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "version": self.version,
            "state": self.state.as_str_name().to_lowercase(),
            "in_force": self.in_force,
        })
    }
}

/// Waits until every node reports the version or `timeout` has passed, and returns the versions
/// reported last.
async fn wait_for_nodes(
    session: &mut Session,
    version: u64,
    timeout: Duration,
) -> Result<Vec<NodeVersion>, CommandError> {
    let start = SystemClock.now();
    loop {
        let status = session.status().await?;
        let nodes = status.nodes.iter();
        let nodes: Vec<_> = nodes.filter_map(|n| NodeVersion::new(n, version)).collect();
        let waited = SystemClock.now().duration_since(start);
        if nodes.iter().all(|n| n.in_force) || waited >= timeout {
            return Ok(nodes);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

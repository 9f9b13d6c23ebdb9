//! Puts a folder of declarations in force.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::args::ApplyArgs;
use crate::commands::new_request_id;
use crate::console::Console;
use crate::exit::Exit;
use crate::exit::Fault;
use crate::folder::Folder;
use crate::plan::Plan;
use crate::session::Session;
use crate::session::unexpected;
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

/// How often nodes are asked for the version they have in force.
const POLL: Duration = Duration::from_millis(100);

/// Reads a folder of declarations, and fails when one of them has a fault.
pub(crate) fn read_folder(
    console: &mut Console<'_>,
    dir: &std::path::Path,
) -> Result<Folder, Fault> {
    let folder = Folder::read(dir)?;
    console.findings(&folder.findings)?;
    if folder.findings.iter().any(Finding::is_error) {
        return Err(Fault::failed("the declarations have faults; nothing sent"));
    }
    Ok(folder)
}

/// Shows the difference between a folder and what is in force.
pub(crate) async fn plan(
    console: &mut Console<'_>,
    session: &mut Session,
    folder: &Folder,
) -> Result<Exit, Fault> {
    let plan = Plan::new(&folder.items, &session.status().await?);
    console.findings(&plan.findings)?;
    console.result(&plan, &plan.to_json())?;
    Ok(Exit::Done)
}

/// Sends the change and waits until the nodes report it.
pub(crate) async fn run(
    console: &mut Console<'_>,
    session: &mut Session,
    folder: &Folder,
    args: &ApplyArgs,
) -> Result<Exit, Fault> {
    let plan = Plan::new(&folder.items, &session.status().await?);
    console.findings(&plan.findings)?;
    let id = args.request_id.clone().unwrap_or_else(new_request_id);
    let version = if plan.changes.is_empty() && args.request_id.is_none() {
        console.note("no changes; nothing sent")?;
        plan.version
    } else {
        console.note(format!(
            "request id {id}; after a lost answer, resend with --request-id {id}"
        ))?;
        let change = change(session, folder, &plan, args.base, &id);
        submit(console, session, &plan, change).await?
    };
    let nodes = wait(session, version, args.wait_ms).await;
    let nodes = nodes.map_err(|fault| {
        let text = format!("version {version} is accepted; what nodes have is not known: {fault}");
        Fault::new(fault.exit, text)
    })?;
    report(console, &plan, version, &id, &nodes)?;
    let behind = nodes.iter().filter(|n| !n.in_force).count();
    if behind == 0 || args.wait_ms.is_zero() {
        return Ok(Exit::Done);
    }
    Err(Fault::new(
        Exit::Unavailable,
        format!(
            "{behind} nodes did not report version {version} in time; they take no work without a \
             lease, and receive the version when they renew it"
        ),
    ))
}

/// Sends a change and returns the version that it was accepted as.
async fn submit(
    console: &mut Console<'_>,
    session: &mut Session,
    plan: &Plan,
    change: ConfigChange,
) -> Result<u64, Fault> {
    let id = change.request_id.clone();
    let reply = match session.ask(Body::ConfigChange(change)).await? {
        Body::ConfigReply(reply) => reply,
        other => return Err(unexpected(&other)),
    };
    match reply.kind() {
        Kind::Accepted if reply.version <= plan.version && !plan.changes.is_empty() => {
            Err(superseded(&id, reply.version, plan.version))
        }
        Kind::Accepted => Ok(reply.version),
        Kind::Conflict => {
            show_in_force(console, &reply)?;
            Err(Fault::new(
                Exit::Conflict,
                format!(
                    "conflict: {}; look at `plan` and apply again with a new request id",
                    reply.detail
                ),
            ))
        }
        kind => {
            let kind = kind.as_str_name().to_lowercase();
            Err(Fault::failed(format!("{kind}: {}", reply.detail)))
        }
    }
}

fn report(
    console: &mut Console<'_>,
    plan: &Plan,
    version: u64,
    id: &str,
    nodes: &[NodeVersion],
) -> Result<(), Fault> {
    let lines: String = nodes.iter().map(NodeVersion::text).collect();
    let text = format!("version {version} is accepted\n{lines}");
    let json = json!({
        "version": version,
        "request_id": id,
        "changes": plan.to_json()["changes"],
        "nodes": nodes.iter().map(NodeVersion::to_json).collect::<Vec<_>>(),
    });
    console.result(text, &json)?;
    Ok(())
}

/// Returns the fault for a request that was answered before, while the folder differs from what
/// is in force: reporting success would hide that the folder is not in force.
fn superseded(id: &str, answered: u64, in_force: u64) -> Fault {
    Fault::new(
        Exit::Conflict,
        format!(
            "request id {id} was accepted before as version {answered}, and the folder differs from \
             version {in_force} in force: another change came later, or the id was used for another \
             folder; look at `plan`"
        ),
    )
}

/// Returns the change to send: the declared items that differ, or all of them in a resend after
/// which none does, since a change without items is not valid.
fn change(
    session: &Session,
    folder: &Folder,
    plan: &Plan,
    base: Option<u64>,
    id: &str,
) -> ConfigChange {
    let changed = |name: &String| plan.changes.iter().any(|c| c.item == *name);
    let upserts = folder
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

/// Prints the items that another change put in force.
fn show_in_force(console: &mut Console<'_>, reply: &ConfigReply) -> Result<(), Fault> {
    let items = reply.in_force.iter();
    let json = json!({
        "conflict": true,
        "version": reply.version,
        "in_force": items.map(|i| json!({"name": i.name, "version": i.version, "text": i.text})).collect::<Vec<_>>(),
    });
    let items = reply.in_force.iter();
    let items = items.map(|i| format!("{} (version {})\n{}", i.name, i.version, i.text));
    console.result(items.collect::<Vec<_>>().concat(), &json)?;
    Ok(())
}

/// The version that a node reported.
struct NodeVersion {
    name: String,
    version: u64,
    state: NodeState,
    in_force: bool,
}

impl NodeVersion {
    /// Returns nothing for nodes that have no configuration in force: control members, and
    /// nodes that are gone.
    fn new(node: &NodeStatus, version: u64) -> Option<Self> {
        let member = node.member.as_ref()?;
        let serves = matches!(member.role(), Role::Entry | Role::Agent);
        (serves && member.state() != NodeState::Gone).then(|| Self {
            name: node_name(node),
            version: node.config_version,
            state: member.state(),
            in_force: node.config_version >= version,
        })
    }

    fn text(&self) -> String {
        let state = self.state.as_str_name().to_lowercase();
        let reached = if self.in_force { "in force" } else { "behind" };
        format!(
            "{}: {reached}, version {}, {state}\n",
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

/// Waits until every node reports the version, or `limit` has passed.
async fn wait(
    session: &mut Session,
    version: u64,
    limit: Duration,
) -> Result<Vec<NodeVersion>, Fault> {
    let start = SystemClock.now();
    loop {
        let status = session.status().await?;
        let nodes = status.nodes.iter();
        let nodes: Vec<_> = nodes.filter_map(|n| NodeVersion::new(n, version)).collect();
        let waited = SystemClock.now().duration_since(start);
        if nodes.iter().all(|n| n.in_force) || waited >= limit {
            return Ok(nodes);
        }
        tokio::time::sleep(POLL).await;
    }
}

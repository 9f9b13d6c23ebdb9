//! Event loops of the processes that serve best-effort jobs.
//!
//! They connect the state machines to the network and to the control group. The embedding
//! program implements the protocols of callers and endpoints, and exchanges typed messages with the
//! loops over channels.

mod agent;
mod entry;

pub use self::agent::AgentEvent;
pub use self::agent::AgentSettings;
pub use self::agent::run_agent;
pub use self::entry::CallerRequest;
pub use self::entry::EntrySettings;
pub use self::entry::EntryStatus;
pub use self::entry::run_entry;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sassafras_runtime::CommonSettings;
use sassafras_runtime::Context;
use sassafras_runtime::ControlClient;
use sassafras_runtime::LinkTiming;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use crate::session::Session;

/// Number of events handled before their effects are carried out.
const MAX_EVENT_BATCH: usize = 256;

/// Timing of the links between entries and agents. Pulses show that they work, at least every
/// [`IDLE_PULSE_INTERVAL`](crate::IDLE_PULSE_INTERVAL), so that keepalives are not needed as well.
const AGENT_LINK_TIMING: LinkTiming = LinkTiming {
    keepalive: Duration::from_millis(2_500),
    receive_timeout: Duration::from_secs(6),
};

/// Opens the network of a node and its session with control.
fn connect(common: &CommonSettings, ctx: &Context, role: Role) -> (Net, NetEvents, Session) {
    let node = NodeRef {
        name: common.name.clone(),
        incarnation: ctx.clock.unix_ms(),
    };
    let (net, events) = Net::with_agent_timing(
        node.clone(),
        role,
        common.zone.clone(),
        common.key.clone(),
        ctx.log.clone(),
        AGENT_LINK_TIMING,
    );
    let client = ControlClient::new(net.clone(), common.control.clone());
    let mut heartbeat = Heartbeat {
        node: Some((&node).into()),
        role: role.into(),
        zone: common.zone.to_string(),
        address: common.advertise.to_string(),
        ..Heartbeat::default()
    };
    heartbeat.set_state(NodeState::Active);
    let control: Vec<(Name, SocketAddr)> = common.control.clone();
    let session = Session::new(ctx.clock.now(), client, control, heartbeat, ctx.log.clone());
    (net, events, session)
}

fn time_until(now: Instant, deadlines: &[Instant]) -> Duration {
    let next = deadlines.iter().min().copied().unwrap_or(now);
    next.saturating_duration_since(now)
}

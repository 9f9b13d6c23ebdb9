//! The event loops of the processes that serve best-effort jobs.
//!
//! They connect the state machines with links and the control group. What callers and endpoints
//! speak is up to the user of these loops, who exchanges typed messages with them on channels.

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

use sassafras_config::IniDoc;
use sassafras_runtime::CommonSettings;
use sassafras_runtime::Context;
use sassafras_runtime::ControlClient;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_util::Error;
use sassafras_util::Name;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;

use crate::session::Session;

/// Accepted times to drain and to leave the balancer.
const DRAIN_MS: std::ops::RangeInclusive<u64> = 0..=600_000;
/// Longest drain unless the settings say otherwise.
const DEFAULT_DRAIN_MS: u64 = 60_000;
/// A process that will be killed at the end of a grace period ends this long before.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Takes the longest time from the request to stop to the end of the process: `drain_ms`, or
/// `grace_s`, the seconds after which the process is killed.
fn take_drain(doc: &mut IniDoc, section: &str) -> Result<Duration, Error> {
    let accepted = "seconds from 1 to 600";
    let grace = doc.take_optional(section, "grace_s", accepted, |t| {
        t.parse().ok().filter(|s| (1.0..=600.0).contains(s))
    })?;
    match grace {
        Some(seconds) => Ok(Duration::from_secs_f64(seconds).saturating_sub(GRACE_MARGIN)),
        None => doc.take_ms(section, "drain_ms", DRAIN_MS, DEFAULT_DRAIN_MS),
    }
}

/// Events handled before their effects are carried out.
const MAX_EVENTS: usize = 256;

/// Opens the links of a node and its session with control.
fn open(common: &CommonSettings, ctx: &Context, role: Role) -> (Net, NetEvents, Session) {
    let node = NodeRef {
        name: common.name.clone(),
        incarnation: ctx.clock.unix_ms(),
    };
    let (net, events) = Net::new(
        node.clone(),
        role,
        common.zone.clone(),
        common.key.clone(),
        ctx.log.clone(),
    );
    let client = ControlClient::new(net.clone(), common.control.clone());
    let mut beat = Heartbeat {
        node: Some((&node).into()),
        role: role.into(),
        zone: common.zone.to_string(),
        address: common.advertise.to_string(),
        ..Heartbeat::default()
    };
    beat.set_state(NodeState::Active);
    let control: Vec<(Name, SocketAddr)> = common.control.clone();
    let session = Session::new(ctx.clock.now(), client, control, beat, ctx.log.clone());
    (net, events, session)
}

fn until(now: Instant, deadlines: &[Instant]) -> Duration {
    let next = deadlines.iter().min().copied().unwrap_or(now);
    next.saturating_duration_since(now)
}

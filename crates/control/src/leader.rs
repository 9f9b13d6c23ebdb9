//! What only the leader keeps, from its election until it steps down.

use std::time::Duration;
use std::time::Instant;

use sassafras_state::State;
use sassafras_util::FastMap;
use sassafras_util::Name;

use crate::membership::JoinRequests;
use crate::routing::PendingConfirmation;
use crate::sessions::LEASE_DURATION;
use crate::sessions::Sessions;
use crate::shares::Quota;
use crate::shares::Shares;
use crate::time::ControlTime;
use crate::validate;

/// Pause between two commands that expire claims and record the time.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// A leader that could not answer heartbeats for this long may have caused the silence of
/// nodes itself. It is ten times the pause between two checks.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// The memory of a leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) time: ControlTime,
    pub(crate) sessions: Sessions,
    pub(crate) shares: Shares,
    quotas: FastMap<Name, Quota>,
    quotas_version: u64,
    /// Versions that every session was told about.
    pub(crate) pushed_config: u64,
    pub(crate) pushed_members: u64,
    pub(crate) pushed_routing: u64,
    /// Accepted routing tables whose confirmation waits until the entries have them in force.
    pub(crate) confirmations: Vec<PendingConfirmation>,
    /// Control hosts that asked to become members.
    pub(crate) join_requests: JoinRequests,
    next_expire: Instant,
    /// When this leader last knew that it could answer heartbeats.
    served_at: Instant,
}

impl LeaderState {
    /// Starts a leader that has applied everything its predecessors committed.
    pub(crate) fn new(now: Instant, host_ms: u64, max_advance: Duration, state: &State) -> Self {
        Self {
            time: ControlTime::new(now, state.control_ms(), host_ms, max_advance),
            sessions: Sessions::new(now, state.nodes()),
            shares: Shares::new(now, LEASE_DURATION),
            quotas: validate::team_quotas(state.items()),
            quotas_version: state.items().version(),
            pushed_config: state.items().version(),
            pushed_members: state.nodes().version(),
            pushed_routing: state.routing().version(),
            confirmations: Vec::new(),
            join_requests: JoinRequests::default(),
            next_expire: now,
            served_at: now,
        }
    }

    /// Grants shares under the quotas in force.
    pub(crate) fn grant_shares(
        &mut self,
        now: Instant,
        state: &State,
        heartbeat: &sassafras_wire::proto::Heartbeat,
    ) -> Vec<sassafras_wire::proto::Share> {
        if self.quotas_version != state.items().version() {
            self.quotas = validate::team_quotas(state.items());
            self.quotas_version = state.items().version();
        }
        let node = heartbeat.node.clone().unwrap_or_default();
        // Two incarnations of an entry may both be running, so each is charged by itself.
        let entry = Name::from(format!("{}#{}", node.name, node.incarnation));
        self.shares
            .grant(now, &entry, &heartbeat.demand, &self.quotas)
    }

    /// Notes that this leader can answer heartbeats. After a stall, or a time without its
    /// lease, the silence of nodes is not held against them.
    pub(crate) fn record_serving(&mut self, now: Instant) {
        if now.saturating_duration_since(self.served_at) > STALL_THRESHOLD {
            self.sessions.reset_silence(now);
        }
        self.served_at = now;
    }

    /// Reports, once per pause, that claims are to be expired.
    pub(crate) fn take_expire_due(&mut self, now: Instant) -> bool {
        let due = now >= self.next_expire;
        if due {
            self.next_expire = now + EXPIRE_INTERVAL;
        }
        due
    }
}

//! Volatile state of the leader, which lasts from its election until it steps down.

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

/// Interval between the commands that expire claims and commit the control time.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// After a stall of this length the silence of nodes may be due to the leader, which could not
/// answer their heartbeats. It is ten times the interval between checks.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// State that a leader keeps in memory and does not replicate.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) time: ControlTime,
    pub(crate) sessions: Sessions,
    pub(crate) shares: Shares,
    quotas: FastMap<Name, Quota>,
    quotas_version: u64,
    /// Versions up to which changes were pushed to all sessions.
    pub(crate) pushed_config: u64,
    pub(crate) pushed_members: u64,
    pub(crate) pushed_routing: u64,
    pub(crate) pushed_evacuations: u64,
    /// Committed routing changes that are confirmed once the entries apply them.
    pub(crate) confirmations: Vec<PendingConfirmation>,
    pub(crate) join_requests: JoinRequests,
    next_expire: Instant,
    /// When this leader was last able to answer heartbeats.
    served_at: Instant,
}

impl LeaderState {
    /// Creates the state of a leader that has applied all entries of earlier leaders.
    pub(crate) fn new(now: Instant, host_ms: u64, max_advance: Duration, state: &State) -> Self {
        Self {
            time: ControlTime::new(now, state.control_ms(), host_ms, max_advance),
            sessions: Sessions::new(now, state.nodes()),
            shares: Shares::new(now, LEASE_DURATION),
            quotas: validate::team_quotas(state.config()),
            quotas_version: state.config().version(),
            pushed_config: state.config().version(),
            pushed_members: state.nodes().version(),
            pushed_routing: state.routing().version(),
            pushed_evacuations: state.evacuations().version(),
            confirmations: Vec::new(),
            join_requests: JoinRequests::default(),
            next_expire: now,
            served_at: now,
        }
    }

    /// Grants the entry that sent the heartbeat its shares of the current quotas.
    pub(crate) fn grant_shares(
        &mut self,
        now: Instant,
        state: &State,
        heartbeat: &sassafras_wire::proto::Heartbeat,
    ) -> Vec<sassafras_wire::proto::Share> {
        if self.quotas_version != state.config().version() {
            self.quotas = validate::team_quotas(state.config());
            self.quotas_version = state.config().version();
        }
        let node = heartbeat.node.clone().unwrap_or_default();
        // Two incarnations of an entry may run at the same time, so each is charged separately.
        let entry = Name::from(format!("{}#{}", node.name, node.incarnation));
        self.shares
            .grant(now, &entry, &heartbeat.demand, &self.quotas)
    }

    /// Records that this leader can answer heartbeats. After a stall, or a period without its
    /// lease, the silence of all nodes counts from now.
    pub(crate) fn record_serving(&mut self, now: Instant) {
        if now.saturating_duration_since(self.served_at) > STALL_THRESHOLD {
            self.sessions.reset_silence(now);
        }
        self.served_at = now;
    }

    /// Returns whether an expiry command is due, and schedules the next one if so.
    pub(crate) fn take_expire_due(&mut self, now: Instant) -> bool {
        let due = now >= self.next_expire;
        if due {
            self.next_expire = now + EXPIRE_INTERVAL;
        }
        due
    }
}

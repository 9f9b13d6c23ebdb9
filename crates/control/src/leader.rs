//! What only the leader keeps, from its election until it steps down.

use std::time::Duration;
use std::time::Instant;

use sassafras_state::State;
use sassafras_util::FastMap;
use sassafras_util::Name;

use crate::membership::Joiners;
use crate::routing::Unconfirmed;
use crate::sessions::LEASE;
use crate::sessions::Sessions;
use crate::shares::Quota;
use crate::shares::Shares;
use crate::time::ControlTime;
use crate::validate;

/// Pause between two commands that expire claims and record the time.
const EXPIRE_PAUSE: Duration = Duration::from_secs(10);

/// A leader that could not answer heartbeats for this long may have caused the silence of
/// nodes itself. It is ten times the pause between two checks.
const STALL: Duration = Duration::from_secs(1);

/// The memory of a leader.
#[derive(Debug)]
pub(crate) struct Leader {
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
    pub(crate) unconfirmed: Vec<Unconfirmed>,
    /// Control hosts that asked to become members.
    pub(crate) joiners: Joiners,
    expire_at: Instant,
    /// When this leader last knew that it could answer heartbeats.
    served_at: Instant,
}

impl Leader {
    /// Starts a leader that has applied everything its predecessors committed.
    pub(crate) fn new(now: Instant, host_ms: u64, jump: Duration, state: &State) -> Self {
        Self {
            time: ControlTime::new(now, state.control_ms(), host_ms, jump),
            sessions: Sessions::new(now, state.nodes()),
            shares: Shares::new(now, LEASE),
            quotas: validate::quotas(state.config()),
            quotas_version: state.config().version(),
            pushed_config: state.config().version(),
            pushed_members: state.nodes().version(),
            pushed_routing: state.routing().version(),
            unconfirmed: Vec::new(),
            joiners: Joiners::default(),
            expire_at: now,
            served_at: now,
        }
    }

    /// Grants shares under the quotas in force.
    pub(crate) fn grant(
        &mut self,
        now: Instant,
        state: &State,
        beat: &sassafras_wire::proto::Heartbeat,
    ) -> Vec<sassafras_wire::proto::Share> {
        if self.quotas_version != state.config().version() {
            self.quotas = validate::quotas(state.config());
            self.quotas_version = state.config().version();
        }
        let node = beat.node.clone().unwrap_or_default();
        // Two incarnations of an entry may both be running, so each is charged by itself.
        let entry = Name::from(format!("{}#{}", node.name, node.incarnation));
        self.shares.grant(now, &entry, &beat.demand, &self.quotas)
    }

    /// Notes that this leader can answer heartbeats. After a stall, or a time without its
    /// lease, the silence of nodes is not held against them.
    pub(crate) fn serving(&mut self, now: Instant) {
        if now.saturating_duration_since(self.served_at) > STALL {
            self.sessions.excuse(now);
        }
        self.served_at = now;
    }

    /// Reports, once per pause, that claims are to be expired.
    pub(crate) fn expire_due(&mut self, now: Instant) -> bool {
        let due = now >= self.expire_at;
        if due {
            self.expire_at = now + EXPIRE_PAUSE;
        }
        due
    }
}

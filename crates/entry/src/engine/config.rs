//! Heartbeats, the lease, the configuration and the shares.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use sassafras_config::Team;
use sassafras_config::team_item;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::ConfigDelta;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::HeartbeatReply;
use sassafras_wire::proto::NodeRef;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::Share;
use sassafras_wire::proto::ShareDemand;

use crate::engine::Engine;
use crate::engine::Pending;
use crate::engine::team::TeamState;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between heartbeats while jobs wait for a larger share or no lease is held.
const URGENT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// An answer later than this renews no lease.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

impl Engine {
    /// Sends a heartbeat when one is due.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        let short = |t: &TeamState| t.declared && t.demand() > t.share && t.share < t.config.slots;
        let hurry = !self.has_lease(now) || self.teams.values().any(short);
        let pause = if hurry {
            URGENT_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let due = self.heartbeat_sent.is_none_or(|sent| now >= sent + pause);
        if !due {
            return;
        }
        self.heartbeat_sent = Some(now);
        let entries = self.entries.len().max(1) as u32;
        let leased = self.has_lease(now);
        let demand = |(name, team): (&Name, &TeamState)| ShareDemand {
            team: name.to_string(),
            // Control gives the share to others once the lease is over.
            held: if leased { team.share } else { 0 },
            // An idle entry asks for an even part, so that its next job need not wait for one.
            wanted: team
                .demand()
                .max(team.config.slots / entries)
                .min(team.config.slots),
        };
        let declared = self.teams.iter().filter(|(_, team)| team.declared);
        let heartbeat = Heartbeat {
            node: Some(NodeRef::from(&self.options.node)),
            role: Role::Entry.into(),
            zone: self.options.zone.to_string(),
            address: self.options.address.clone(),
            state: self.own_state().into(),
            config_version: self.config_version,
            members_version: self.members_version,
            demand: declared.map(demand).collect(),
            suspended: !leased,
            ..Heartbeat::default()
        };
        self.request_control(
            Pending::Heartbeat(now),
            HEARTBEAT_TIMEOUT,
            Body::Heartbeat(heartbeat),
        );
    }

    fn own_state(&self) -> NodeState {
        if self.draining {
            NodeState::Leaving
        } else {
            NodeState::Active
        }
    }

    pub(super) fn heartbeat_reply(&mut self, now: Instant, sent: Instant, reply: HeartbeatReply) {
        if let Some(delta) = &reply.config {
            self.apply_config(now, delta);
        }
        if let Some(delta) = reply.members {
            self.apply_members(now, delta);
        }
        if self.config_version < reply.config_version {
            // The lease covers only the configuration in force.
            return;
        }
        let until = sent + Duration::from_millis(reply.lease_ms);
        self.lease_until = Some(self.lease_until.map_or(until, |lease| lease.max(until)));
        // Shares of an older answer may have been given to others since.
        if self.shares_sent.is_none_or(|last| sent > last) {
            self.shares_sent = Some(sent);
            self.apply_shares(now, &reply.shares);
        }
        self.schedule_teams(now);
    }

    fn apply_shares(&mut self, now: Instant, shares: &[Share]) {
        for (name, team) in &mut self.teams {
            let share = shares.iter().find(|s| *s.team == **name);
            team.share = share.map_or(0, |s| s.slots);
            team.start_rate.set(now, share.map_or(0, |s| s.per_second));
        }
    }

    /// Applies a change of the configuration unless it is older than what is in force here.
    pub(super) fn apply_config(&mut self, now: Instant, delta: &ConfigDelta) {
        if delta.to <= self.config_version || delta.from > self.config_version {
            return;
        }
        if delta.from == 0 {
            let named = |name: &Name| delta.upserts.iter().any(|i| i.name == team_item(name));
            for (name, team) in &mut self.teams {
                team.declared = named(name);
            }
        }
        for removal in &delta.removals {
            let name = removal.strip_prefix(&team_item(""));
            if let Some(team) = name.and_then(|name| self.teams.get_mut(name)) {
                team.declared = false;
            }
        }
        for item in &delta.upserts {
            if item.name.starts_with(&team_item("")) {
                self.upsert_team(now, &item.name, &item.text);
            }
        }
        self.config_version = delta.to;
    }

    fn upsert_team(&mut self, now: Instant, item: &str, text: &str) {
        let Ok(decl) = Team::parse(item, text) else {
            // Control refuses such items, so this is one of a newer version of the system.
            metrics::counter!("entry_unreadable_items").increment(1);
            return;
        };
        let decl = Arc::new(decl);
        let team = self
            .teams
            .entry(decl.name.clone())
            .or_insert_with(|| TeamState::new(now, Arc::clone(&decl)));
        team.config = decl;
        team.declared = true;
    }
}

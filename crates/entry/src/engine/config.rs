//! Heartbeats, and the lease, configuration and quota shares from their replies.

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
/// Heartbeat interval while a team needs a larger share or this entry holds no lease.
const URGENT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A later reply does not renew the lease.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2500);

impl Engine {
    /// Sends a heartbeat when one is due.
    pub(super) fn send_heartbeat(&mut self, now: Instant) {
        let needs_share =
            |t: &TeamState| t.configured && t.demand() > t.share && t.share < t.config.slots;
        let urgent = !self.has_lease(now) || self.teams.values().any(needs_share);
        let interval = if urgent {
            URGENT_HEARTBEAT_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        let due = self
            .heartbeat_sent
            .is_none_or(|sent| now >= sent + interval);
        if !due {
            return;
        }
        self.heartbeat_sent = Some(now);
        let entries = self.entries.len().max(1) as u32;
        let leased = self.has_lease(now);
        let demand = |(name, team): (&Name, &TeamState)| ShareDemand {
            team: name.to_string(),
            // Control reassigns the share once the lease has expired.
            held: if leased { team.share } else { 0 },
            // An idle entry requests an equal share, so that its next job does not wait for one.
            wanted: team
                .demand()
                .max(team.config.slots / entries)
                .min(team.config.slots),
        };
        let teams = self.teams.iter().filter(|(_, team)| team.configured);
        let heartbeat = Heartbeat {
            node: Some(NodeRef::from(&self.options.node)),
            role: Role::Entry.into(),
            zone: self.options.zone.to_string(),
            address: self.options.address.clone(),
            state: self.local_state().into(),
            config_version: self.config_version,
            members_version: self.members_version,
            demand: teams.map(demand).collect(),
            suspended: !leased,
            ..Heartbeat::default()
        };
        self.request_control(
            Pending::Heartbeat(now),
            HEARTBEAT_TIMEOUT,
            Body::Heartbeat(heartbeat),
        );
    }

    fn local_state(&self) -> NodeState {
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
            // The lease is valid only with the current configuration.
            return;
        }
        let until = sent + Duration::from_millis(reply.lease_ms);
        self.lease_until = Some(self.lease_until.map_or(until, |lease| lease.max(until)));
        // Control may have reassigned the shares of an older reply since.
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
            team.start_limiter
                .set_rate(now, share.map_or(0, |s| s.per_second));
        }
    }

    /// Applies a configuration change, unless it is outdated or based on a version not yet seen.
    pub(super) fn apply_config(&mut self, now: Instant, delta: &ConfigDelta) {
        if delta.to <= self.config_version || delta.from > self.config_version {
            return;
        }
        if delta.from == 0 {
            let listed = |name: &Name| delta.upserts.iter().any(|i| i.name == team_item(name));
            for (name, team) in &mut self.teams {
                team.configured = listed(name);
            }
        }
        for removal in &delta.removals {
            let name = removal.strip_prefix(&team_item(""));
            if let Some(team) = name.and_then(|name| self.teams.get_mut(name)) {
                team.configured = false;
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
        let Ok(config) = Team::parse(item, text) else {
            // Control rejects invalid items, so this one comes from a newer software version.
            metrics::counter!("entry_unreadable_items").increment(1);
            return;
        };
        let config = Arc::new(config);
        let team = self
            .teams
            .entry(config.name.clone())
            .or_insert_with(|| TeamState::new(now, Arc::clone(&config)));
        team.config = config;
        team.configured = true;
    }
}

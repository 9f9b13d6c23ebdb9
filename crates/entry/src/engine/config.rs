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
use crate::engine::Request;
use crate::engine::team::TeamState;

const HEARTBEAT: Duration = Duration::from_secs(1);
/// Pause between heartbeats while jobs wait for a larger share or no lease is held.
const HURRIED_HEARTBEAT: Duration = Duration::from_millis(100);
/// An answer later than this renews no lease.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(2500);

impl Engine {
    /// Sends a heartbeat when one is due.
    pub(super) fn beat(&mut self, now: Instant) {
        let short = |t: &TeamState| t.declared && t.demand() > t.share && t.share < t.decl.slots;
        let hurry = !self.has_lease(now) || self.teams.values().any(short);
        let pause = if hurry { HURRIED_HEARTBEAT } else { HEARTBEAT };
        let due = self.heartbeat.is_none_or(|sent| now >= sent + pause);
        if !due {
            return;
        }
        self.heartbeat = Some(now);
        let entries = self.entries.len().max(1) as u32;
        let leased = self.has_lease(now);
        let demand = |(name, team): (&Name, &TeamState)| ShareDemand {
            team: name.to_string(),
            // Control gives the share to others once the lease is over.
            held: if leased { team.share } else { 0 },
            // An idle entry asks for an even part, so that its next job need not wait for one.
            wanted: team
                .demand()
                .max(team.decl.slots / entries)
                .min(team.decl.slots),
        };
        let declared = self.teams.iter().filter(|(_, team)| team.declared);
        let heartbeat = Heartbeat {
            node: Some(NodeRef::from(&self.options.node)),
            role: Role::Entry.into(),
            zone: self.options.zone.to_string(),
            address: self.options.address.clone(),
            state: self.own_state().into(),
            config_version: self.config,
            members_version: self.members,
            demand: declared.map(demand).collect(),
            suspended: !leased,
            ..Heartbeat::default()
        };
        self.request(
            Request::Heartbeat(now),
            HEARTBEAT_LIMIT,
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
            self.configure(now, delta);
        }
        if let Some(delta) = reply.members {
            self.membership(now, delta);
        }
        if self.config < reply.config_version {
            // The lease covers only the configuration in force.
            return;
        }
        let until = sent + Duration::from_millis(reply.lease_ms);
        self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
        // Shares of an older answer may have been given to others since.
        if self.renewed.is_none_or(|last| sent > last) {
            self.renewed = Some(sent);
            self.take_shares(now, &reply.shares);
        }
        self.serve_teams(now);
    }

    fn take_shares(&mut self, now: Instant, shares: &[Share]) {
        for (name, team) in &mut self.teams {
            let share = shares.iter().find(|s| *s.team == **name);
            team.share = share.map_or(0, |s| s.slots);
            team.rate.set_rate(now, share.map_or(0, |s| s.per_second));
        }
    }

    /// Applies a change of the configuration unless it is older than what is in force here.
    pub(super) fn configure(&mut self, now: Instant, delta: &ConfigDelta) {
        if delta.to <= self.config || delta.from > self.config {
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
                self.declare(now, &item.name, &item.text);
            }
        }
        self.config = delta.to;
    }

    fn declare(&mut self, now: Instant, item: &str, text: &str) {
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
        team.decl = decl;
        team.declared = true;
    }
}

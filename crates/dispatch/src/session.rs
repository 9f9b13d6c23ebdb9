//! A node's session with the control group: sends heartbeats, receives members and routes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::RequestId;
use sassafras_util::FastSet;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Evacuations;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::HeartbeatReply;
use sassafras_wire::proto::MemberAddress;
use sassafras_wire::proto::MembersDelta;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::RoutingTable;

/// Interval between two heartbeats. Control suspects a node after 1.5 s without one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a heartbeat without a reply fails, so that the next one may go to another
/// member. The next heartbeat replaces an unanswered one after `HEARTBEAT_INTERVAL`, which is less.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which an unanswered heartbeat is checked for resending.
const RESEND_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A change reported by the control group.
#[derive(Debug)]
pub enum SessionEvent {
    /// A new routing table is in force.
    Routing(RoutingTable),
    /// The availability zones that are evacuated now.
    Evacuated(FastSet<Name>),
    /// An agent with this address is a member.
    Agent(NodeRef, SocketAddr),
    /// An agent is no longer a member.
    AgentGone(Name),
}

/// A node's session with the control group.
#[derive(Debug)]
pub struct Session {
    client: ControlClient,
    log: Logger,
    heartbeat: Heartbeat,
    /// Control members from the settings, tried in addition to those that control reports.
    seeds: Vec<(Name, SocketAddr)>,
    voters: Vec<(Name, SocketAddr)>,
    pending: Option<RequestId>,
    next_heartbeat: Instant,
    resend_at: Instant,
    connected: bool,
}

impl Session {
    /// Creates a session that sends `heartbeat`.
    pub fn new(
        now: Instant,
        client: ControlClient,
        seeds: Vec<(Name, SocketAddr)>,
        heartbeat: Heartbeat,
        log: Logger,
    ) -> Self {
        Self {
            client,
            log,
            heartbeat,
            seeds,
            voters: Vec::new(),
            pending: None,
            next_heartbeat: now,
            resend_at: now,
            connected: false,
        }
    }

    /// Returns the client, to pass network events to and to send other requests.
    pub fn client(&mut self) -> &mut ControlClient {
        &mut self.client
    }

    /// Changes the node state that is reported.
    pub fn set_state(&mut self, now: Instant, state: NodeState) {
        self.heartbeat.set_state(state);
        self.next_heartbeat = now;
    }

    /// Replaces the control members from the settings.
    pub fn set_seeds(&mut self, seeds: Vec<(Name, SocketAddr)>) {
        self.seeds = seeds;
        self.merge_members();
    }

    /// Returns when [`Session::tick`] is due.
    pub fn deadline(&self) -> Instant {
        if self.pending.is_some() {
            self.next_heartbeat.min(self.resend_at)
        } else {
            self.next_heartbeat
        }
    }

    /// Sends the heartbeat and resends requests if they are due.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlEvent> {
        self.resend_at = now + RESEND_CHECK_INTERVAL;
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeat(now);
        }
        self.client.tick(now)
    }

    fn send_heartbeat(&mut self, now: Instant) {
        if let Some(id) = self.pending.take() {
            self.client.forget(id);
        }
        let body = Body::Heartbeat(self.heartbeat.clone());
        self.pending = Some(self.client.request(now, HEARTBEAT_TIMEOUT, body));
    }

    /// Handles an event of the control client, and returns the resulting changes.
    pub fn handle(&mut self, now: Instant, event: ControlEvent) -> Vec<SessionEvent> {
        match event {
            ControlEvent::Answer(id, Body::HeartbeatReply(reply)) => {
                if self.pending == Some(id) {
                    self.pending = None;
                }
                if !self.connected {
                    info!(self.log, "connected to control group"; "members" => reply.control.len());
                    self.connected = true;
                }
                self.apply_reply(now, reply)
            }
            ControlEvent::Failed(id, failure) if self.pending == Some(id) => {
                self.pending = None;
                if self.connected {
                    warn!(self.log, "heartbeat to control group failed"; "detail" => failure.detail);
                    self.connected = false;
                }
                Vec::new()
            }
            ControlEvent::Push(push) => {
                let mut events = self.apply_members(push.members);
                events.extend(self.apply_evacuations(push.evacuations));
                events.extend(self.apply_routing(now, push.routing));
                events
            }
            _ => Vec::new(),
        }
    }

    fn apply_reply(&mut self, now: Instant, reply: HeartbeatReply) -> Vec<SessionEvent> {
        let address = |m: MemberAddress| {
            let addr = m.address.parse().ok()?;
            Some((Name::from(m.name), addr))
        };
        self.voters = reply.control.into_iter().filter_map(address).collect();
        self.merge_members();
        let mut events = self.apply_members(reply.members);
        events.extend(self.apply_evacuations(reply.evacuations));
        events.extend(self.apply_routing(now, reply.routing));
        events
    }

    fn merge_members(&mut self) {
        let mut members = self.voters.clone();
        for seed in &self.seeds {
            if members.iter().all(|(name, _)| *name != seed.0) {
                members.push(seed.clone());
            }
        }
        self.client.set_members(members);
    }

    fn apply_evacuations(&mut self, evacuations: Option<Evacuations>) -> Option<SessionEvent> {
        let newer = |e: &Evacuations| e.version > self.heartbeat.evacuations_version;
        let evacuations = evacuations.filter(newer)?;
        info!(self.log, "evacuations applied"; "version" => evacuations.version,
            "before" => self.heartbeat.evacuations_version, "zones" => evacuations.zones.join(","));
        self.heartbeat.evacuations_version = evacuations.version;
        let zones = evacuations.zones.into_iter().map(Name::from);
        Some(SessionEvent::Evacuated(zones.collect()))
    }

    fn apply_routing(&mut self, now: Instant, table: Option<RoutingTable>) -> Option<SessionEvent> {
        let table = table.filter(|t| t.version > self.heartbeat.routing_version)?;
        info!(self.log, "routing table applied"; "version" => table.version,
            "before" => self.heartbeat.routing_version, "routes" => table.routes.len());
        self.heartbeat.routing_version = table.version;
        if self.heartbeat.role() == Role::Entry {
            // Control confirms an operator's change only after entries report this version.
            self.next_heartbeat = now;
        }
        Some(SessionEvent::Routing(table))
    }

    fn apply_members(&mut self, delta: Option<MembersDelta>) -> Vec<SessionEvent> {
        let Some(delta) = delta else {
            return Vec::new();
        };
        self.heartbeat.members_version = delta.to;
        let agents = delta.members.into_iter();
        let agents = agents.filter(|m| m.role() == Role::Agent);
        let change = |member: sassafras_wire::proto::Member| {
            let node = NodeRef::try_from(member.node.clone()).ok()?;
            if member.state() == NodeState::Gone {
                return Some(SessionEvent::AgentGone(node.name));
            }
            Some(SessionEvent::Agent(node, member.address.parse().ok()?))
        };
        agents.filter_map(change).collect()
    }
}

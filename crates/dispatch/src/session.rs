//! A node's session with the control group: heartbeats out, members and routes in.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use slog::Logger;
use slog::info;
use slog::warn;

use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::RequestId;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::HeartbeatReply;
use sassafras_wire::proto::MemberAddress;
use sassafras_wire::proto::MembersDelta;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::RoutingTable;

/// Pause between two heartbeats. Control suspects a node after 1.5 s without one.
const BEAT_PAUSE: Duration = Duration::from_millis(400);
/// A heartbeat without an answer for this long is given up, so that the next one may go to
/// another member.
const BEAT_LIMIT: Duration = Duration::from_millis(1_500);

/// Pause between two looks at an unanswered heartbeat.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// What the control group told a node.
#[derive(Debug)]
pub enum SessionEvent {
    /// A new routing table is in force.
    Routing(RoutingTable),
    /// An agent is a member, at an address.
    Agent(NodeRef, SocketAddr),
    /// An agent is no longer a member.
    AgentGone(Name),
}

/// A node's session with the control group.
#[derive(Debug)]
pub struct Session {
    client: ControlClient,
    log: Logger,
    beat: Heartbeat,
    /// Members that the settings name, which are tried beside those that control named.
    seeds: Vec<(Name, SocketAddr)>,
    voters: Vec<(Name, SocketAddr)>,
    pending: Option<RequestId>,
    next_beat: Instant,
    resend_at: Instant,
    linked: bool,
}

impl Session {
    /// Creates the session of a node that describes itself by `beat`.
    pub fn new(
        now: Instant,
        client: ControlClient,
        seeds: Vec<(Name, SocketAddr)>,
        beat: Heartbeat,
        log: Logger,
    ) -> Self {
        Self {
            client,
            log,
            beat,
            seeds,
            voters: Vec::new(),
            pending: None,
            next_beat: now,
            resend_at: now,
            linked: false,
        }
    }

    /// Returns the client, for events of links and requests of the user's own.
    pub fn client(&mut self) -> &mut ControlClient {
        &mut self.client
    }

    /// Changes the state that the node reports.
    pub fn set_state(&mut self, now: Instant, state: NodeState) {
        self.beat.set_state(state);
        self.next_beat = now;
    }

    /// Takes the control members that changed settings name.
    pub fn set_seeds(&mut self, seeds: Vec<(Name, SocketAddr)>) {
        self.seeds = seeds;
        self.merge_members();
    }

    /// Returns when [`Session::tick`] is due.
    pub fn deadline(&self) -> Instant {
        if self.pending.is_some() {
            self.next_beat.min(self.resend_at)
        } else {
            self.next_beat
        }
    }

    /// Sends the heartbeat that is due.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlEvent> {
        self.resend_at = now + RESEND_PAUSE;
        if now >= self.next_beat {
            self.next_beat = now + BEAT_PAUSE;
            self.send(now);
        }
        self.client.tick(now)
    }

    fn send(&mut self, now: Instant) {
        if let Some(ticket) = self.pending.take() {
            self.client.forget(ticket);
        }
        let body = Body::Heartbeat(self.beat.clone());
        self.pending = Some(self.client.request(now, BEAT_LIMIT, body));
    }

    /// Takes news of the control group, and returns what follows from it.
    pub fn handle(&mut self, now: Instant, event: ControlEvent) -> Vec<SessionEvent> {
        match event {
            ControlEvent::Answer(ticket, Body::HeartbeatReply(reply)) => {
                if self.pending == Some(ticket) {
                    self.pending = None;
                }
                if !self.linked {
                    info!(self.log, "control reached"; "members" => reply.control.len());
                    self.linked = true;
                }
                self.reply(now, reply)
            }
            ControlEvent::Failed(ticket, failure) if self.pending == Some(ticket) => {
                self.pending = None;
                if self.linked {
                    warn!(self.log, "control lost"; "detail" => failure.detail);
                    self.linked = false;
                }
                Vec::new()
            }
            ControlEvent::Push(push) => {
                let mut events = self.members(push.members);
                events.extend(self.routing(now, push.routing));
                events
            }
            _ => Vec::new(),
        }
    }

    fn reply(&mut self, now: Instant, reply: HeartbeatReply) -> Vec<SessionEvent> {
        let address = |m: MemberAddress| {
            let addr = m.address.parse().ok()?;
            Some((Name::from(m.name), addr))
        };
        self.voters = reply.control.into_iter().filter_map(address).collect();
        self.merge_members();
        let mut events = self.members(reply.members);
        events.extend(self.routing(now, reply.routing));
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

    fn routing(&mut self, now: Instant, table: Option<RoutingTable>) -> Option<SessionEvent> {
        let table = table.filter(|t| t.version > self.beat.routing_version)?;
        info!(self.log, "routing in force"; "version" => table.version,
            "before" => self.beat.routing_version, "routes" => table.routes.len());
        self.beat.routing_version = table.version;
        // The operator's confirmation waits for this report.
        self.next_beat = now;
        Some(SessionEvent::Routing(table))
    }

    fn members(&mut self, delta: Option<MembersDelta>) -> Vec<SessionEvent> {
        let Some(delta) = delta else {
            return Vec::new();
        };
        self.beat.members_version = delta.to;
        let agents = delta.members.into_iter();
        let agents = agents.filter(|m| m.role() == Role::Agent);
        let event = |member: sassafras_wire::proto::Member| {
            let node = NodeRef::try_from(member.node.clone()).ok()?;
            if member.state() == NodeState::Gone {
                return Some(SessionEvent::AgentGone(node.name));
            }
            Some(SessionEvent::Agent(node, member.address.parse().ok()?))
        };
        agents.filter_map(event).collect()
    }
}

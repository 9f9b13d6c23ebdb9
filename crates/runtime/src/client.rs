//! Requests to the control group: finds the leader, resends, and gives up at a deadline.
//!
//! Every request to control is idempotent, so that sending it again after a lost answer or
//! a change of leader has no further effect.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Push;
use sassafras_wire::proto::failure::Code;

use crate::net::ConnId;
use crate::net::Net;
use crate::net::NetEvent;

/// Pause before a request is sent again when no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// A request without an answer for this long is sent to the next member.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a request of a [`ControlClient`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u64);

/// What the control group said.
#[derive(Debug)]
pub enum ControlEvent {
    /// The answer to a request.
    Answer(RequestId, Body),
    /// A request that got no answer before its deadline, or that was refused for good.
    /// Whether it took effect is not known unless the code says so.
    Failed(RequestId, Failure),
    /// A change that control pushed.
    Push(Push),
}

/// Where an event of a link belongs.
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once per frame; boxing would allocate for each"
)]
pub enum Handled {
    /// It concerned a control member; these are the news it brought.
    Control(Vec<ControlEvent>),
    /// It concerns another process.
    Other(NetEvent),
}

#[derive(Debug)]
struct Pending {
    body: Body,
    deadline: Instant,
    sent: Option<(ConnId, Instant)>,
    not_before: Instant,
}

/// Sends requests to the leader of the control group.
#[derive(Debug)]
pub struct ControlClient {
    net: Net,
    members: Vec<(Name, SocketAddr)>,
    links: FastMap<Name, ConnId>,
    leader: usize,
    next: u64,
    pending: FastMap<u64, Pending>,
}

impl ControlClient {
    /// Starts to keep links to all `members` open.
    pub fn new(net: Net, members: Vec<(Name, SocketAddr)>) -> Self {
        for (name, addr) in &members {
            net.dial(dial_name(name), *addr);
        }
        Self {
            net,
            members,
            links: FastMap::default(),
            leader: 0,
            next: 1,
            pending: FastMap::default(),
        }
    }

    /// Replaces the members, and keeps the links to those that stay.
    pub fn set_members(&mut self, members: Vec<(Name, SocketAddr)>) {
        if members.is_empty() || members == self.members {
            return;
        }
        for (name, addr) in &members {
            if !self.members.contains(&(name.clone(), *addr)) {
                self.net.dial(dial_name(name), *addr);
            }
        }
        let stays = |name: &Name| members.iter().any(|(n, _)| n == name);
        for (name, _) in self.members.iter().filter(|(n, _)| !stays(n)) {
            self.net.disconnect(&dial_name(name));
        }
        let leader = self.members.get(self.leader).map(|(n, _)| n.clone());
        let same = members.iter().position(|(n, _)| Some(n) == leader.as_ref());
        self.leader = same.unwrap_or(0);
        self.members = members;
    }

    /// Sends a request, again and again until it is answered or `limit` has passed.
    pub fn request(&mut self, now: Instant, limit: Duration, body: Body) -> RequestId {
        let id = self.next;
        self.next += 1;
        let pending = Pending {
            body,
            deadline: now + limit,
            sent: None,
            not_before: now,
        };
        self.pending.insert(id, pending);
        self.transmit(now, id);
        RequestId(id)
    }

    /// Forgets a request; a later answer to it is dropped.
    pub fn forget(&mut self, ticket: RequestId) {
        self.pending.remove(&ticket.0);
    }

    /// Returns the link to the member that was last known to lead.
    pub fn leader(&self) -> Option<ConnId> {
        self.members
            .get(self.leader)
            .and_then(|(name, _)| self.links.get(name))
            .copied()
    }

    /// Takes an event that concerns a control member, or hands it back.
    pub fn handle(&mut self, now: Instant, event: NetEvent) -> Handled {
        match event {
            NetEvent::Up {
                conn,
                dialled: Some(name),
                ..
            } if self.member(&name).is_some() => {
                let index = self.member(&name).unwrap_or(0);
                self.links.insert(self.members[index].0.clone(), conn);
                self.transmit_unsent(now);
                Handled::Control(Vec::new())
            }
            NetEvent::Down { conn } if self.links.values().any(|c| *c == conn) => {
                self.links.retain(|_, c| *c != conn);
                self.link_lost(now, conn);
                Handled::Control(Vec::new())
            }
            NetEvent::Frame { conn, frame } if self.links.values().any(|c| *c == conn) => {
                Handled::Control(self.receive(now, conn, frame).into_iter().collect())
            }
            other => Handled::Other(other),
        }
    }

    /// Resends what is due and reports requests whose time is over. Call this every 50 ms or less.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlEvent> {
        let over: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &over {
            self.pending.remove(id);
        }
        let unanswered = self.pending.values_mut().filter(|p| {
            p.sent
                .is_some_and(|(_, at)| now.duration_since(at) >= ANSWER_TIMEOUT)
        });
        let mut silent = false;
        for pending in unanswered {
            pending.sent = None;
            silent = true;
        }
        if silent {
            self.leader = (self.leader + 1) % self.members.len().max(1);
        }
        self.transmit_unsent(now);
        over.into_iter()
            .map(|id| ControlEvent::Failed(RequestId(id), timed_out()))
            .collect()
    }

    fn receive(&mut self, now: Instant, conn: ConnId, frame: Frame) -> Option<ControlEvent> {
        let body = frame.body?;
        if !frame.reply {
            let Body::Push(push) = body else { return None };
            return Some(ControlEvent::Push(push));
        }
        let pending = self.pending.get_mut(&frame.request)?;
        if let Body::Failure(failure) = &body {
            if matches!(failure.code(), Code::NotLeader | Code::Unavailable) {
                if pending.sent.is_some_and(|(c, _)| c == conn) {
                    pending.sent = None;
                    pending.not_before = now + RETRY_PAUSE;
                    self.learn(failure);
                    self.follow(now, conn, &failure.leader, frame.request);
                }
                return None;
            }
            let failure = failure.clone();
            self.pending.remove(&frame.request);
            return Some(ControlEvent::Failed(RequestId(frame.request), failure));
        }
        self.pending.remove(&frame.request);
        Some(ControlEvent::Answer(RequestId(frame.request), body))
    }

    /// Adds the leader that a member named to the members, if it is new.
    fn learn(&mut self, failure: &Failure) {
        let named = Name::checked(&failure.leader).zip(failure.leader_address.parse().ok());
        let known = |name: &Name| self.members.iter().any(|(n, _)| n == name);
        if let Some((name, addr)) = named.filter(|(name, _)| !known(name)) {
            self.net.dial(dial_name(&name), addr);
            self.members.push((name, addr));
        }
    }

    /// Turns to the member that `hint` names, or to the next one when nobody leads.
    fn follow(&mut self, now: Instant, conn: ConnId, hint: &str, id: u64) {
        let hinted = self.members.iter().position(|(name, _)| **name == *hint);
        if let Some(index) = hinted {
            self.leader = index;
            if self.leader().is_some_and(|c| c != conn) {
                if let Some(pending) = self.pending.get_mut(&id) {
                    pending.not_before = now;
                }
                self.transmit(now, id);
            }
        } else if self.leader() == Some(conn) {
            self.leader = (self.leader + 1) % self.members.len().max(1);
        }
    }

    fn link_lost(&mut self, now: Instant, conn: ConnId) {
        for pending in self.pending.values_mut() {
            if pending.sent.is_some_and(|(c, _)| c == conn) {
                pending.sent = None;
            }
        }
        self.transmit_unsent(now);
    }

    fn transmit_unsent(&mut self, now: Instant) {
        let unsent = self
            .pending
            .iter()
            .filter(|(_, p)| p.sent.is_none() && p.not_before <= now);
        let ids: Vec<u64> = unsent.map(|(id, _)| *id).collect();
        for id in ids {
            self.transmit(now, id);
        }
    }

    fn transmit(&mut self, now: Instant, id: u64) {
        if self.leader().is_none() {
            let linked = self
                .members
                .iter()
                .position(|(name, _)| self.links.contains_key(name));
            self.leader = linked.unwrap_or(self.leader);
        }
        let Some(conn) = self.leader() else { return };
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        let frame = Frame {
            request: id,
            reply: false,
            body: Some(pending.body.clone()),
        };
        if self.net.send(conn, frame) {
            pending.sent = Some((conn, now));
        }
    }

    fn member(&self, dialled: &Name) -> Option<usize> {
        self.members
            .iter()
            .position(|(name, _)| dial_name(name) == *dialled)
    }
}

fn dial_name(member: &Name) -> Name {
    Name::from(format!("control/{member}"))
}

fn timed_out() -> Failure {
    Failure {
        code: Code::Timeout.into(),
        detail: "no answer from the control group in time".to_owned(),
        leader: String::new(),
        leader_address: String::new(),
    }
}

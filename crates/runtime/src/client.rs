//! A client of the control group that follows the leader and retries until a deadline.
//!
//! All requests to control are idempotent, so that resending one after a lost reply or a change
//! of leader has no further effect.

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

/// Delay before a request is resent after a member could not serve it. It is skipped if the reply
/// names another member as the leader and the link to that member is up.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a reply after which a request is sent to the next member.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a request of a [`ControlClient`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(u64);

/// A message or the outcome of a request from the control group.
#[derive(Debug)]
pub enum ControlEvent {
    /// The reply to a request.
    Answer(RequestId, Body),
    /// A request that received no reply before its deadline, or that failed permanently.
    /// Unless the code says otherwise, the request may have taken effect.
    Failed(RequestId, Failure),
    /// An update pushed by control.
    Push(Push),
}

/// The result of [`ControlClient::handle`].
#[derive(Debug)]
#[expect(
    clippy::large_enum_variant,
    reason = "moved once per frame; boxing would allocate for each"
)]
pub enum Handled {
    /// The event came from a link to a control member and resulted in these control events.
    Control(Vec<ControlEvent>),
    /// The event belongs to a link to another process.
    Other(NetEvent),
}

#[derive(Debug)]
struct PendingRequest {
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
    next_id: u64,
    pending: FastMap<u64, PendingRequest>,
}

impl ControlClient {
    /// Creates a client that maintains links to all `members`.
    pub fn new(net: Net, members: Vec<(Name, SocketAddr)>) -> Self {
        for (name, addr) in &members {
            net.dial(dial_name(name), *addr);
        }
        Self {
            net,
            members,
            links: FastMap::default(),
            leader: 0,
            next_id: 1,
            pending: FastMap::default(),
        }
    }

    /// Replaces the members. Links to members that remain are kept.
    pub fn set_members(&mut self, members: Vec<(Name, SocketAddr)>) {
        if members.is_empty() || members == self.members {
            return;
        }
        for (name, addr) in &members {
            if !self.members.contains(&(name.clone(), *addr)) {
                self.net.dial(dial_name(name), *addr);
            }
        }
        let remains = |name: &Name| members.iter().any(|(n, _)| n == name);
        for (name, _) in self.members.iter().filter(|(n, _)| !remains(n)) {
            self.net.disconnect(&dial_name(name));
        }
        let leader = self.members.get(self.leader).map(|(n, _)| n.clone());
        let index = members.iter().position(|(n, _)| Some(n) == leader.as_ref());
        self.leader = index.unwrap_or(0);
        self.members = members;
    }

    /// Sends a request and resends it until a reply arrives or `timeout` has elapsed.
    pub fn request(&mut self, now: Instant, timeout: Duration, body: Body) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        let pending = PendingRequest {
            body,
            deadline: now + timeout,
            sent: None,
            not_before: now,
        };
        self.pending.insert(id, pending);
        self.transmit(now, id);
        RequestId(id)
    }

    /// Stops resending a request and discards any later reply to it.
    pub fn forget(&mut self, request: RequestId) {
        self.pending.remove(&request.0);
    }

    /// Returns the link to the last known leader, if it is up.
    pub fn leader(&self) -> Option<ConnId> {
        self.members
            .get(self.leader)
            .and_then(|(name, _)| self.links.get(name))
            .copied()
    }

    /// Handles an event of a link to a control member, and returns any other event unchanged.
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

    /// Resends requests that are due and fails those past their deadline. Call this at least
    /// every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<ControlEvent> {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.pending.remove(id);
        }
        let unanswered = self.pending.values_mut().filter(|p| {
            p.sent
                .is_some_and(|(_, at)| now.duration_since(at) >= REPLY_TIMEOUT)
        });
        let mut timed_out = false;
        for pending in unanswered {
            pending.sent = None;
            timed_out = true;
        }
        if timed_out {
            self.leader = (self.leader + 1) % self.members.len().max(1);
        }
        self.transmit_unsent(now);
        expired
            .into_iter()
            .map(|id| ControlEvent::Failed(RequestId(id), timeout_failure()))
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
                    pending.not_before = now + RETRY_DELAY;
                    self.add_leader(failure);
                    self.follow_hint(now, conn, &failure.leader, frame.request);
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

    /// Adds the leader named in `failure` to the members if it is not known yet.
    fn add_leader(&mut self, failure: &Failure) {
        let named = Name::checked(&failure.leader).zip(failure.leader_address.parse().ok());
        let known = |name: &Name| self.members.iter().any(|(n, _)| n == name);
        if let Some((name, addr)) = named.filter(|(name, _)| !known(name)) {
            self.net.dial(dial_name(&name), addr);
            self.members.push((name, addr));
        }
    }

    /// Switches to the leader named in `hint`, or to the next member if no leader is known.
    fn follow_hint(&mut self, now: Instant, conn: ConnId, hint: &str, id: u64) {
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

fn timeout_failure() -> Failure {
    Failure {
        code: Code::Timeout.into(),
        detail: "no reply from the control group before the deadline".to_owned(),
        leader: String::new(),
        leader_address: String::new(),
    }
}

//! The routing table: changes, queries, and confirmations that wait for the entries.

use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::RoutingReply;
use sassafras_wire::proto::command;
use sassafras_wire::proto::failure::Code;

use crate::engine::Engine;
use crate::pending::Caller;
use crate::pending::Proposal;
use crate::pending::Then;

/// Longest wait of a confirmation for entries that do not report the new table. Operators
/// resend a change after a second without an answer.
const CONFIRM_WAIT: Duration = Duration::from_millis(500);

/// An accepted routing table that is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Unconfirmed {
    caller: Caller,
    reply: RoutingReply,
    version: u64,
    until: Instant,
}

impl Engine {
    /// Takes a routing table, which the sender has checked.
    pub(crate) fn routing_change(
        &mut self,
        now: Instant,
        caller: Caller,
        change: proto::RoutingChange,
    ) {
        let Some(table) = change.table.filter(|_| self.is_control(caller)) else {
            return self.fail(
                caller,
                Code::Denied,
                "only control hosts change the routing",
            );
        };
        let held = self.state.routing().version();
        info!(self.log, "routing change received"; "version" => table.version, "held" => held,
            "routes" => table.routes.len());
        let proposal = Proposal {
            caller: Some(caller),
            then: Then::Reply,
            key: None,
        };
        self.propose(now, command::Body::Routing(table), proposal);
    }

    /// Answers with the routing table in force, document included.
    pub(crate) fn routing_query(&self, caller: Caller) {
        let reply = RoutingReply {
            table: self.state.routing().table().cloned(),
            changed: false,
        };
        self.reply(caller, Body::RoutingReply(reply));
    }

    /// Confirms a committed table once the entries have it in force.
    pub(crate) fn confirm_when_in_force(
        &mut self,
        now: Instant,
        caller: Caller,
        reply: RoutingReply,
    ) {
        let version = reply.table.as_ref().map_or(0, |t| t.version);
        info!(self.log, "routing change committed"; "version" => version, "changed" => reply.changed);
        let Some(leader) = &mut self.leader else {
            return self.fail(caller, Code::NotLeader, "the leader changed");
        };
        leader.unconfirmed.push(Unconfirmed {
            caller,
            reply,
            version,
            until: now + CONFIRM_WAIT,
        });
        self.confirm_routing(now);
    }

    /// Sends the confirmations that are due.
    pub(crate) fn confirm_routing(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let sessions = &leader.sessions;
        let due = |u: &mut Unconfirmed| now >= u.until || sessions.routing_in_force(now, u.version);
        let due: Vec<_> = leader.unconfirmed.extract_if(.., due).collect();
        for confirmed in due {
            if now >= confirmed.until {
                warn!(self.log, "routing confirmed early"; "version" => confirmed.version,
                    "reason" => "an entry has not reported it");
            }
            self.reply(confirmed.caller, Body::RoutingReply(confirmed.reply));
        }
    }

    fn is_control(&self, caller: Caller) -> bool {
        let peer = self.conns.get(&caller.conn);
        peer.is_some_and(|p| p.role == Role::Control)
    }
}

//! The routing table: changes, queries, and confirmations that wait until entries apply a change.

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
use crate::pending::OnCommit;
use crate::pending::Proposal;

/// Maximum wait for entries to report the new table before a change is confirmed anyway.
/// Operators resend a change after one second without a reply.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// A committed routing change whose reply waits until the entries apply it.
#[derive(Debug)]
pub(crate) struct PendingConfirmation {
    caller: Caller,
    reply: RoutingReply,
    version: u64,
    deadline: Instant,
}

impl Engine {
    /// Proposes a routing table, which its sender has validated.
    pub(crate) fn handle_routing_change(
        &mut self,
        now: Instant,
        caller: Caller,
        change: proto::RoutingChange,
    ) {
        let Some(table) = change.table.filter(|_| self.is_control(caller)) else {
            return self.fail(
                caller,
                Code::Denied,
                "only control hosts may change the routing table",
            );
        };
        let current = self.state.routing().version();
        info!(self.log, "routing change received"; "version" => table.version, "held" => current,
            "routes" => table.routes.len());
        let proposal = Proposal {
            caller: Some(caller),
            on_commit: OnCommit::Reply,
            key: None,
        };
        self.propose(now, command::Body::Routing(table), proposal);
    }

    /// Replies with the committed routing table, including its document.
    pub(crate) fn handle_routing_query(&self, caller: Caller) {
        let reply = RoutingReply {
            table: self.state.routing().table().cloned(),
            changed: false,
        };
        self.reply(caller, Body::RoutingReply(reply));
    }

    /// Queues the confirmation of a committed table, which is sent once the entries apply it.
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
        leader.confirmations.push(PendingConfirmation {
            caller,
            reply,
            version,
            deadline: now + CONFIRM_TIMEOUT,
        });
        self.confirm_routing(now);
    }

    /// Sends the confirmations of tables that all entries apply, and those that timed out.
    pub(crate) fn confirm_routing(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let sessions = &leader.sessions;
        let due = |c: &mut PendingConfirmation| {
            now >= c.deadline || sessions.routing_in_force(now, c.version)
        };
        let due: Vec<_> = leader.confirmations.extract_if(.., due).collect();
        for confirmation in due {
            if now >= confirmation.deadline {
                warn!(self.log, "routing change confirmed before all entries applied it";
                    "version" => confirmation.version,
                    "reason" => "timed out waiting for an entry to report the version");
            }
            self.reply(confirmation.caller, Body::RoutingReply(confirmation.reply));
        }
    }

    pub(crate) fn is_control(&self, caller: Caller) -> bool {
        let peer = self.conns.get(&caller.conn);
        peer.is_some_and(|p| p.role == Role::Control)
    }
}

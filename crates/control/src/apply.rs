//! Application of committed entries to the state, replies to their callers, and pushes to nodes.

use std::time::Instant;

use prost::Message as _;
use slog::Logger;
use slog::error;
use slog::info;

use sassafras_state::Reply;
use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::Command;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Push;
use sassafras_wire::proto::command;
use sassafras_wire::proto::config_reply;
use sassafras_wire::proto::failure::Code;
use sassafras_wire::proto::log_entry::Payload;

use crate::engine::Engine;
use crate::pending::OnCommit;
use crate::pending::Proposal;

impl Engine {
    /// Applies a committed entry and replies to the caller that proposed it, if any.
    pub(crate) fn apply(&mut self, now: Instant, entry: LogEntry) {
        let reply = match entry.payload {
            Some(Payload::Command(bytes)) => {
                self.applied_bytes += bytes.len() as u64;
                match Command::decode(bytes) {
                    Ok(command) => self.apply_command(entry.index, &command),
                    Err(e) => {
                        error!(self.log, "log entry skipped: invalid command";
                            "index" => entry.index, "error" => %e);
                        Reply::None
                    }
                }
            }
            Some(Payload::Members(_)) => {
                self.peers.update_members(&self.node.members());
                Reply::None
            }
            _ => Reply::None,
        };
        self.state.skip(entry.index);
        if let Some(proposal) = self.pending.take_committed(entry.index) {
            self.reply_committed(now, proposal, reply);
        }
    }

    fn apply_command(&mut self, index: u64, command: &Command) -> Reply {
        let reply = self.state.apply(index, command);
        match &command.body {
            Some(command::Body::Node(event)) => {
                let node = event.member.as_ref().and_then(|m| m.node.as_ref());
                if let (Some(leader), Some(node)) = (&mut self.leader, node) {
                    leader.sessions.clear_proposed(&node.name);
                }
                log_node_event(&self.log, event);
            }
            Some(command::Body::Config(change)) => log_config_change(&self.log, change, &reply),
            _ => {}
        }
        reply
    }

    fn reply_committed(&mut self, now: Instant, proposal: Proposal, reply: Reply) {
        let Some(caller) = proposal.caller else {
            return;
        };
        let body = match (proposal.on_commit, reply) {
            (OnCommit::Heartbeat(heartbeat), _) => {
                if !self.can_serve(now) {
                    return self.fail(caller, Code::Unavailable, "the leader lease has expired");
                }
                Body::HeartbeatReply(self.heartbeat_reply(now, &heartbeat))
            }
            (OnCommit::Member(change), _) => {
                self.propose_leader_event(now, &change);
                Body::MemberChangeReply(proto::MemberChangeReply {
                    accepted: true,
                    detail: String::new(),
                })
            }
            (OnCommit::Reply, Reply::Claim(reply)) => {
                Body::ClaimReply(self.with_owner_alive(now, reply))
            }
            (OnCommit::Reply, Reply::Extend(reply)) => Body::ExtendReply(reply),
            (OnCommit::Reply, Reply::Finish(reply)) => Body::FinishReply(reply),
            (OnCommit::Reply, Reply::Config(reply)) => Body::ConfigReply(reply),
            (OnCommit::Reply, Reply::Node(reply)) => Body::NodeCommandReply(reply),
            (OnCommit::Reply, Reply::Routing(reply)) => {
                return self.confirm_when_in_force(now, caller, reply);
            }
            (OnCommit::Reply, Reply::Evacuation(reply)) => Body::EvacuationReply(reply),
            (OnCommit::Reply, Reply::None) => {
                return self.fail(caller, Code::Invalid, "the command has no effect");
            }
        };
        self.reply(caller, body);
    }

    /// Pushes changes of the configuration and of the evacuations to all nodes, and changes of the
    /// node list and the routing table to entries.
    pub(crate) fn push_updates(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (items, nodes) = (self.state.config(), self.state.nodes());
        let config_changed = leader.pushed_config != items.version();
        let members_changed = leader.pushed_members != nodes.version();
        let routing_changed = leader.pushed_routing != self.state.routing().version();
        let evacuations = self.state.evacuations();
        let evacuations_changed = leader.pushed_evacuations != evacuations.version();
        if !config_changed && !members_changed && !routing_changed && !evacuations_changed {
            return;
        }
        leader.pushed_config = items.version();
        leader.pushed_members = nodes.version();
        leader.pushed_routing = self.state.routing().version();
        leader.pushed_evacuations = evacuations.version();
        let control_ms = leader.time.at(self.clock.now());
        for session in leader.sessions.iter_mut() {
            let Some(conn) = session.conn else { continue };
            let config = items
                .delta(session.config_version)
                .filter(|_| config_changed);
            let members = nodes
                .delta(session.members_version)
                .filter(|_| members_changed && session.entry);
            session.config_version = config.as_ref().map_or(session.config_version, |d| d.to);
            session.members_version = members.as_ref().map_or(session.members_version, |d| d.to);
            let routing = self.state.routing().newer(session.routing_version);
            let routing = routing
                .filter(|_| routing_changed && session.entry)
                .cloned();
            let evacuations = evacuations.newer(session.evacuations_version);
            let evacuations = evacuations.filter(|_| evacuations_changed);
            let unchanged = config.is_none() && members.is_none() && routing.is_none();
            if unchanged && evacuations.is_none() {
                continue;
            }
            metrics::counter!("control_pushes").increment(1);
            let push = Push {
                config,
                members,
                control_ms,
                routing,
                evacuations,
            };
            let frame = proto::Frame {
                request: 0,
                reply: false,
                body: Some(Body::Push(push)),
            };
            self.net.send(conn, frame);
        }
    }
}

fn log_node_event(log: &Logger, event: &proto::NodeEvent) {
    let Some(member) = &event.member else { return };
    let node = member.node.clone().unwrap_or_default();
    info!(log, "node state changed"; "node" => node.name, "incarnation" => node.incarnation,
        "state" => member.state().as_str_name(), "actor" => &event.actor, "cause" => &event.cause);
}

fn log_config_change(log: &Logger, change: &proto::ConfigChange, reply: &Reply) {
    let Reply::Config(reply) = reply else { return };
    let kind = reply.kind();
    metrics::counter!("control_config_changes", "result" => kind.as_str_name()).increment(1);
    let message = match kind {
        config_reply::Kind::Accepted => "configuration changed",
        _ => "configuration change refused",
    };
    info!(log, "{}", message; "result" => kind.as_str_name(), "version" => reply.version,
        "base" => change.base, "operator" => &change.operator, "origin" => &change.origin,
        "request" => &change.request_id);
}

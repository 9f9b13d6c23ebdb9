//! Evacuation of availability zones by operators.

use std::time::Instant;

use slog::info;

use sassafras_wire::Body;
use sassafras_wire::proto::EvacuationChange;
use sassafras_wire::proto::EvacuationReply;
use sassafras_wire::proto::command;
use sassafras_wire::proto::failure::Code;

use crate::admin::reply_proposal;
use crate::engine::Engine;
use crate::pending::Caller;

/// Actor of the orders that control hosts pass on, in the audit trail.
const CONTROL_ACTOR: &str = "operator";
/// Longest name of a zone, in bytes.
const MAX_ZONE_BYTES: usize = 256;

impl Engine {
    /// Proposes an operator's order to evacuate a zone or to take it back. Its reply is sent once a
    /// majority has the order on disk.
    pub(crate) fn handle_evacuation_change(
        &mut self,
        now: Instant,
        caller: Caller,
        change: EvacuationChange,
    ) {
        let actor = if self.is_control(caller) {
            CONTROL_ACTOR.into()
        } else {
            let Some(operator) = self.authenticate(caller, &change.operator, &change.credential)
            else {
                return self.deny(caller);
            };
            operator
        };
        if !is_zone_name(&change.zone) {
            return self.fail(caller, Code::Invalid, "the name of the zone is not valid");
        }
        let change = EvacuationChange {
            operator: actor.to_string(),
            credential: String::new(),
            origin: self.origin(caller, &change.origin),
            ..change
        };
        info!(self.log, "evacuation change received"; "zone" => &change.zone,
            "evacuated" => change.evacuated, "base" => change.base,
            "held" => self.state.evacuations().version(), "operator" => &change.operator);
        let proposal = reply_proposal(caller);
        self.propose(now, command::Body::Evacuation(change), proposal);
    }

    /// Replies with the evacuations in force.
    pub(crate) fn handle_evacuation_query(&self, caller: Caller) {
        let reply = EvacuationReply {
            evacuations: Some(self.state.evacuations().into()),
            changed: false,
        };
        self.reply(caller, Body::EvacuationReply(reply));
    }
}

/// Reports whether `name` can be the name of a zone in a log line and in the audit trail.
fn is_zone_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_ZONE_BYTES && !name.chars().any(char::is_control)
}

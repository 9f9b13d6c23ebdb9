//! Evacuation of an availability zone, and its return.

use serde_json::json;

use crate::console::Console;
use crate::exit::CommandError;
use crate::exit::Exit;
use crate::session::Session;
use crate::session::unexpected_reply;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::EvacuationChange;
use sassafras_wire::proto::EvacuationQuery;
use sassafras_wire::proto::Evacuations;

/// Evacuates a zone or takes it back. An order that is in force already succeeds.
pub(crate) async fn run(
    console: &mut Console<'_>,
    session: &mut Session,
    zone: &Name,
    evacuated: bool,
) -> Result<Exit, CommandError> {
    let in_force = |e: &Evacuations| e.zones.iter().any(|z| **z == **zone) == evacuated;
    let mut held = request(session, Body::EvacuationQuery(EvacuationQuery {})).await?;
    if !in_force(&held) {
        let change = EvacuationChange {
            zone: zone.to_string(),
            evacuated,
            base: held.version,
            operator: session.settings.name.to_string(),
            credential: session.settings.token.clone(),
            origin: String::new(),
        };
        held = request(session, Body::EvacuationChange(change)).await?;
    }
    if !in_force(&held) {
        return Err(CommandError::new(
            Exit::Conflict,
            "another order was given at the same time, or too many zones are evacuated",
        ));
    }
    let state = if evacuated { "evacuated" } else { "in service" };
    console.print_result(
        format!("{zone}: {state}\n"),
        &json!({"zone": zone.as_str(), "evacuated": evacuated, "version": held.version}),
    )?;
    Ok(Exit::Done)
}

async fn request(session: &mut Session, body: Body) -> Result<Evacuations, CommandError> {
    match session.request(body).await? {
        Body::EvacuationReply(reply) => Ok(reply.evacuations.unwrap_or_default()),
        other => Err(unexpected_reply(&other)),
    }
}

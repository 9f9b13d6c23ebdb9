//! The event loop of a control member.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use slog::info;
use slog::warn;

use sassafras_raft::Config;
use sassafras_raft::Node;
use sassafras_raft::Peer;
use sassafras_runtime::Context;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_runtime::Seeds;
use sassafras_runtime::Stop;
use sassafras_runtime::serve_metrics;
use sassafras_state::State;
use sassafras_storage::Store;
use sassafras_util::Error;
use sassafras_util::random_u64;
use sassafras_wire::NodeRef;
use sassafras_wire::proto::Role;

use crate::disk::DiskWriter;
use crate::engine::Background;
use crate::engine::Engine;
use crate::settings::Settings;

/// Id of the only replicated log of this process.
const RAFT_GROUP: u32 = 0;
/// Maximum number of events handled before their output is processed, so that a burst of
/// requests does not delay heartbeats.
const MAX_EVENTS_PER_STEP: usize = 512;
/// Delay before the process ends, in which the last frames are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(50);

/// Runs a control member until it is asked to stop.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, if the data folder is damaged or belongs to
/// another member, or if a write or sync fails.
pub async fn run(settings: Settings, ctx: Context) -> Result<(), Error> {
    let (mut engine, mut events) = open(settings, &ctx).await?;
    let (mut stop, mut seeds) = (ctx.stop, ctx.seeds);
    serve(&mut engine, &mut events, &mut stop, &mut seeds).await?;
    hand_over(&mut engine, &mut events).await
}

async fn open(settings: Settings, ctx: &Context) -> Result<(Engine, NetEvents), Error> {
    let common = &settings.common;
    let (store, recovered) = Store::open(&settings.path, RAFT_GROUP, &common.name)?;
    let snapshot = recovered.state.snapshot.as_ref();
    let mut state = match snapshot {
        Some(snapshot) => State::decode(&snapshot.data)?,
        None => State::default(),
    };
    state.skip(snapshot.map_or(0, |s| s.index));
    info!(ctx.log, "storage opened"; "node" => %common.name, "fresh" => recovered.fresh,
        "snapshot" => snapshot.map_or(0, |s| s.index), "entries" => recovered.state.entries.len());
    if recovered.fresh && !settings.bootstrap {
        warn!(ctx.log, "data folder is empty"; "detail" => "this member waits to be added to a group");
    }
    let node = NodeRef {
        name: common.name.clone(),
        incarnation: ctx.clock.unix_ms(),
    };
    let (net, events) = Net::new(
        node,
        Role::Control,
        common.zone.clone(),
        common.key.clone(),
        ctx.log.clone(),
    );
    net.listen(common.listen).await?;
    if let Some(addr) = common.metrics {
        serve_metrics(addr).await?;
    }
    let config = raft_config(&settings, recovered.identity);
    let now = ctx.clock.now();
    let node = Node::new(config, recovered.state, random_u64(), now);
    let engine = Engine::new(
        settings,
        ctx.log.clone(),
        Arc::clone(&ctx.clock),
        net,
        node,
        state,
        DiskWriter::new(store),
    );
    Ok((engine, events))
}

/// Returns the configuration of the replicated log. Only members with the `bootstrap` setting
/// create a group, and the log ensures that they do so only while all of them are uninitialized.
fn raft_config(settings: &Settings, identity: u64) -> Config {
    let mut config = Config::new(settings.common.name.clone(), identity);
    config.group = RAFT_GROUP;
    let initial = settings.common.control.iter();
    let mut initial = initial.map(|(name, _)| name);
    if settings.bootstrap && initial.any(|name| *name == settings.common.name) {
        let members = settings.common.control.iter();
        config.initial_members = members
            .map(|(name, addr)| Peer::new(name.clone(), &addr.to_string()))
            .collect();
    }
    config
}

/// Runs the event loop until a stop is requested.
async fn serve(
    engine: &mut Engine,
    events: &mut NetEvents,
    stop: &mut Stop,
    seeds: &mut Seeds,
) -> Result<(), Error> {
    loop {
        tokio::select! {
            () = stop.wait() => return Ok(()),
            Ok(()) = seeds.changed() => engine.peers.set_configured(&seeds.borrow_and_update()),
            stepped = step(engine, events) => stepped?,
        }
    }
}

/// Transfers leadership, and then leaves the group if it has voters enough without this member. Both
/// take at most the `drain` setting.
async fn hand_over(engine: &mut Engine, events: &mut NetEvents) -> Result<(), Error> {
    let start = engine.clock.now();
    let end = start + engine.settings.drain;
    info!(engine.log, "shutting down"; "leading" => engine.node.is_leader());
    engine.leaving = true;
    engine.next_join = start;
    while engine.clock.now() < end {
        if engine.node.is_leader() {
            // A transfer in progress may still complete. After any other error, such as a lack of
            // other voters, this member stops without a transfer.
            if let Err(e) = engine.node.transfer_leadership(engine.clock.now())
                && !matches!(e, sassafras_raft::ProposeError::Transferring)
            {
                warn!(engine.log, "leadership transfer failed"; "error" => %e);
                break;
            }
        } else if !engine.waits_for_removal() {
            break;
        }
        engine.process_ready(engine.clock.now())?;
        step(engine, events).await?;
    }
    info!(engine.log, "stopped"; "leading" => engine.node.is_leader(), "removed" => engine.removed);
    tokio::time::sleep(FLUSH_DELAY).await;
    Ok(())
}

/// Waits for the next event and handles it with all events that are ready, up to
/// [`MAX_EVENTS_PER_STEP`].
async fn step(engine: &mut Engine, events: &mut NetEvents) -> Result<(), Error> {
    let wait = time_until(engine.deadline(), engine.clock.now());
    tokio::select! {
        event = events.next() => {
            engine.handle_event(engine.clock.now(), event);
            for _ in 1..MAX_EVENTS_PER_STEP {
                let Some(event) = events.try_next() else { break };
                engine.handle_event(engine.clock.now(), event);
            }
        }
        done = engine.background() => match done? {
            Background::Written(batch) => engine.handle_written(engine.clock.now(), batch),
            Background::Encoded(index, data) => engine.save_snapshot(index, data),
        },
        () = tokio::time::sleep(wait) => {}
    }
    let now = engine.clock.now();
    engine.tick(now);
    engine.process_ready(now)
}

fn time_until(deadline: Instant, now: Instant) -> Duration {
    deadline.saturating_duration_since(now)
}

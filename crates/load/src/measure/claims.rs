//! Throughput and latency of claims against a control group.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use slog::Logger;

use sassafras_runtime::ControlClient;
use sassafras_runtime::ControlEvent;
use sassafras_runtime::Handled;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvents;
use sassafras_runtime::RequestId;
use sassafras_util::Clock as _;
use sassafras_util::Digest;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_util::SystemClock;
use sassafras_wire::Body;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Claim;
use sassafras_wire::proto::Heartbeat;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::Role;
use sassafras_wire::proto::claim_reply::Kind;

use crate::embedded::Cluster;
use crate::embedded::ClusterSpec;
use crate::measure::TimeHistogram;
use crate::scenario::Scenario;

/// Numbers of concurrent claims that are measured.
const CLAIMS_IN_FLIGHT: [usize; 3] = [1, 16, 256];
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of calls to [`ControlClient::tick`], which resends requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of agents that a claim lists.
const AGENTS_PER_CLAIM: u64 = 11;

/// Measures the throughput and latency of claims with 1, 16 and 256 in flight, against a group of
/// three members that store their data on this host's disk.
///
/// # Errors
///
/// Fails when the group does not start or a claim is not granted.
pub async fn claims(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut spec = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    spec.workers.clear();
    spec.teams.clear();
    spec.entries = 0;
    let cluster = Cluster::start(&spec, log.clone()).await?;
    let mut claimer = Claimer::new(&cluster, log);
    let mut result = claimer.join().await;
    for in_flight in CLAIMS_IN_FLIGHT {
        if result.is_err() {
            break;
        }
        let length = Duration::from_secs(seconds);
        result = claimer.run(in_flight, length).await;
    }
    drop(claimer);
    for e in cluster.stop().await {
        slog::warn!(log, "role ended with an error"; "error" => %e);
    }
    result
}

struct Claimer {
    node: NodeRef,
    client: ControlClient,
    events: NetEvents,
    pending: FastMap<RequestId, Instant>,
    claim_count: u64,
}

impl Claimer {
    fn new(cluster: &Cluster, log: &Logger) -> Self {
        let node = NodeRef {
            name: Name::from("entry-load"),
            incarnation: SystemClock.unix_ms(),
        };
        let zone = Name::from("local");
        let (net, events) = Net::new(node.clone(), Role::Entry, zone, cluster.key(), log.clone());
        Self {
            node,
            client: ControlClient::new(net, cluster.control().to_vec()),
            events,
            pending: FastMap::default(),
            claim_count: 0,
        }
    }

    /// Sends a heartbeat and waits for the reply, because only a node that has joined may own claims.
    async fn join(&mut self) -> Result<(), Error> {
        let join_request = self.send_heartbeat(REQUEST_TIMEOUT);
        loop {
            let events = tokio::select! {
                event = self.events.next() => match self.client.handle(Instant::now(), event) {
                    Handled::Control(events) => events,
                    Handled::Other(_) => Vec::new(),
                },
                () = tokio::time::sleep(TICK_INTERVAL) => self.client.tick(Instant::now()),
            };
            for event in events {
                match event {
                    ControlEvent::Answer(request_id, _) if request_id == join_request => {
                        return Ok(());
                    }
                    ControlEvent::Failed(request_id, failure) if request_id == join_request => {
                        return Err(Error::new(format!("heartbeat failed: {}", failure.detail)));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Keeps `in_flight` claims in flight for `length` and prints their throughput and latency.
    async fn run(&mut self, in_flight: usize, length: Duration) -> Result<(), Error> {
        let mut times = TimeHistogram::new()?;
        let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        let started = Instant::now();
        let mut now = started;
        while now.duration_since(started) < length {
            while self.pending.len() < in_flight {
                self.send_claim();
            }
            tokio::select! {
                event = self.events.next() => {
                    let events = match self.client.handle(Instant::now(), event) {
                        Handled::Control(events) => events,
                        Handled::Other(_) => Vec::new(),
                    };
                    self.handle_events(events, &mut times)?;
                }
                _ = ticks.tick() => {
                    let events = self.client.tick(Instant::now());
                    self.handle_events(events, &mut times)?;
                }
                _ = heartbeats.tick() => {
                    self.send_heartbeat(HEARTBEAT_INTERVAL);
                }
            }
            now = Instant::now();
        }
        println!(
            "measure=claims in_flight={in_flight} claims={} claims_per_s={:.0} latency_ms_p50={:.2} latency_ms_p99={:.2}",
            times.count(),
            times.count() as f64 / now.duration_since(started).as_secs_f64(),
            times.quantile_ms(0.5),
            times.quantile_ms(0.99)
        );
        Ok(())
    }

    fn handle_events(
        &mut self,
        events: Vec<ControlEvent>,
        times: &mut TimeHistogram,
    ) -> Result<(), Error> {
        for event in events {
            match event {
                ControlEvent::Answer(request_id, Body::ClaimReply(reply)) => {
                    if reply.kind() != Kind::Granted {
                        return Err(Error::new(format!("claim was not granted: {reply:?}")));
                    }
                    if let Some(sent) = self.pending.remove(&request_id) {
                        times.record(sent.elapsed());
                    }
                }
                ControlEvent::Failed(request_id, failure)
                    if self.pending.contains_key(&request_id) =>
                {
                    return Err(Error::new(format!("claim failed: {}", failure.detail)));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn send_claim(&mut self) {
        self.claim_count += 1;
        let job = format!("claim-{}", self.claim_count);
        let agent = |n: u64| proto::NodeRef {
            name: format!("agent-w{n}"),
            incarnation: 1_700_000_000_000 + n,
        };
        let claim = Claim {
            digest: Bytes::copy_from_slice(Digest::of(job.as_bytes()).as_bytes()),
            key: Some(proto::JobKey {
                team: "team-a".to_owned(),
                job,
            }),
            owner: Some((&self.node).into()),
            tasks: 10,
            agents: (0..AGENTS_PER_CLAIM).map(agent).collect(),
            takeover: 0,
            query: false,
        };
        let now = Instant::now();
        let request_id = self
            .client
            .request(now, REQUEST_TIMEOUT, Body::Claim(claim));
        self.pending.insert(request_id, now);
    }

    /// Renews the lease that the owner of claims must hold.
    fn send_heartbeat(&mut self, timeout: Duration) -> RequestId {
        let heartbeat = Heartbeat {
            node: Some((&self.node).into()),
            role: Role::Entry.into(),
            zone: "local".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: NodeState::Active.into(),
            ..Heartbeat::default()
        };
        self.client
            .request(Instant::now(), timeout, Body::Heartbeat(heartbeat))
    }
}

//! Claims a second and their latency against a control group.

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
use crate::measure::Times;
use crate::scenario::Scenario;

const IN_FLIGHT: [usize; 3] = [1, 16, 256];
const BEAT: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(10);
/// Agents that each claim lists.
const AGENTS: u64 = 11;

/// Measures claims a second, and their latency, with 1, 16 and 256 in flight against a
/// group of three members on this machine's disk.
///
/// # Errors
///
/// Fails when the group does not start or a claim is not granted.
pub async fn claims(seconds: u64, log: &Logger) -> Result<(), Error> {
    let mut plan = ClusterSpec::new(&Scenario::baia_serena(), "expected");
    plan.workers.clear();
    plan.teams.clear();
    plan.entries = 0;
    let cluster = Cluster::start(&plan, log.clone()).await?;
    let mut claimer = Claimer::new(&cluster, log);
    let mut result = claimer.join().await;
    for in_flight in IN_FLIGHT {
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
    sent: FastMap<RequestId, Instant>,
    next: u64,
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
            sent: FastMap::default(),
            next: 0,
        }
    }

    /// Sends a heartbeat and waits for the answer, since only members may own claims.
    async fn join(&mut self) -> Result<(), Error> {
        let joined = self.beat(LIMIT);
        loop {
            let news = tokio::select! {
                event = self.events.next() => match self.client.handle(Instant::now(), event) {
                    Handled::Control(news) => news,
                    Handled::Other(_) => Vec::new(),
                },
                () = tokio::time::sleep(TICK) => self.client.tick(Instant::now()),
            };
            for event in news {
                match event {
                    ControlEvent::Answer(ticket, _) if ticket == joined => return Ok(()),
                    ControlEvent::Failed(ticket, failure) if ticket == joined => {
                        return Err(Error::new(format!("heartbeat: {}", failure.detail)));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Keeps a number of claims in flight and prints the figures.
    async fn run(&mut self, in_flight: usize, length: Duration) -> Result<(), Error> {
        let mut times = Times::new()?;
        let mut beats = tokio::time::interval(BEAT);
        let mut ticks = tokio::time::interval(TICK);
        let begun = Instant::now();
        let mut stopped = begun;
        while stopped.duration_since(begun) < length {
            while self.sent.len() < in_flight {
                self.claim();
            }
            tokio::select! {
                event = self.events.next() => {
                    let news = match self.client.handle(Instant::now(), event) {
                        Handled::Control(news) => news,
                        Handled::Other(_) => Vec::new(),
                    };
                    self.take(news, &mut times)?;
                }
                _ = ticks.tick() => {
                    let news = self.client.tick(Instant::now());
                    self.take(news, &mut times)?;
                }
                _ = beats.tick() => {
                    self.beat(BEAT);
                }
            }
            stopped = Instant::now();
        }
        println!(
            "measure=claims in_flight={in_flight} claims={} claims_per_s={:.0} latency_ms_p50={:.2} latency_ms_p99={:.2}",
            times.count(),
            times.count() as f64 / stopped.duration_since(begun).as_secs_f64(),
            times.ms(0.5),
            times.ms(0.99)
        );
        Ok(())
    }

    fn take(&mut self, news: Vec<ControlEvent>, times: &mut Times) -> Result<(), Error> {
        for event in news {
            match event {
                ControlEvent::Answer(ticket, Body::ClaimReply(reply)) => {
                    if reply.kind() != Kind::Granted {
                        return Err(Error::new(format!("claim: {reply:?}")));
                    }
                    if let Some(sent) = self.sent.remove(&ticket) {
                        times.record(sent.elapsed());
                    }
                }
                ControlEvent::Failed(ticket, failure) if self.sent.contains_key(&ticket) => {
                    return Err(Error::new(format!("claim: {}", failure.detail)));
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn claim(&mut self) {
        self.next += 1;
        let job = format!("claim-{}", self.next);
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
            agents: (0..AGENTS).map(agent).collect(),
            takeover: 0,
            query: false,
        };
        let now = Instant::now();
        let ticket = self.client.request(now, LIMIT, Body::Claim(claim));
        self.sent.insert(ticket, now);
    }

    /// Keeps the lease that the owner of claims must have.
    fn beat(&mut self, limit: Duration) -> RequestId {
        let beat = Heartbeat {
            node: Some((&self.node).into()),
            role: Role::Entry.into(),
            zone: "local".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: NodeState::Active.into(),
            ..Heartbeat::default()
        };
        self.client
            .request(Instant::now(), limit, Body::Heartbeat(beat))
    }
}

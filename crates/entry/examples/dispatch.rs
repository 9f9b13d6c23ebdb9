//! Measures what one entry thread dispatches: frames are decoded, handled and encoded, but no
//! socket is involved. Run with `cargo run --release -p sassafras-entry --example dispatch`.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;

use sassafras_entry::Caller;
use sassafras_entry::Effect;
use sassafras_entry::Engine;
use sassafras_entry::Event;
use sassafras_entry::JobRequest;
use sassafras_entry::Options;
use sassafras_runtime::Peer;
use sassafras_util::Digest;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::FrameCodec;
use sassafras_wire::JobKey;
use sassafras_wire::NodeRef;
use sassafras_wire::proto;
use sassafras_wire::proto::Frame;

const AGENTS: usize = 64;
const SLOTS: u32 = 16;
const TASKS: usize = 970;
const LARGE_JOBS: usize = 21;
const SMALL_JOBS: usize = 20_000;
const SMALL_TASKS: usize = 5;

struct Bench {
    engine: Engine,
    codec: FrameCodec,
    now: Instant,
    effects: Vec<Effect>,
    starts: usize,
    complete: usize,
}

impl Bench {
    fn event(&mut self, event: Event) {
        let effects = self.engine.handle(self.now, event);
        self.effects.extend(effects);
    }

    /// Takes the frames sent since the last call, each encoded as it would be for its link.
    fn sent(&mut self) -> Vec<(u64, Frame)> {
        let mut frames = Vec::new();
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Send(link, frame) => {
                    let mut buf = BytesMut::new();
                    self.codec.encode(frame.clone(), &mut buf).unwrap();
                    frames.push((link, frame));
                }
                Effect::ControlRequest { .. } => self.effects.push(effect),
                Effect::Respond(_, response) => {
                    self.complete += usize::from(response.status == 200)
                }
                _ => {}
            }
        }
        frames
    }

    fn receive(&mut self, link: u64, body: Body) {
        let frame = Frame {
            body: Some(body),
            ..Frame::default()
        };
        let mut buf = BytesMut::new();
        self.codec.encode(frame, &mut buf).unwrap();
        let frame = self.codec.decode(&mut buf).unwrap().unwrap();
        self.event(Event::Frame(link, frame));
    }

    /// Answers the requests to control: heartbeats, claims and ends of jobs.
    fn control(&mut self) -> usize {
        let mut responses = Vec::new();
        self.effects.retain(|effect| {
            if let Effect::ControlRequest { id, body, .. } = effect {
                responses.push((*id, reply(body)));
                return false;
            }
            true
        });
        let count = responses.len();
        for (id, body) in responses {
            self.event(Event::ControlReply(id, Ok(body)));
        }
        count
    }

    /// Grants every reservation, and reports every task as done at once.
    fn agents(&mut self) -> usize {
        let frames = self.sent();
        let count = frames.len();
        for (link, frame) in frames {
            let part = match frame.body.unwrap() {
                Body::Reserve(reserve) => proto::JobReport {
                    key: reserve.key,
                    granted: reserve.count,
                    ..proto::JobReport::default()
                },
                Body::Run(run) => {
                    self.starts += run.tasks.len();
                    proto::JobReport {
                        key: run.key,
                        epoch: run.epoch,
                        tasks: run.tasks.iter().map(done).collect(),
                        granted: 0,
                    }
                }
                _ => continue,
            };
            let report = proto::Report {
                jobs: vec![part],
                load: Some(proto::Load::default()),
                incarnation: 1,
                state: proto::NodeState::Active.into(),
            };
            self.receive(link, Body::Report(report));
        }
        count
    }

    fn submit(&mut self, number: usize, tasks: usize) {
        let task = r#"{"payload":{"rider":"r-1029","stall":17,"from":"2026-01-01"}}"#;
        let body = format!(r#"{{"tasks":[{}]}}"#, vec![task; tasks].join(","));
        self.event(Event::Submit(JobRequest {
            caller: Caller::Http(number as u64),
            key: JobKey {
                team: "t".into(),
                job: Name::from(format!("job-{number}")),
            },
            token: Digest::of(b"secret"),
            body: Bytes::from(body),
            wait: Duration::from_secs(30),
        }));
    }
}

fn done(task: &proto::TaskSpec) -> proto::TaskReport {
    proto::TaskReport {
        index: task.index,
        attempt: task.attempt,
        status: proto::TaskStatus::Done.into(),
        payload: Bytes::from_static(br#"{"held":true}"#),
        service_us: 50_000,
        ..proto::TaskReport::default()
    }
}

fn reply(body: &Body) -> Body {
    match body {
        Body::Heartbeat(_) => Body::HeartbeatReply(heartbeat_reply()),
        Body::Claim(_) => Body::ClaimReply(proto::ClaimReply {
            kind: proto::claim_reply::Kind::Granted.into(),
            epoch: 1,
            ..proto::ClaimReply::default()
        }),
        Body::Finish(finish) => Body::FinishReply(proto::FinishReply {
            accepted: true,
            outcome: finish.outcome,
            epoch: finish.epoch,
            ..proto::FinishReply::default()
        }),
        other => panic!("unexpected request {other:?}"),
    }
}

fn heartbeat_reply() -> proto::HeartbeatReply {
    let text = format!(
        "[team]\nname = t\ntoken_sha256 = {}\nweight = 1\nquota_slots = 100000\n\
         quota_per_second = 1000000\nmax_tasks = 970\ndeadline_ms = 60000\nobjective = response\n\
         [kind k]\nrun_ms = 50\nrepeatable = false\ncores = 0\nmemory_mb = 0\naccelerators = 0\n",
        Digest::of(b"secret")
    );
    proto::HeartbeatReply {
        lease_ms: 3_600_000,
        config: Some(proto::ConfigDelta {
            from: 0,
            to: 1,
            upserts: vec![proto::ConfigItem {
                name: "team/t".to_owned(),
                text,
                version: 1,
            }],
            removals: Vec::new(),
        }),
        members: Some(proto::MembersDelta {
            from: 0,
            to: 1,
            members: (0..AGENTS).map(member).collect(),
        }),
        shares: vec![proto::Share {
            team: "t".to_owned(),
            slots: 100_000,
            per_second: 1_000_000,
        }],
        config_version: 1,
        ..proto::HeartbeatReply::default()
    }
}

fn member(index: usize) -> proto::Member {
    proto::Member {
        node: Some(proto::NodeRef {
            name: format!("a{index}"),
            incarnation: 1,
        }),
        role: proto::Role::Agent.into(),
        zone: "z".to_owned(),
        address: format!("127.0.0.1:{}", 1 + index),
        state: proto::NodeState::Active.into(),
        endpoint: Some(proto::EndpointInfo {
            slots: SLOTS,
            ..proto::EndpointInfo::default()
        }),
        version: 1,
    }
}

fn main() {
    let node = NodeRef {
        name: "e".into(),
        incarnation: 1,
    };
    let now = Instant::now();
    let mut bench = Bench {
        engine: Engine::new(now, Options::new(node, "z".into())),
        codec: FrameCodec::new(1 << 24),
        now,
        effects: Vec::new(),
        starts: 0,
        complete: 0,
    };
    bench.event(Event::Tick);
    bench.control();
    for index in 0..AGENTS {
        let peer = Peer {
            node: NodeRef {
                name: Name::from(format!("a{index}")),
                incarnation: 1,
            },
            role: proto::Role::Agent,
            zone: "z".into(),
            addr: ([127, 0, 0, 1], 1).into(),
        };
        bench.event(Event::LinkUp(index as u64 + 1, peer));
    }
    bench.effects.clear();
    large(&mut bench);
    small(&mut bench);
}

/// Measures the time from the claim of a large job until all its frames are encoded.
fn large(bench: &mut Bench) {
    let mut times = Vec::new();
    for number in 0..LARGE_JOBS {
        bench.submit(number, TASKS);
        // Slots are granted while the claim is on its way.
        let requests: Vec<Effect> = std::mem::take(&mut bench.effects);
        let (claims, sends) = requests
            .into_iter()
            .partition(|e| matches!(e, Effect::ControlRequest { .. }));
        bench.effects = sends;
        bench.agents();
        bench.effects = claims;
        let before = Instant::now();
        bench.control();
        let frames = bench.sent();
        times.push(before.elapsed());
        let out: usize = frames.iter().map(|(_, f)| tasks(f)).sum();
        assert_eq!(out, TASKS);
        for (link, frame) in frames {
            bench.effects.push(Effect::Send(link, frame));
        }
        while bench.agents() + bench.control() > 0 {}
    }
    times.sort();
    let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
    println!("a job of {TASKS} tasks leaves in {median:?} (median), {most:?} (most)");
}

fn tasks(frame: &Frame) -> usize {
    match &frame.body {
        Some(Body::Run(run)) => run.tasks.len(),
        _ => 0,
    }
}

/// Measures the sustained rate with small jobs, from submission to answer.
fn small(bench: &mut Bench) {
    bench.starts = 0;
    let before = Instant::now();
    for number in 0..SMALL_JOBS {
        bench.submit(1000 + number, SMALL_TASKS);
        while bench.agents() + bench.control() > 0 {}
    }
    assert_eq!(bench.starts, SMALL_JOBS * SMALL_TASKS);
    assert_eq!(bench.complete, SMALL_JOBS + LARGE_JOBS);
    let rate = bench.starts as f64 / before.elapsed().as_secs_f64();
    println!(
        "{rate:.0} task starts/s in jobs of {SMALL_TASKS} tasks, the stand-ins' work included"
    );
}

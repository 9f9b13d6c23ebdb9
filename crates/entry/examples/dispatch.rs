//! Measures the dispatch rate of one entry thread: frames are decoded, handled and encoded, but
//! not sent over sockets. Run with `cargo run --release -p sassafras-entry --example dispatch`.

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
const LARGE_TASKS: usize = 970;
const LARGE_JOBS: usize = 21;
const SMALL_JOBS: usize = 20_000;
const SMALL_TASKS: usize = 5;

struct Bench {
    engine: Engine,
    codec: FrameCodec,
    now: Instant,
    effects: Vec<Effect>,
    starts: usize,
    completed: usize,
}

impl Bench {
    fn handle(&mut self, event: Event) {
        let effects = self.engine.handle(self.now, event);
        self.effects.extend(effects);
    }

    /// Returns the frames sent since the last call, after encoding each as for its link.
    fn take_frames(&mut self) -> Vec<(u64, Frame)> {
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
                    self.completed += usize::from(response.status == 200);
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
        self.handle(Event::Frame(link, frame));
    }

    /// Replies to the control requests: heartbeats, claims and outcomes.
    fn reply_to_requests(&mut self) -> usize {
        let mut replies = Vec::new();
        self.effects.retain(|effect| {
            if let Effect::ControlRequest { id, body, .. } = effect {
                replies.push((*id, control_reply(body)));
                return false;
            }
            true
        });
        let count = replies.len();
        for (id, body) in replies {
            self.handle(Event::ControlReply(id, Ok(body)));
        }
        count
    }

    /// Grants every slot request, and reports every task as done immediately.
    fn reply_to_frames(&mut self) -> usize {
        let frames = self.take_frames();
        let count = frames.len();
        for (link, frame) in frames {
            let job_report = match frame.body.unwrap() {
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
                        tasks: run.tasks.iter().map(task_done).collect(),
                        granted: 0,
                    }
                }
                _ => continue,
            };
            let report = proto::Report {
                jobs: vec![job_report],
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
        self.handle(Event::Submit(JobRequest {
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

fn task_done(task: &proto::TaskSpec) -> proto::TaskReport {
    proto::TaskReport {
        index: task.index,
        attempt: task.attempt,
        status: proto::TaskStatus::Done.into(),
        payload: Bytes::from_static(br#"{"held":true}"#),
        service_us: 50_000,
        ..proto::TaskReport::default()
    }
}

fn control_reply(body: &Body) -> Body {
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
        completed: 0,
    };
    bench.handle(Event::Tick);
    bench.reply_to_requests();
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
        bench.handle(Event::LinkUp(index as u64 + 1, peer));
    }
    bench.effects.clear();
    run_large_jobs(&mut bench);
    run_small_jobs(&mut bench);
}

/// Measures the time from the claim reply of a large job until all its frames are encoded.
fn run_large_jobs(bench: &mut Bench) {
    let mut times = Vec::new();
    for number in 0..LARGE_JOBS {
        bench.submit(number, LARGE_TASKS);
        // Slots are granted while the claim is outstanding.
        let requests: Vec<Effect> = std::mem::take(&mut bench.effects);
        let (claims, sends) = requests
            .into_iter()
            .partition(|e| matches!(e, Effect::ControlRequest { .. }));
        bench.effects = sends;
        bench.reply_to_frames();
        bench.effects = claims;
        let start = Instant::now();
        bench.reply_to_requests();
        let frames = bench.take_frames();
        times.push(start.elapsed());
        let dispatched: usize = frames.iter().map(|(_, f)| task_count(f)).sum();
        assert_eq!(dispatched, LARGE_TASKS);
        for (link, frame) in frames {
            bench.effects.push(Effect::Send(link, frame));
        }
        while bench.reply_to_frames() + bench.reply_to_requests() > 0 {}
    }
    times.sort();
    let (median, max) = (times[times.len() / 2], times[times.len() - 1]);
    println!("job of {LARGE_TASKS} tasks: dispatched in {median:?} (median), {max:?} (maximum)");
}

fn task_count(frame: &Frame) -> usize {
    match &frame.body {
        Some(Body::Run(run)) => run.tasks.len(),
        _ => 0,
    }
}

/// Measures the sustained rate with small jobs, from submission to response.
fn run_small_jobs(bench: &mut Bench) {
    bench.starts = 0;
    let start = Instant::now();
    for number in 0..SMALL_JOBS {
        bench.submit(1000 + number, SMALL_TASKS);
        while bench.reply_to_frames() + bench.reply_to_requests() > 0 {}
    }
    assert_eq!(bench.starts, SMALL_JOBS * SMALL_TASKS);
    assert_eq!(bench.completed, SMALL_JOBS + LARGE_JOBS);
    let rate = bench.starts as f64 / start.elapsed().as_secs_f64();
    println!(
        "jobs of {SMALL_TASKS} tasks: {rate:.0} task starts/s, including simulated control and agents"
    );
}

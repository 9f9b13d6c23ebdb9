//! Properties of the engine under any order of frames, ends, clocks and link losses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use sassafras_agent::Announcement;
use sassafras_agent::Effect;
use sassafras_agent::End;
use sassafras_agent::Ended;
use sassafras_agent::Engine;
use sassafras_agent::Event;
use sassafras_agent::Link;
use sassafras_agent::Options;
use sassafras_agent::Renewal;
use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

const SEED: u64 = 0xa6e7_0001;
const TESTS: u64 = 3000;
const SIZE: usize = 120;
const OWN: u64 = 5;
const CONTROL_MS: u64 = 10_000_000;
const LEASE: Duration = Duration::from_millis(2500);
const SILENCE: Duration = Duration::from_secs(3);
/// Longer than any run, so that no record is dropped for its age; half of it is in reach.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
enum Op {
    Up(u64),
    Down(u64),
    Reserve {
        link: u64,
        job: u8,
        count: u32,
    },
    Release {
        link: u64,
        job: u8,
        count: u32,
        all: bool,
    },
    Run {
        link: u64,
        job: u8,
        epoch: u64,
        own: bool,
        granted: bool,
        at: Vec<(u32, u32)>,
        deadline: u64,
    },
    Fence {
        link: u64,
        job: u8,
        epoch: u64,
    },
    Cancel {
        link: u64,
        job: u8,
        epoch: u64,
    },
    End {
        nth: usize,
        how: u8,
    },
    Announce {
        slots: u32,
        connections: u32,
        leaving: bool,
    },
    Renew {
        paused: bool,
    },
    Wait(u64),
    Leave,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let below = |g: &mut Gen, n: u64| u64::arbitrary(g) % n;
        let link = below(g, 3);
        let job = below(g, 3) as u8;
        let epoch = 1 + below(g, 3);
        let rare = |g: &mut Gen| u8::arbitrary(g).is_multiple_of(16);
        match below(g, 64) {
            0..3 => Self::Up(link),
            3 => Self::Down(link),
            4..10 => Self::Reserve {
                link,
                job,
                count: below(g, 5) as u32,
            },
            10..13 => Self::Release {
                link,
                job,
                count: below(g, 3) as u32,
                all: bool::arbitrary(g),
            },
            13..31 => Self::Run {
                link,
                job,
                epoch,
                own: !rare(g),
                granted: bool::arbitrary(g),
                at: (0..below(g, 4))
                    .map(|_| (below(g, 6) as u32, below(g, 3) as u32))
                    .collect(),
                deadline: [0, 50, 5000][below(g, 3) as usize],
            },
            31..34 => Self::Fence { link, job, epoch },
            34 => Self::Cancel { link, job, epoch },
            35..47 => Self::End {
                nth: below(g, 8) as usize,
                how: below(g, 4) as u8,
            },
            47..51 => Self::Announce {
                slots: 1 + below(g, 5) as u32,
                connections: 1 + below(g, 6) as u32,
                leaving: rare(g),
            },
            51..57 => Self::Renew { paused: rare(g) },
            57..63 => Self::Wait(below(g, 1200)),
            _ if rare(g) => Self::Leave,
            _ => Self::Wait(0),
        }
    }
}

type Attempt = (u8, u32, u32);

/// What the rules allow, kept apart from the engine.
struct Model {
    engine: Engine,
    begin: Instant,
    now: Instant,
    links: BTreeSet<u64>,
    lease: Option<Instant>,
    endpoint: Option<(Instant, u32, bool)>,
    barred: bool,
    leaving: bool,
    epochs: BTreeMap<u8, u64>,
    /// The epoch under which an attempt was first asked for.
    asked: BTreeMap<Attempt, u64>,
    running: BTreeMap<u64, Attempt>,
    /// Attempts that started and did not end as not run.
    ran: BTreeSet<Attempt>,
    /// Attempts reported as not run, with the epoch they were asked under.
    refused: BTreeSet<(Attempt, u64)>,
}

impl Model {
    fn new() -> Self {
        let options = Options {
            retention: RETENTION,
            queue: 6,
            records: 40,
            ..Options::default()
        };
        let now = Instant::now();
        Self {
            engine: Engine::new(OWN, options),
            begin: now,
            now,
            links: BTreeSet::new(),
            lease: None,
            endpoint: None,
            barred: false,
            leaving: false,
            epochs: BTreeMap::new(),
            asked: BTreeMap::new(),
            running: BTreeMap::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
        }
    }

    fn control_ms(&self) -> u64 {
        CONTROL_MS + (self.now - self.begin).as_millis() as u64
    }

    fn is_old(&self, job: u8) -> bool {
        Duration::from_millis(self.control_ms() - claimed_ms(job)) > RETENTION / 2
    }

    fn apply(&mut self, op: Op) -> Result<(), String> {
        let mut frame_epoch = None;
        let event = match op {
            Op::Up(link) => self.links.insert(link).then_some(Event::LinkUp(Link(link))),
            Op::Down(link) => self
                .links
                .remove(&link)
                .then_some(Event::LinkDown(Link(link))),
            Op::End { nth, how } => self.end(nth, how),
            Op::Announce {
                slots,
                connections,
                leaving,
            } => {
                self.endpoint = Some((self.now, slots.min(connections), leaving));
                Some(Event::Announced(announcement(slots, connections, leaving)))
            }
            Op::Renew { paused } => {
                self.lease = Some(self.now + LEASE);
                self.barred = paused;
                Some(Event::Renewed(Renewal {
                    sent: self.now,
                    lease: LEASE,
                    control_ms: self.control_ms(),
                    state: if paused {
                        NodeState::Paused
                    } else {
                        NodeState::Active
                    },
                }))
            }
            Op::Wait(ms) => {
                self.now += Duration::from_millis(ms);
                Some(Event::Tick)
            }
            Op::Leave => {
                self.leaving = true;
                Some(Event::Leave)
            }
            frame => self.frame(frame, &mut frame_epoch),
        };
        let Some(event) = event else { return Ok(()) };
        let mut effects = self.engine.handle(self.now, event);
        effects.extend(self.engine.flush(self.now));
        effects
            .iter()
            .try_for_each(|e| self.check(e, frame_epoch))?;
        self.check_slots()
    }

    /// Turns an operation of an entry into its frame, if the entry has a link.
    fn frame(&mut self, op: Op, frame_epoch: &mut Option<u64>) -> Option<Event> {
        let (link, body) = match op {
            Op::Reserve { link, job, count } => (
                link,
                Body::Reserve(proto::Reserve {
                    key: key(job),
                    count,
                    weight: 1 + u32::from(job),
                    incarnation: OWN,
                }),
            ),
            Op::Release {
                link,
                job,
                count,
                all,
            } => (
                link,
                Body::Release(proto::Release {
                    key: key(job),
                    count,
                    all,
                }),
            ),
            Op::Run {
                link,
                job,
                epoch,
                own,
                granted,
                at,
                deadline,
            } => {
                if self.links.contains(&link) && own {
                    let highest = self.epochs.get(&job).copied().unwrap_or(0);
                    for (index, attempt) in &at {
                        if epoch >= highest {
                            self.asked.entry((job, *index, *attempt)).or_insert(epoch);
                        }
                    }
                    // An unknown job whose claim is too old is refused without a record.
                    if !self.is_old(job) || highest > 0 {
                        self.epochs.insert(job, highest.max(epoch));
                    }
                }
                *frame_epoch = Some(epoch);
                (
                    link,
                    Body::Run(proto::Run {
                        key: key(job),
                        epoch,
                        claimed_ms: claimed_ms(job),
                        incarnation: if own { OWN } else { OWN - 1 },
                        granted,
                        tasks: at.into_iter().map(|at| task(at, deadline)).collect(),
                        weight: 1,
                    }),
                )
            }
            Op::Fence { link, job, epoch } => {
                if self.links.contains(&link) {
                    let highest = self.epochs.entry(job).or_default();
                    *highest = epoch.max(*highest);
                }
                (
                    link,
                    Body::Fence(proto::Fence {
                        key: key(job),
                        epoch,
                        claimed_ms: claimed_ms(job),
                    }),
                )
            }
            Op::Cancel { link, job, epoch } => {
                if self.links.contains(&link)
                    && let Some(highest) = self.epochs.get_mut(&job)
                {
                    *highest = epoch.max(*highest);
                }
                let key = key(job);
                (link, Body::CancelJob(proto::CancelJob { key, epoch }))
            }
            other => unreachable!("not a frame: {other:?}"),
        };
        let frame = Frame {
            request: 1,
            reply: false,
            body: Some(body),
        };
        self.links
            .contains(&link)
            .then_some(Event::Frame(Link(link), frame))
    }

    fn end(&mut self, nth: usize, how: u8) -> Option<Event> {
        let id = *self.running.keys().nth(nth)?;
        let attempt = self.running.remove(&id)?;
        let end = match how {
            0 => End::Done(Bytes::from_static(b"result")),
            1 => End::Errored("failed".into()),
            2 => End::Lost("broke".into()),
            _ => {
                self.ran.remove(&attempt);
                End::NotRun("refused".into())
            }
        };
        let service = Duration::from_millis(10);
        Some(Event::Ended(Ended { id, end, service }))
    }

    fn check(&mut self, effect: &Effect, frame_epoch: Option<u64>) -> Result<(), String> {
        match effect {
            Effect::Start(start) => self.check_start(start.id, &start.task),
            Effect::Send { frame, .. } => match &frame.body {
                Some(Body::Report(report)) => report.jobs.iter().try_for_each(|job| {
                    let name = number(&job.key);
                    job.tasks
                        .iter()
                        .try_for_each(|t| self.check_report(name, t, frame_epoch))
                }),
                Some(Body::FenceReply(reply)) => {
                    let name = number(&reply.key);
                    self.check_fence(name, reply)
                }
                _ => Err("unexpected frame".to_owned()),
            },
            _ => Ok(()),
        }
    }

    fn check_start(&mut self, id: u64, task: &str) -> Result<(), String> {
        let attempt = parse(task);
        let (job, index, _) = attempt;
        let fail = |what: &str| Err(format!("{task} started {what}"));
        if self.ran.iter().any(|(j, i, _)| (*j, *i) == (job, index)) {
            return fail("twice");
        }
        let epoch = self.asked.get(&attempt).copied().unwrap_or(0);
        if epoch != self.epochs.get(&job).copied().unwrap_or(0) {
            return fail("under a stale epoch");
        }
        if self.refused.contains(&(attempt, epoch)) {
            return fail("after it was refused");
        }
        if self.lease.is_none_or(|until| until <= self.now) {
            return fail("without a lease");
        }
        let live = self
            .endpoint
            .filter(|(seen, _, leaving)| self.now - *seen < SILENCE && !leaving);
        let Some((_, slots, _)) = live else {
            return fail("without an active endpoint");
        };
        if self.barred || self.leaving {
            return fail("while paused or leaving");
        }
        if self.is_old(job) {
            return fail("under an old claim");
        }
        self.running.insert(id, attempt);
        self.ran.insert(attempt);
        if self.running.len() > slots as usize {
            return fail("without a free slot");
        }
        Ok(())
    }

    fn check_report(
        &mut self,
        job: u8,
        task: &TaskReport,
        frame_epoch: Option<u64>,
    ) -> Result<(), String> {
        let attempt = (job, task.index, task.attempt);
        let running = self.running.values().any(|a| *a == attempt);
        match task.status() {
            TaskStatus::NotRun if self.ran.contains(&attempt) => Err(format!(
                "{attempt:?} ran and was reported as not run: {}",
                task.reason
            )),
            TaskStatus::NotRun => {
                let unrecorded = matches!(
                    &*task.reason,
                    "stale_epoch" | "claim_expired" | "incarnation"
                );
                let epoch = if unrecorded {
                    frame_epoch
                } else {
                    self.asked.get(&attempt).copied()
                };
                if let (Some(epoch), true) = (epoch, task.reason != "incarnation") {
                    self.refused.insert((attempt, epoch));
                }
                Ok(())
            }
            TaskStatus::Started if !running => Err(format!("{attempt:?} does not run")),
            TaskStatus::Done | TaskStatus::Errored | TaskStatus::Lost
                if !self.ran.contains(&attempt) =>
            {
                Err(format!("{attempt:?} never ran"))
            }
            _ => Ok(()),
        }
    }

    /// Checks that a complete account lists every attempt that ran.
    fn check_fence(&mut self, job: u8, reply: &proto::FenceReply) -> Result<(), String> {
        reply
            .tasks
            .iter()
            .try_for_each(|t| self.check_report(job, t, None))?;
        let stale = reply.epoch != self.epochs.get(&job).copied().unwrap_or(0);
        let listed: BTreeSet<Attempt> = reply
            .tasks
            .iter()
            .map(|t| (job, t.index, t.attempt))
            .collect();
        let accounted = self.ran.iter().all(|a| a.0 != job || listed.contains(a));
        if stale || (reply.complete && !accounted) {
            return Err(format!(
                "the fence reply {reply:?} does not account for {:?}",
                self.ran
            ));
        }
        Ok(())
    }

    fn check_slots(&self) -> Result<(), String> {
        let load = self.engine.load(self.now);
        if load.running as usize != self.running.len() {
            return Err(format!("{load:?} while {} run", self.running.len()));
        }
        Ok(())
    }
}

/// Guards against double starts, starts without a right to it, wrong refusals, more running
/// tasks than slots, and accounts with gaps, whatever arrives in whatever order.
#[test]
fn rules_hold_in_any_order() {
    fn property(ops: Vec<Op>) -> Result<bool, String> {
        let mut model = Model::new();
        let first = [
            Op::Up(0),
            Op::Announce {
                slots: 2,
                connections: 2,
                leaving: false,
            },
            Op::Renew { paused: false },
        ];
        for op in first.into_iter().chain(ops) {
            model.apply(op)?;
        }
        Ok(true)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<Op>) -> Result<bool, String>);
}

/// Guards against reservations that together hold more slots than there are.
#[test]
fn grants_never_exceed_the_slots() {
    fn property(counts: Vec<(u8, u8, bool)>, slots: u8) -> bool {
        let slots = u32::from(slots % 6) + 1;
        let mut model = Model::new();
        let first = [
            Op::Up(0),
            Op::Up(1),
            Op::Announce {
                slots,
                connections: 4,
                leaving: false,
            },
            Op::Renew { paused: false },
        ];
        let capacity = slots.min(4);
        let ops = counts.into_iter().map(|(job, count, run)| {
            let (link, job) = (u64::from(job % 2), job % 3);
            if run {
                let at = (0..u32::from(count % 4))
                    .map(|i| (i, u32::from(count)))
                    .collect();
                Op::Run {
                    link,
                    job,
                    epoch: 1,
                    own: true,
                    granted: count % 2 == 0,
                    at,
                    deadline: 0,
                }
            } else {
                Op::Reserve {
                    link,
                    job,
                    count: u32::from(count % 8),
                }
            }
        });
        first.into_iter().chain(ops).all(|op| {
            let applied = model.apply(op).is_ok();
            let load = model.engine.load(model.now);
            applied && load.running + load.granted <= capacity
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, bool)>, u8) -> bool);
}

fn key(job: u8) -> Option<proto::JobKey> {
    let (team, job) = (format!("t{}", job % 2), job.to_string());
    Some(proto::JobKey { team, job })
}

/// Returns when the job was claimed; the claims of two jobs grow too old during a long run.
fn claimed_ms(job: u8) -> u64 {
    CONTROL_MS - [0, 25_000, 29_000][usize::from(job)]
}

fn number(key: &Option<proto::JobKey>) -> u8 {
    key.as_ref()
        .and_then(|k| k.job.parse().ok())
        .expect("a job of this test")
}

fn parse(task: &str) -> Attempt {
    let parts: Vec<u32> = task
        .split('/')
        .skip(1)
        .map(|p| p.parse().expect("a number"))
        .collect();
    (parts[0] as u8, parts[1], parts[2])
}

fn task((index, attempt): (u32, u32), deadline_ms: u64) -> proto::TaskSpec {
    proto::TaskSpec {
        index,
        attempt,
        kind: "echo".to_owned(),
        payload: Bytes::from_static(b"{}"),
        deadline_ms,
        repeatable: false,
    }
}

fn announcement(slots: u32, connections: u32, leaving: bool) -> Announcement {
    let state = if leaving { "leaving" } else { "active" };
    let text = format!(
        r#"{{"address":"127.0.0.1:9","path":"/tasks","slots":{slots},"connections":{connections},"state":"{state}"}}"#
    );
    Announcement::parse(text.as_bytes()).expect("a valid announcement")
}

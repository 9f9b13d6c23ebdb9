//! Properties of the engine under any order of frames, ends, clocks and link losses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use quickcheck::Gen;
use quickcheck::QuickCheck;

use sassafras_agent::Effect;
use sassafras_agent::Event;
use sassafras_agent::LinkId;
use sassafras_agent::Options;
use sassafras_agent::TaskOutcome;
use sassafras_wire::Body;
use sassafras_wire::proto::FenceReply;
use sassafras_wire::proto::NodeState;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::bench::Bench;
use crate::bench::CONTROL_MS;
use crate::bench::LEASE;
use crate::bench::OWN;
use crate::bench::announcement;
use crate::bench::task;

const SEED: u64 = 0xa6e7_0001;
const TESTS: u64 = 3000;
const SIZE: usize = 150;
const SILENCE: Duration = Duration::from_secs(3);
/// Half of it is in reach of a run, the whole is not.
const RETENTION: Duration = Duration::from_secs(60);

/// A kind of operation and three numbers that it is made of; tuples shrink well.
type Op = (u8, u8, u8, u8);
type Attempt = (u8, u32, u32);

/// What the rules allow, kept apart from the engine.
struct Model {
    bench: Bench,
    links: BTreeSet<LinkId>,
    lease: Option<Instant>,
    /// When the endpoint announced itself, what it can run, and whether it leaves.
    endpoint: Option<(Instant, u32, bool)>,
    barred: bool,
    epochs: BTreeMap<u8, u64>,
    /// The epoch under which an attempt was first asked for.
    asked: BTreeMap<Attempt, u64>,
    running: BTreeSet<Attempt>,
    /// Attempts that started and did not end as not run.
    ran: BTreeSet<Attempt>,
    /// Attempts reported as not run, with the epoch they were asked under.
    refused: BTreeSet<(Attempt, u64)>,
}

impl Model {
    fn new() -> Result<Self, String> {
        let options = Options {
            retention: RETENTION,
            queue: 6,
            records: 40,
            ..Options::default()
        };
        let mut model = Self {
            bench: Bench::new(options),
            links: BTreeSet::new(),
            lease: None,
            endpoint: None,
            barred: false,
            epochs: BTreeMap::new(),
            asked: BTreeMap::new(),
            running: BTreeSet::new(),
            ran: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        let first = [(0, 0, 0, 0), (34, 1, 3, 1), (36, 1, 0, 0)];
        first.into_iter().try_for_each(|op| model.apply(op))?;
        Ok(model)
    }

    fn apply(&mut self, (kind, a, b, c): Op) -> Result<(), String> {
        let link = LinkId(u64::from(a % 3));
        let job = b % 3;
        let name = job.to_string();
        let epoch = 1 + u64::from(c % 3);
        let up = self.links.contains(&link);
        let mut asked = None;
        self.bench.claimed = Self::claimed_ms(job);
        let effects = match kind % 48 {
            0 if self.links.insert(link) => self.bench.handle(Event::LinkUp(link)),
            1 if self.links.remove(&link) => self.bench.handle(Event::LinkDown(link)),
            2..7 if up => self.bench.reserve(link, &name, u32::from(c % 5)),
            7..9 if up => self.bench.release(link, &name, u32::from(c % 3), c > 127),
            9..20 if up => {
                asked = Some(epoch);
                self.run(link, job, epoch, c)
            }
            20..23 if up => {
                let highest = self.epochs.entry(job).or_default();
                *highest = epoch.max(*highest);
                self.bench.send_fence(link, &name, epoch)
            }
            23 if up => {
                if let Some(highest) = self.epochs.get_mut(&job) {
                    *highest = epoch.max(*highest);
                }
                self.bench.cancel(link, &name, epoch)
            }
            24..34 => self.end(usize::from(a % 8), b),
            34..36 => {
                let (slots, connections, leaving) = (1 + a % 5, 1 + b % 6, c == 0);
                let capacity = u32::from(slots.min(connections));
                self.endpoint = Some((self.bench.now, capacity, leaving));
                let state = if leaving { "leaving" } else { "active" };
                let info = announcement(slots.into(), connections.into(), state);
                self.bench.handle(Event::EndpointAnnounced(info))
            }
            36..40 => {
                self.lease = Some(self.bench.now + LEASE);
                self.barred = a == 0;
                self.bench.renew_as(if a == 0 {
                    NodeState::Paused
                } else {
                    NodeState::Active
                })
            }
            40..48 => {
                self.bench.advance(Duration::from_millis(u64::from(a) * 5));
                self.bench.handle(Event::Tick)
            }
            _ => Vec::new(),
        };
        effects.iter().try_for_each(|e| self.check(e, asked))?;
        let load = self.bench.engine.load(self.bench.now);
        if load.running as usize != self.running.len() {
            return Err(format!("{load:?} while {:?} run", self.running));
        }
        Ok(())
    }

    fn run(&mut self, link: LinkId, job: u8, epoch: u64, seed: u8) -> Vec<Effect> {
        let own = seed != 7;
        let number = |i: u8| u32::from(seed.wrapping_mul(31).wrapping_add(i * 5) % 6);
        let at: Vec<_> = (0..seed % 4)
            .map(|i| (number(i), number(i + 7) % 3))
            .collect();
        let highest = self.epochs.get(&job).copied().unwrap_or(0);
        if own && epoch >= highest {
            for (index, attempt) in &at {
                self.asked.entry((job, *index, *attempt)).or_insert(epoch);
            }
            // An unknown job whose claim is too old is refused without a record.
            if highest > 0 || !self.is_old(job) {
                self.epochs.insert(job, epoch);
            }
        }
        let tasks = at.into_iter().map(|(index, attempt)| {
            let mut task = task(index, attempt);
            task.deadline_ms = [0, 50, 5000][usize::from(seed / 4 % 3)];
            task
        });
        let incarnation = if own { OWN } else { OWN - 1 };
        let granted = seed.is_multiple_of(2);
        self.bench.run_with(
            link,
            &job.to_string(),
            epoch,
            incarnation,
            granted,
            tasks.collect(),
        )
    }

    fn end(&mut self, nth: usize, how: u8) -> Vec<Effect> {
        let Some(attempt) = self.running.iter().nth(nth).copied() else {
            return Vec::new();
        };
        self.running.remove(&attempt);
        let end = match how % 4 {
            0 => TaskOutcome::Done(Bytes::from_static(b"result")),
            1 => TaskOutcome::Errored("failed".into()),
            2 => TaskOutcome::Lost("broke".into()),
            _ => {
                self.ran.remove(&attempt);
                TaskOutcome::NotRun("refused".into())
            }
        };
        let (job, index, attempt) = attempt;
        self.bench
            .end(&format!("demo/{job}/{index}/{attempt}"), &end)
    }

    fn check(&mut self, effect: &Effect, asked: Option<u64>) -> Result<(), String> {
        match effect {
            Effect::Start(start) => self.check_start(&start.task),
            Effect::Send { frame, .. } => match &frame.body {
                Some(Body::Report(report)) => report.jobs.iter().try_for_each(|job| {
                    let name = number(job.key.as_ref().map(|k| &*k.job));
                    let mut tasks = job.tasks.iter();
                    tasks.try_for_each(|t| self.check_report(name, t, asked))
                }),
                Some(Body::FenceReply(reply)) => self.check_fence(reply),
                _ => Err("unexpected frame".to_owned()),
            },
            _ => Ok(()),
        }
    }

    fn check_start(&mut self, task: &str) -> Result<(), String> {
        let mut parts = task
            .split('/')
            .skip(1)
            .map(|p| p.parse().expect("a number"));
        let mut next = || parts.next().expect("team, job, index and attempt");
        let attempt = (next() as u8, next(), next());
        let (job, index, _) = attempt;
        let epoch = self.asked.get(&attempt).copied().unwrap_or(0);
        let now = self.bench.now;
        let live = self.endpoint.filter(|(seen, ..)| now - *seen < SILENCE);
        self.running.insert(attempt);
        let faults = [
            ("twice", self.ran.iter().any(|a| (a.0, a.1) == (job, index))),
            ("under a stale epoch", self.epochs.get(&job) != Some(&epoch)),
            (
                "after it was refused",
                self.refused.contains(&(attempt, epoch)),
            ),
            (
                "without a lease",
                self.lease.is_none_or(|until| until <= now),
            ),
            (
                "without an endpoint",
                live.is_none_or(|(_, _, leaving)| leaving),
            ),
            ("while paused", self.barred),
            ("under an old claim", self.is_old(job)),
            (
                "without a free slot",
                live.is_some_and(|(_, slots, _)| self.running.len() > slots as usize),
            ),
        ];
        self.ran.insert(attempt);
        match faults.iter().find(|(_, found)| *found) {
            Some((fault, _)) => Err(format!("{task} started {fault}")),
            None => Ok(()),
        }
    }

    fn check_report(
        &mut self,
        job: u8,
        task: &TaskReport,
        asked: Option<u64>,
    ) -> Result<(), String> {
        let attempt = (job, task.index, task.attempt);
        let ran = self.ran.contains(&attempt);
        let wrong = match task.status() {
            TaskStatus::NotRun => ran,
            TaskStatus::Started => !self.running.contains(&attempt),
            TaskStatus::Done | TaskStatus::Errored | TaskStatus::Lost => !ran,
            _ => false,
        };
        if wrong {
            return Err(format!("wrong report on {attempt:?}: {task:?}"));
        }
        if task.status() == TaskStatus::NotRun && task.reason != "incarnation" {
            let whole_frame = matches!(&*task.reason, "stale_epoch" | "claim_expired");
            let recorded = self.asked.get(&attempt).copied();
            let epoch = asked.filter(|_| whole_frame).or(recorded);
            self.refused.extend(epoch.map(|e| (attempt, e)));
        }
        Ok(())
    }

    /// Checks that a complete account lists every attempt that ran.
    fn check_fence(&mut self, reply: &FenceReply) -> Result<(), String> {
        let job = number(reply.key.as_ref().map(|k| &*k.job));
        for task in &reply.tasks {
            self.check_report(job, task, None)?;
        }
        let listed = |a: &Attempt| {
            let mut tasks = reply.tasks.iter();
            tasks.any(|t| (t.index, t.attempt) == (a.1, a.2))
        };
        let accounted = self.ran.iter().all(|a| a.0 != job || listed(a));
        let stale = self.epochs.get(&job) != Some(&reply.epoch);
        if stale || (reply.complete && !accounted) {
            return Err(format!("{reply:?} does not account for {:?}", self.ran));
        }
        Ok(())
    }

    /// Returns when the job was claimed; the claims of two jobs grow too old during a long run.
    fn claimed_ms(job: u8) -> u64 {
        CONTROL_MS - [0, 25_000, 29_000][usize::from(job)]
    }

    fn is_old(&self, job: u8) -> bool {
        let age = self.bench.control_ms() - Self::claimed_ms(job);
        Duration::from_millis(age) > RETENTION / 2
    }
}

/// Guards against double starts, starts without a right to it, wrong refusals, more running
/// tasks than slots, and accounts with gaps, whatever arrives in whatever order.
#[test]
fn rules_hold_in_any_order() {
    fn property(ops: Vec<Op>) -> Result<bool, String> {
        let mut model = Model::new()?;
        ops.into_iter().try_for_each(|op| model.apply(op))?;
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
    fn property(ops: Vec<Op>) -> Result<bool, String> {
        let mut model = Model::new()?;
        let capacity = model.endpoint.map_or(0, |(_, slots, _)| slots);
        // Without announcements, so that the capacity stays the same.
        for op in ops
            .into_iter()
            .filter(|op| !(34..36).contains(&(op.0 % 48)))
        {
            model.apply(op)?;
            let load = model.bench.engine.load(model.bench.now);
            if load.running + load.granted > capacity {
                return Ok(false);
            }
        }
        Ok(true)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<Op>) -> Result<bool, String>);
}

fn number(job: Option<&str>) -> u8 {
    job.and_then(|j| j.parse().ok())
        .expect("a job of this test")
}

//! A model of an endpoint: it runs tasks under a lease, lists their ends, and may leave orders unanswered.

use std::time::Duration;
use std::time::Instant;

use sassafras_dispatch::Resources;
use sassafras_dispatch::agent::call::ActiveRun;
use sassafras_dispatch::agent::call::Announcement;
use sassafras_dispatch::agent::call::Call;
use sassafras_dispatch::agent::call::Command;
use sassafras_dispatch::agent::call::Completion;
use sassafras_dispatch::agent::call::Rejection;
use sassafras_dispatch::agent::call::Response;
use sassafras_dispatch::agent::call::RunList;
use sassafras_dispatch::agent::call::TaskOutcome;
use sassafras_util::Name;

/// Longest lease that the endpoint grants.
const MAX_LEASE_MS: u64 = 1_000;

/// A run of a task. The payload carries its processor share and its time on an endpoint of
/// speed one: `CPU MS`.
#[derive(Clone, Debug)]
pub struct Work {
    pub task: Name,
    pub attempt: u32,
    pub cpu: u32,
    begun: Instant,
    takes: Duration,
}

#[derive(Debug)]
pub struct Endpoint {
    pub announced: Announcement,
    /// Factor on the time of every task.
    pub slowness: f64,
    /// Every task fails at its end.
    pub fails: bool,
    /// No task ever ends or makes progress.
    pub hangs: bool,
    /// Share of the orders that get no answer and are carried out 3 s later.
    pub unanswered: f64,
    /// Share of the orders that are carried out at once and whose answers get lost.
    pub answers_lost: f64,
    pub running: Vec<Work>,
    pub starts: u32,
    start: Instant,
    lease_ms: u64,
    token: u64,
    ended: Vec<Completion>,
    next_end: u64,
    holds: Vec<(u64, Instant)>,
}

impl Endpoint {
    pub fn new(now: Instant, name: &str, cpu: u32, slowness: f64) -> Self {
        let announced = Announcement {
            id: Name::from(name),
            started_ms: 1,
            sequence: 1,
            pool: Name::from("pool"),
            address: Name::from(name),
            labels: Vec::new(),
            capacity: Resources {
                cpu,
                memory_mb: 1024,
                accelerators: 0,
            },
            draining: false,
        };
        Self {
            announced,
            slowness,
            fails: false,
            hangs: false,
            unanswered: 0.0,
            answers_lost: 0.0,
            running: Vec::new(),
            starts: 0,
            start: now,
            lease_ms: 0,
            token: 0,
            ended: Vec::new(),
            next_end: 1,
            holds: Vec::new(),
        }
    }

    /// Returns the endpoint's clock, which runs 2 % slow.
    fn clock(&self, now: Instant) -> u64 {
        1_000 + (now - self.start).as_millis() as u64 * 98 / 100
    }

    /// Carries out an order. A hold may be answered later.
    pub fn order(&mut self, now: Instant, call: &Call) -> Option<Response> {
        let clock_ms = self.clock(now);
        let rejected = |reason| {
            Some(Response::Rejected {
                reason,
                clock_ms: Some(clock_ms),
            })
        };
        if call.token < self.token {
            return rejected(Rejection::Token);
        }
        self.token = call.token;
        match &call.command {
            Command::Start {
                task,
                attempt,
                payload,
                expires_ms,
            } => {
                if *expires_ms <= clock_ms {
                    return rejected(Rejection::Late);
                }
                self.extend(clock_ms, *expires_ms);
                let same = |w: &Work| w.task == *task;
                if self
                    .running
                    .iter()
                    .any(|w| same(w) && w.attempt == *attempt)
                {
                    return Some(Response::Accepted { clock_ms });
                }
                let ended = self.ended.iter().filter(|e| e.task == *task);
                if ended.map(|e| e.attempt).max() >= Some(*attempt) {
                    return rejected(Rejection::Stale);
                }
                let mut parts = payload.split(' ').map(|p| p.parse::<u32>().unwrap());
                let (cpu, ms) = (parts.next().unwrap(), parts.next().unwrap());
                self.starts += 1;
                self.running.push(Work {
                    task: task.clone(),
                    attempt: *attempt,
                    cpu,
                    begun: now,
                    takes: Duration::from_millis(ms.into()).mul_f64(self.slowness),
                });
                Some(Response::Accepted { clock_ms })
            }
            Command::Stop { task, attempt } => {
                self.end_where(
                    |w| w.task == *task && w.attempt == *attempt,
                    TaskOutcome::Stopped,
                );
                Some(Response::Accepted { clock_ms })
            }
            Command::Poll {
                expires_ms,
                acked,
                wait_ms,
            } => {
                if let Some(expires_ms) = expires_ms {
                    self.extend(clock_ms, *expires_ms);
                }
                self.ended.retain(|e| e.sequence > *acked);
                if !self.ended.is_empty() || *wait_ms == 0 {
                    return Some(self.list(now));
                }
                let until = now + Duration::from_millis(*wait_ms);
                self.holds.push((call.id, until));
                None
            }
        }
    }

    fn extend(&mut self, clock_ms: u64, expires_ms: u64) {
        let end = expires_ms.min(clock_ms + MAX_LEASE_MS);
        self.lease_ms = self.lease_ms.max(end);
    }

    fn list(&self, now: Instant) -> Response {
        let percent = |w: &Work| {
            if self.hangs {
                return 0;
            }
            let part = (now - w.begun).as_secs_f64() / w.takes.as_secs_f64();
            (part * 100.0).min(99.0) as u32
        };
        let running = self.running.iter().map(|w| ActiveRun {
            task: w.task.clone(),
            attempt: w.attempt,
            percent: percent(w),
        });
        Response::Runs(RunList {
            clock_ms: self.clock(now),
            started_ms: Some(self.announced.started_ms),
            running: running.collect(),
            completed: self.ended.clone(),
        })
    }

    fn end_where(&mut self, ends: impl Fn(&Work) -> bool, how: TaskOutcome) {
        for work in self.running.extract_if(.., |w| ends(w)) {
            self.ended.push(Completion {
                sequence: self.next_end,
                task: work.task,
                attempt: work.attempt,
                outcome: how,
            });
            self.next_end += 1;
        }
    }

    /// Lets time pass; returns the holds that are answered now.
    pub fn tick(&mut self, now: Instant) -> Vec<(u64, Response)> {
        if self.clock(now) > self.lease_ms {
            self.end_where(|_| true, TaskOutcome::Lapsed);
        }
        if !self.hangs {
            let how = if self.fails {
                TaskOutcome::Failed
            } else {
                TaskOutcome::Done
            };
            self.end_where(|w| now >= w.begun + w.takes, how);
        }
        let any = !self.ended.is_empty();
        let due: Vec<_> = self
            .holds
            .extract_if(.., |(_, until)| any || now >= *until)
            .collect();
        due.into_iter().map(|(n, _)| (n, self.list(now))).collect()
    }
}

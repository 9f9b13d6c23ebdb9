//! What the agent remembers about jobs: the highest epoch, and every start and refusal.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;

use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::JobKey;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::engine::LinkId;
use crate::engine::Options;

/// A reason in a report.
pub(crate) type Reason = Cow<'static, str>;

/// The index and attempt of a task.
pub(crate) type At = (u32, u32);

/// Reason of a result whose payload was dropped to bound memory.
pub(crate) const PAYLOAD_DROPPED: &str = "payload_dropped";

/// A deadline and a number that makes it unique.
pub(crate) type Timer = (Instant, u64);

/// A task that waits for a slot.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) arrived: Instant,
    pub(crate) timer: Option<Timer>,
    pub(crate) claimed: u64,
    pub(crate) kind: Name,
    pub(crate) payload: Bytes,
}

/// How far an attempt has come.
#[derive(Debug)]
pub(crate) enum State {
    Queued(Box<Pending>),
    Started,
    Ended {
        status: TaskStatus,
        payload: Bytes,
        reason: Reason,
        service_us: u64,
    },
}

/// One attempt of a task.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) state: State,
    pub(crate) wait_us: u64,
    pub(crate) reported: bool,
}

impl Task {
    pub(crate) fn refused(reason: Reason) -> Self {
        Self {
            state: not_run(reason),
            wait_us: 0,
            reported: false,
        }
    }

    pub(crate) fn report(&self, (index, attempt): At) -> TaskReport {
        let mut report = TaskReport {
            index,
            attempt,
            wait_us: self.wait_us,
            ..TaskReport::default()
        };
        match &self.state {
            State::Queued(_) => report.set_status(TaskStatus::Queued),
            State::Started => report.set_status(TaskStatus::Started),
            State::Ended {
                status,
                payload,
                reason,
                service_us,
            } => {
                report.set_status(*status);
                report.payload = payload.clone();
                report.reason = reason.to_string();
                report.service_us = *service_us;
            }
        }
        report
    }
}

pub(crate) fn not_run(reason: Reason) -> State {
    State::Ended {
        status: TaskStatus::NotRun,
        payload: Bytes::new(),
        reason,
        service_us: 0,
    }
}

/// Everything the agent knows about one job.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) epoch: u64,
    /// The link that fenced or ran last; results go there.
    pub(crate) link: Option<LinkId>,
    /// Whether nothing of the record was dropped.
    pub(crate) complete: bool,
    /// Whether the present epoch's owner has cancelled the job.
    pub(crate) cancelled: bool,
    /// Whether the record is full, so that nothing more is started.
    pub(crate) closed: bool,
    pub(crate) touched: Instant,
    pub(crate) tasks: FastMap<At, Task>,
    /// The attempt of each index that waits or was started.
    pub(crate) taken: FastMap<u32, u32>,
    pub(crate) queued: VecDeque<At>,
    pub(crate) running: u32,
}

impl Job {
    fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            link: None,
            complete: true,
            cancelled: false,
            closed: false,
            touched: now,
            tasks: FastMap::default(),
            taken: FastMap::default(),
            queued: VecDeque::new(),
            running: 0,
        }
    }

    pub(crate) fn has_unreported(&self) -> bool {
        let waits = |t: &Task| !t.reported && matches!(t.state, State::Ended { .. });
        self.tasks.values().any(waits)
    }
}

/// The records of all jobs, bounded in number, bytes and time.
#[derive(Debug)]
pub(crate) struct Records {
    options: Options,
    jobs: FastMap<JobKey, Job>,
    count: usize,
    bytes: usize,
    finished: VecDeque<(JobKey, At)>,
    due: BTreeMap<(Instant, u64), JobKey>,
    next: u64,
    /// Jobs without a record that were claimed up to this control time are refused: one of
    /// them was refused or fenced when there was no room to record it.
    floor: u64,
}

impl Records {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            jobs: FastMap::default(),
            count: 0,
            bytes: 0,
            finished: VecDeque::new(),
            due: BTreeMap::new(),
            next: 0,
            floor: 0,
        }
    }

    pub(crate) fn get(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.jobs.get_mut(key)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }

    /// Returns the jobs that have queued tasks.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &JobKey> {
        let waits = |(_, job): &(&JobKey, &Job)| !job.queued.is_empty();
        self.jobs.iter().filter(waits).map(|(key, _)| key)
    }

    /// Returns the job's record, made if there is room for it. Without room, this and every
    /// other unknown job claimed up to `claimed` is refused from now on.
    pub(crate) fn open(&mut self, now: Instant, key: &JobKey, claimed: u64) -> Option<&mut Job> {
        if !self.jobs.contains_key(key) {
            if claimed <= self.floor || self.is_full() {
                self.floor = self.floor.max(claimed);
                return None;
            }
            self.count += 1;
            self.next += 1;
            let due = (now + self.options.retention, self.next);
            self.due.insert(due, key.clone());
            self.jobs.insert(key.clone(), Job::new(now));
        }
        let job = self.jobs.get_mut(key)?;
        job.touched = now;
        Some(job)
    }

    /// Adds the record of an attempt. A job whose record cannot grow starts nothing more, so
    /// that the refusal is final without a record.
    pub(crate) fn insert(&mut self, key: &JobKey, at: At, task: Task) -> bool {
        let full = self.is_full();
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        if full {
            job.closed = true;
            return false;
        }
        self.count += 1;
        if !matches!(task.state, State::Ended { .. }) {
            job.taken.insert(at.0, at.1);
        }
        job.tasks.insert(at, task);
        true
    }

    /// Records how an attempt ended.
    pub(crate) fn end(&mut self, now: Instant, key: &JobKey, at: At, state: State) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&at) else {
            return;
        };
        job.touched = now;
        if let State::Ended {
            status, payload, ..
        } = &state
        {
            if *status == TaskStatus::NotRun {
                job.taken.remove(&at.0);
            }
            if !payload.is_empty() {
                self.bytes += payload.len();
                self.finished.push_back((key.clone(), at));
            }
        }
        task.state = state;
        self.trim();
    }

    /// Drops the oldest payloads until the rest fits.
    fn trim(&mut self) {
        while self.bytes > self.options.result_bytes {
            let Some((key, at)) = self.finished.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if let Some(task) = job.tasks.get_mut(&at)
                && let State::Ended {
                    payload, reason, ..
                } = &mut task.state
                && !payload.is_empty()
            {
                self.bytes -= payload.len();
                *payload = Bytes::new();
                *reason = PAYLOAD_DROPPED.into();
                job.complete = false;
                metrics::counter!("agent_payloads_dropped").increment(1);
            }
        }
    }

    /// Drops records whose retention is over, unless a task of them waits or runs.
    pub(crate) fn sweep(&mut self, now: Instant) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let key = entry.remove();
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            let busy = job.running > 0 || !job.queued.is_empty();
            let from = if busy { now } else { job.touched };
            if from + self.options.retention > now {
                self.next += 1;
                self.due
                    .insert((from + self.options.retention, self.next), key);
            } else {
                self.remove(&key);
            }
        }
        while let Some((key, _)) = self.finished.front()
            && !self.jobs.contains_key(key)
        {
            self.finished.pop_front();
        }
    }

    fn remove(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.count -= 1 + job.tasks.len();
        let held = job.tasks.values().map(|t| match &t.state {
            State::Ended { payload, .. } => payload.len(),
            _ => 0,
        });
        self.bytes -= held.sum::<usize>();
    }

    fn is_full(&self) -> bool {
        self.count >= self.options.records
    }
}

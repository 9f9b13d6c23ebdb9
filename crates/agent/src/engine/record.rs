//! Records of jobs: the highest epoch seen, and every attempt that was accepted or refused.

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

/// Reason text of a task report.
pub(crate) type Reason = Cow<'static, str>;

/// Identifies an attempt within a job: the task index and the attempt number.
pub(crate) type AttemptId = (u32, u64);

/// Reason reported for a result whose payload was evicted to bound memory.
pub(crate) const PAYLOAD_DROPPED: &str = "payload_dropped";

/// Ordered key of a deadline: the instant, and a number that makes it unique.
pub(crate) type DeadlineKey = (Instant, u64);

/// The parts of a queued task that are needed to start it.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) queued_at: Instant,
    pub(crate) deadline: Option<DeadlineKey>,
    /// Control time at which the entry claimed the job.
    pub(crate) claimed_ms: u64,
    pub(crate) kind: Name,
    pub(crate) payload: Bytes,
}

#[derive(Debug)]
pub(crate) enum AttemptState {
    Queued(Box<Pending>),
    Started,
    Finished {
        status: TaskStatus,
        payload: Bytes,
        reason: Reason,
        service_us: u64,
    },
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) state: AttemptState,
    /// Time spent in the queue.
    pub(crate) wait_us: u64,
    /// Whether the final state was handed to a link.
    pub(crate) reported: bool,
}

impl Attempt {
    pub(crate) fn refused(reason: Reason) -> Self {
        Self {
            state: not_run_state(reason),
            wait_us: 0,
            reported: false,
        }
    }

    pub(crate) fn report(&self, (index, attempt): AttemptId) -> TaskReport {
        let mut report = TaskReport {
            index,
            attempt,
            wait_us: self.wait_us,
            ..TaskReport::default()
        };
        match &self.state {
            AttemptState::Queued(_) => report.set_status(TaskStatus::Queued),
            AttemptState::Started => report.set_status(TaskStatus::Started),
            AttemptState::Finished {
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

pub(crate) fn not_run_state(reason: Reason) -> AttemptState {
    AttemptState::Finished {
        status: TaskStatus::NotRun,
        payload: Bytes::new(),
        reason,
        service_us: 0,
    }
}

/// The record of one job.
#[derive(Debug)]
pub(crate) struct JobRecord {
    pub(crate) epoch: u64,
    /// The link that the latest accepted `Fence` or `Run` came from, which receives the reports.
    pub(crate) link: Option<LinkId>,
    /// Whether no payload of the record was evicted.
    pub(crate) complete: bool,
    /// Whether the owner of the current epoch has cancelled the job.
    pub(crate) cancelled: bool,
    /// Whether an attempt could not be recorded. No further task is accepted then.
    pub(crate) full: bool,
    pub(crate) last_used: Instant,
    pub(crate) attempts: FastMap<AttemptId, Attempt>,
    /// The attempt of each task index that is queued, running, or has ended other than as not
    /// run. The index accepts no other attempt.
    pub(crate) accepted: FastMap<u32, u64>,
    pub(crate) queued: VecDeque<AttemptId>,
    pub(crate) running: u32,
}

impl JobRecord {
    fn new(now: Instant) -> Self {
        Self {
            epoch: 0,
            link: None,
            complete: true,
            cancelled: false,
            full: false,
            last_used: now,
            attempts: FastMap::default(),
            accepted: FastMap::default(),
            queued: VecDeque::new(),
            running: 0,
        }
    }

    pub(crate) fn has_unreported_results(&self) -> bool {
        let unreported =
            |a: &Attempt| !a.reported && matches!(a.state, AttemptState::Finished { .. });
        self.attempts.values().any(unreported)
    }
}

/// The records of all jobs, bounded by number, payload bytes and age.
#[derive(Debug)]
pub(crate) struct Records {
    options: Options,
    jobs: FastMap<JobKey, JobRecord>,
    /// Number of jobs and attempts.
    record_count: usize,
    payload_bytes: usize,
    /// Attempts with a payload, oldest result first; may name records that are gone.
    payloads: VecDeque<(JobKey, AttemptId)>,
    /// When each job is next checked for expiry.
    expirations: BTreeMap<(Instant, u64), JobKey>,
    next_seq: u64,
    /// Jobs without a record that were claimed at or before this control time are refused: one
    /// of them was refused or fenced without room to record it, and which one is not known.
    claim_floor: u64,
}

impl Records {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            jobs: FastMap::default(),
            record_count: 0,
            payload_bytes: 0,
            payloads: VecDeque::new(),
            expirations: BTreeMap::new(),
            next_seq: 0,
            claim_floor: 0,
        }
    }

    pub(crate) fn get(&self, key: &JobKey) -> Option<&JobRecord> {
        self.jobs.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: &JobKey) -> Option<&mut JobRecord> {
        self.jobs.get_mut(key)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut JobRecord> {
        self.jobs.values_mut()
    }

    /// Returns the jobs with queued tasks.
    pub(crate) fn with_queued(&self) -> impl Iterator<Item = &JobKey> {
        let has_queued = |(_, job): &(&JobKey, &JobRecord)| !job.queued.is_empty();
        self.jobs.iter().filter(has_queued).map(|(key, _)| key)
    }

    /// Returns the job's record, creating it if there is room. Returns `None` if there is none;
    /// this and every other unrecorded job claimed at or before `claimed_ms` is then refused for
    /// good.
    pub(crate) fn get_or_create(
        &mut self,
        now: Instant,
        key: &JobKey,
        claimed_ms: u64,
    ) -> Option<&mut JobRecord> {
        if !self.jobs.contains_key(key) {
            if claimed_ms <= self.claim_floor || self.is_full() {
                self.claim_floor = self.claim_floor.max(claimed_ms);
                return None;
            }
            self.record_count += 1;
            self.next_seq += 1;
            let due = (now + self.options.retention, self.next_seq);
            self.expirations.insert(due, key.clone());
            self.jobs.insert(key.clone(), JobRecord::new(now));
        }
        let job = self.jobs.get_mut(key)?;
        job.last_used = now;
        Some(job)
    }

    /// Adds an attempt to the job's record and returns whether there was room. If not, the job
    /// accepts no further task, which makes the refusal final although it is not recorded.
    pub(crate) fn insert(&mut self, key: &JobKey, id: AttemptId, attempt: Attempt) -> bool {
        let full = self.is_full();
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        if full {
            job.full = true;
            return false;
        }
        self.record_count += 1;
        if !matches!(attempt.state, AttemptState::Finished { .. }) {
            job.accepted.insert(id.0, id.1);
        }
        job.attempts.insert(id, attempt);
        true
    }

    /// Moves an attempt to its final state.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        key: &JobKey,
        id: AttemptId,
        state: AttemptState,
    ) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(attempt) = job.attempts.get_mut(&id) else {
            return;
        };
        job.last_used = now;
        if let AttemptState::Finished {
            status, payload, ..
        } = &state
        {
            if *status == TaskStatus::NotRun {
                job.accepted.remove(&id.0);
            }
            if !payload.is_empty() {
                self.payload_bytes += payload.len();
                self.payloads.push_back((key.clone(), id));
            }
        }
        attempt.state = state;
        self.evict_payloads();
    }

    /// Evicts the oldest payloads until the rest fits the limit.
    fn evict_payloads(&mut self) {
        while self.payload_bytes > self.options.result_bytes {
            let Some((key, id)) = self.payloads.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            if let Some(attempt) = job.attempts.get_mut(&id)
                && let AttemptState::Finished {
                    payload, reason, ..
                } = &mut attempt.state
                && !payload.is_empty()
            {
                self.payload_bytes -= payload.len();
                *payload = Bytes::new();
                *reason = PAYLOAD_DROPPED.into();
                job.complete = false;
                metrics::counter!("agent_payloads_dropped").increment(1);
            }
        }
    }

    /// Removes the records that were not used within the retention period and have no queued or
    /// running task.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        while let Some(entry) = self.expirations.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let key = entry.remove();
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            let busy = job.running > 0 || !job.queued.is_empty();
            let since = if busy { now } else { job.last_used };
            if since + self.options.retention > now {
                self.next_seq += 1;
                self.expirations
                    .insert((since + self.options.retention, self.next_seq), key);
            } else {
                self.remove(&key);
            }
        }
        while let Some((key, _)) = self.payloads.front()
            && !self.jobs.contains_key(key)
        {
            self.payloads.pop_front();
        }
    }

    fn remove(&mut self, key: &JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.record_count -= 1 + job.attempts.len();
        let freed = job.attempts.values().map(|a| match &a.state {
            AttemptState::Finished { payload, .. } => payload.len(),
            _ => 0,
        });
        self.payload_bytes -= freed.sum::<usize>();
    }

    fn is_full(&self) -> bool {
        self.record_count >= self.options.records
    }
}

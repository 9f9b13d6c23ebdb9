//! Requests that wait for a log entry to be held or committed.

use std::collections::BTreeMap;

use sassafras_runtime::ConnId;
use sassafras_util::FastMap;
use sassafras_wire::JobKey;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Heartbeat;

/// Where an answer goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) conn: ConnId,
    pub(crate) request: u64,
}

/// What is answered once an entry is committed.
#[derive(Debug)]
pub(crate) enum OnCommit {
    /// The reply of the state.
    Reply,
    /// The answer to a heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// The acceptance of a change of the member set.
    Member(String),
}

/// A proposal of this leader that is not committed yet.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) caller: Option<Caller>,
    pub(crate) on_commit: OnCommit,
    pub(crate) key: Option<JobKey>,
}

/// The proposals of a leader, by log index.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    proposals: BTreeMap<u64, Proposal>,
    /// Answers to completed jobs that go out once a majority holds the entry.
    early_replies: BTreeMap<u64, FinishReply>,
    /// How many proposals concern a job.
    job_counts: FastMap<JobKey, u32>,
}

impl Pending {
    pub(crate) fn insert(&mut self, index: u64, proposal: Proposal) {
        if let Some(key) = &proposal.key {
            *self.job_counts.entry(key.clone()).or_default() += 1;
        }
        self.proposals.insert(index, proposal);
    }

    /// Reports whether a proposal concerns the job. The state then cannot tell yet what the
    /// next command for the job will return.
    pub(crate) fn has_job(&self, key: &JobKey) -> bool {
        self.job_counts.contains_key(key)
    }

    /// Lets the proposal be answered as soon as a majority holds it.
    pub(crate) fn reply_when_replicated(&mut self, index: u64, reply: FinishReply) {
        self.early_replies.insert(index, reply);
    }

    /// Takes the answers that a majority holds up to `index`.
    pub(crate) fn take_replicated(&mut self, index: u64) -> Vec<(Caller, FinishReply)> {
        let later = self.early_replies.split_off(&(index + 1));
        let due = std::mem::replace(&mut self.early_replies, later);
        let take = |(index, reply)| {
            let proposal = self.proposals.get_mut(&index)?;
            Some((proposal.caller.take()?, reply))
        };
        due.into_iter().filter_map(take).collect()
    }

    /// Takes the proposal at a committed index.
    pub(crate) fn take_committed(&mut self, index: u64) -> Option<Proposal> {
        self.early_replies.remove(&index);
        let proposal = self.proposals.remove(&index)?;
        if let Some(key) = &proposal.key
            && let Some(count) = self.job_counts.get_mut(key)
        {
            *count -= 1;
            if *count == 0 {
                self.job_counts.remove(key);
            }
        }
        Some(proposal)
    }

    /// Takes everything, since this member no longer leads.
    pub(crate) fn drain(&mut self) -> Vec<Proposal> {
        let all = std::mem::take(self);
        all.proposals.into_values().collect()
    }

    /// Returns the number of jobs that proposals concern.
    pub(crate) fn job_count(&self) -> usize {
        self.job_counts.len()
    }
}

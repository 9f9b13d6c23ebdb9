//! Requests that wait until a majority has received a log entry, or until it is committed.

use std::collections::BTreeMap;

use sassafras_runtime::ConnId;
use sassafras_util::FastMap;
use sassafras_wire::JobKey;
use sassafras_wire::proto::FinishReply;
use sassafras_wire::proto::Heartbeat;

/// The connection and request id that a reply is sent to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) conn: ConnId,
    pub(crate) request: u64,
}

/// The reply to send once an entry is committed.
#[derive(Debug)]
pub(crate) enum OnCommit {
    /// The reply that the state returned.
    Reply,
    /// The reply to this heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// The acceptance of the described change of the member set, which also goes to the audit
    /// trail.
    Member(String),
}

/// An uncommitted proposal of this leader.
#[derive(Debug)]
pub(crate) struct Proposal {
    pub(crate) caller: Option<Caller>,
    pub(crate) on_commit: OnCommit,
    pub(crate) key: Option<JobKey>,
}

/// The uncommitted proposals of a leader, by log index.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    proposals: BTreeMap<u64, Proposal>,
    /// Replies to completed jobs that are sent once a majority has received the entry, before it is
    /// synced and committed.
    early_replies: BTreeMap<u64, FinishReply>,
    /// Number of proposals per job.
    job_counts: FastMap<JobKey, u32>,
}

impl Pending {
    pub(crate) fn insert(&mut self, index: u64, proposal: Proposal) {
        if let Some(key) = &proposal.key {
            *self.job_counts.entry(key.clone()).or_default() += 1;
        }
        self.proposals.insert(index, proposal);
    }

    /// Returns whether a proposal for the job is pending. The state then cannot predict the reply
    /// to the next command for the job.
    pub(crate) fn has_job(&self, key: &JobKey) -> bool {
        self.job_counts.contains_key(key)
    }

    /// Registers the reply to send as soon as a majority has received the entry.
    pub(crate) fn reply_when_replicated(&mut self, index: u64, reply: FinishReply) {
        self.early_replies.insert(index, reply);
    }

    /// Takes the early replies for entries up to `index`, which a majority has received.
    pub(crate) fn take_replicated(&mut self, index: u64) -> Vec<(Caller, FinishReply)> {
        let later = self.early_replies.split_off(&(index + 1));
        let due = std::mem::replace(&mut self.early_replies, later);
        let take = |(index, reply)| {
            let proposal = self.proposals.get_mut(&index)?;
            Some((proposal.caller.take()?, reply))
        };
        due.into_iter().filter_map(take).collect()
    }

    /// Takes the proposal at `index`, which is committed.
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

    /// Takes all proposals and drops the early replies, after this member lost leadership.
    pub(crate) fn drain(&mut self) -> Vec<Proposal> {
        let all = std::mem::take(self);
        all.proposals.into_values().collect()
    }

    /// Returns the number of jobs with a pending proposal.
    pub(crate) fn job_count(&self) -> usize {
        self.job_counts.len()
    }
}

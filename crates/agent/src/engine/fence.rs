//! Fencing: reports the attempts of a job to its new owner, or to its owner after a reconnect,
//! and shuts out older owners.

use std::time::Instant;

use prost::Message as _;

use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto;
use sassafras_wire::proto::Fence;
use sassafras_wire::proto::FenceReply;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::TaskReport;
use sassafras_wire::proto::TaskStatus;

use crate::engine::Effect;
use crate::engine::Engine;
use crate::engine::LinkId;
use crate::engine::outbox::MAX_REPORT_BYTES;
use crate::engine::record::AttemptId;
use crate::engine::record::AttemptState;

impl Engine {
    pub(super) fn fence(&mut self, now: Instant, link: LinkId, request: u64, fence: Fence) {
        let Ok(key) = JobKey::try_from(fence.key) else {
            return;
        };
        let known = self.records.get(&key).map_or(0, |j| j.epoch);
        // An entry that no longer owns the job gets no list of its attempts.
        let complete = fence.epoch >= known && self.retains_claim(now, fence.claimed_ms);
        let mut reply = FenceReply {
            key: Some(proto::JobKey::from(&key)),
            epoch: known.max(fence.epoch),
            incarnation: self.incarnation,
            tasks: Vec::new(),
            complete,
        };
        // If there is no room for a record, the claim floor refuses the job from now on.
        if fence.epoch >= known
            && self
                .records
                .get_or_create(now, &key, fence.claimed_ms)
                .is_some()
        {
            self.raise_epoch(now, link, &key, fence.epoch);
            reply.tasks = self.report_attempts(link, &key);
            reply.complete &= self.records.get(&key).is_some_and(|j| j.complete);
        }
        self.effects.push(Effect::Send {
            link,
            frame: Frame {
                request,
                reply: true,
                body: Some(Body::FenceReply(reply)),
            },
        });
    }

    /// Returns whether the record of a job with this claim time cannot have expired.
    fn retains_claim(&self, now: Instant, claimed_ms: u64) -> bool {
        // The margin of a tenth covers the error of the estimated control time.
        let limit = self.options.retention.as_millis() as u64 / 10 * 9;
        // Without a reply from the control group, this process has not started any task.
        self.control_ms(now)
            .is_none_or(|ms| ms.saturating_sub(claimed_ms) < limit)
    }

    /// Returns a report on every attempt of the job. Attempts whose result does not fit into the
    /// reply are listed as started, and their results follow in separate reports.
    fn report_attempts(&mut self, link: LinkId, key: &JobKey) -> Vec<TaskReport> {
        let Some(job) = self.records.get_mut(key) else {
            return Vec::new();
        };
        let mut ids: Vec<AttemptId> = job.attempts.keys().copied().collect();
        ids.sort_unstable();
        let mut reports = Vec::with_capacity(ids.len());
        let mut size = 0;
        for id in ids {
            let Some(attempt) = job.attempts.get_mut(&id) else {
                continue;
            };
            let report = attempt.report(id);
            attempt.reported = matches!(attempt.state, AttemptState::Finished { .. });
            let bytes = report.encoded_len();
            if size + bytes <= MAX_REPORT_BYTES || report.payload.is_empty() {
                size += bytes;
                reports.push(report);
                continue;
            }
            reports.push(TaskReport {
                index: report.index,
                attempt: report.attempt,
                status: TaskStatus::Started.into(),
                ..TaskReport::default()
            });
            self.outbox.add_task(link, key, job.epoch, report);
        }
        reports
    }
}

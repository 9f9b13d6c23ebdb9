//! Fencing: a new owner, or the old one after a reconnect, learns what happened here.

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
use crate::engine::record::At;
use crate::engine::record::State;

impl Engine {
    pub(super) fn fence(&mut self, now: Instant, link: LinkId, request: u64, fence: Fence) {
        let Ok(key) = JobKey::try_from(fence.key) else {
            return;
        };
        let known = self.records.get(&key).map_or(0, |j| j.epoch);
        // An owner that was replaced is given no account.
        let complete = fence.epoch >= known && self.remembers(now, fence.claimed_ms);
        let mut reply = FenceReply {
            key: Some(proto::JobKey::from(&key)),
            epoch: known.max(fence.epoch),
            incarnation: self.own,
            tasks: Vec::new(),
            complete,
        };
        // Without room for a record, the records' floor refuses the job from now on.
        if fence.epoch >= known && self.records.open(now, &key, fence.claimed_ms).is_some() {
            self.raise(now, link, &key, fence.epoch);
            reply.tasks = self.account(link, &key);
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

    /// Reports whether a record of a job claimed then cannot have been dropped for its age.
    fn remembers(&self, now: Instant, claimed: u64) -> bool {
        // The margin covers the error of the estimated control time.
        let limit = self.options.retention.as_millis() as u64 / 10 * 9;
        // Without any answer from control, nothing was ever started here.
        self.control_ms(now)
            .is_none_or(|ms| ms.saturating_sub(claimed) < limit)
    }

    /// Returns a report on every attempt of the job. Results that do not fit in one frame are
    /// listed as started; they follow in reports of their own.
    fn account(&mut self, link: LinkId, key: &JobKey) -> Vec<TaskReport> {
        let Some(job) = self.records.get_mut(key) else {
            return Vec::new();
        };
        let mut order: Vec<At> = job.tasks.keys().copied().collect();
        order.sort_unstable();
        let mut reports = Vec::with_capacity(order.len());
        let mut size = 0;
        for at in order {
            let Some(task) = job.tasks.get_mut(&at) else {
                continue;
            };
            let report = task.report(at);
            task.reported = matches!(task.state, State::Ended { .. });
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
            self.outbox.task(link, key, job.epoch, report);
        }
        reports
    }
}

//! Collects reports to the entries, so that each batch of events needs few frames.

use prost::Message as _;

use sassafras_util::FastMap;
use sassafras_wire::Body;
use sassafras_wire::JobKey;
use sassafras_wire::proto;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::JobReport;
use sassafras_wire::proto::Report;
use sassafras_wire::proto::TaskReport;

use crate::engine::Effect;
use crate::engine::LinkId;
use crate::engine::record::AttemptId;

/// Reports above this size are split. It is well below the frame size limit.
pub(crate) const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct LinkReport {
    /// Jobs in the order in which they were added.
    order: Vec<JobKey>,
    jobs: FastMap<JobKey, JobReport>,
}

/// Pending reports by link and job.
#[derive(Debug, Default)]
pub(crate) struct Outbox(FastMap<LinkId, LinkReport>);

impl Outbox {
    /// Schedules a report to the link, which carries at least the load and the state.
    pub(crate) fn request_report(&mut self, link: LinkId) {
        self.0.entry(link).or_default();
    }

    pub(crate) fn add_task(&mut self, link: LinkId, key: &JobKey, epoch: u64, task: TaskReport) {
        self.job_entry(link, key, epoch).tasks.push(task);
    }

    pub(crate) fn add_grant(&mut self, link: LinkId, key: &JobKey, epoch: u64) {
        self.job_entry(link, key, epoch).granted += 1;
    }

    /// Drops the pending report of a closed link and returns the attempts in it.
    pub(crate) fn remove_link(&mut self, link: LinkId) -> Vec<(JobKey, AttemptId)> {
        let pending = self.0.remove(&link).unwrap_or_default();
        let attempts = |(key, job): (JobKey, JobReport)| {
            let tasks = job.tasks.into_iter();
            tasks.map(move |t| (key.clone(), (t.index, t.attempt)))
        };
        pending.jobs.into_iter().flat_map(attempts).collect()
    }

    /// Returns the pending reports, one frame for each link or several where results are large.
    pub(crate) fn flush(&mut self, template: &Report) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (link, mut pending) in self.0.drain() {
            let mut report = template.clone();
            let mut size = 0;
            for key in pending.order {
                let Some(job) = pending.jobs.remove(&key) else {
                    continue;
                };
                for part in split_job(job) {
                    let bytes = part.encoded_len();
                    if size > 0 && size + bytes > MAX_REPORT_BYTES {
                        effects.push(report_effect(
                            link,
                            std::mem::replace(&mut report, template.clone()),
                        ));
                        size = 0;
                    }
                    size += bytes;
                    report.jobs.push(part);
                }
            }
            effects.push(report_effect(link, report));
        }
        effects
    }

    fn job_entry(&mut self, link: LinkId, key: &JobKey, epoch: u64) -> &mut JobReport {
        let pending = self.0.entry(link).or_default();
        let job = pending.jobs.entry(key.clone()).or_insert_with(|| {
            pending.order.push(key.clone());
            JobReport {
                key: Some(proto::JobKey::from(key)),
                ..JobReport::default()
            }
        });
        job.epoch = job.epoch.max(epoch);
        job
    }
}

/// Splits a job's report into parts whose tasks add up to at most [`MAX_REPORT_BYTES`].
fn split_job(job: JobReport) -> Vec<JobReport> {
    if job.encoded_len() <= MAX_REPORT_BYTES {
        return vec![job];
    }
    let empty = JobReport {
        key: job.key,
        epoch: job.epoch,
        ..JobReport::default()
    };
    let mut parts = Vec::new();
    let mut part = JobReport {
        granted: job.granted,
        ..empty.clone()
    };
    let mut size = 0;
    for task in job.tasks {
        let bytes = task.encoded_len();
        if size > 0 && size + bytes > MAX_REPORT_BYTES {
            parts.push(std::mem::replace(&mut part, empty.clone()));
            size = 0;
        }
        size += bytes;
        part.tasks.push(task);
    }
    parts.push(part);
    parts
}

fn report_effect(link: LinkId, report: Report) -> Effect {
    let frame = Frame {
        request: 0,
        reply: false,
        body: Some(Body::Report(report)),
    };
    Effect::Send { link, frame }
}

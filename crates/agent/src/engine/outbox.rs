//! Collects what one turn of the loop has to tell each entry, as few frames.

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
use crate::engine::record::At;

/// A report is split above this size, well below the largest frame.
pub(crate) const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct Batch {
    order: Vec<JobKey>,
    jobs: FastMap<JobKey, JobReport>,
}

/// Collects reports by link and job.
#[derive(Debug, Default)]
pub(crate) struct Outbox(FastMap<LinkId, Batch>);

impl Outbox {
    /// Makes sure that the link gets a report, if only of the load and the state.
    pub(crate) fn touch(&mut self, link: LinkId) {
        self.0.entry(link).or_default();
    }

    pub(crate) fn task(&mut self, link: LinkId, key: &JobKey, epoch: u64, task: TaskReport) {
        self.job(link, key, epoch).tasks.push(task);
    }

    pub(crate) fn grant(&mut self, link: LinkId, key: &JobKey, epoch: u64) {
        self.job(link, key, epoch).granted += 1;
    }

    /// Drops what was meant for a closed link, and returns the attempts that it did not get.
    pub(crate) fn drop_link(&mut self, link: LinkId) -> Vec<(JobKey, At)> {
        let batch = self.0.remove(&link).unwrap_or_default();
        let attempts = |(key, job): (JobKey, JobReport)| {
            let tasks = job.tasks.into_iter();
            tasks.map(move |t| (key.clone(), (t.index, t.attempt)))
        };
        batch.jobs.into_iter().flat_map(attempts).collect()
    }

    /// Returns one frame for each link, or several where the results are large.
    pub(crate) fn flush(&mut self, head: &Report) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (link, mut batch) in self.0.drain() {
            let mut report = head.clone();
            let mut size = 0;
            for key in batch.order {
                let Some(job) = batch.jobs.remove(&key) else {
                    continue;
                };
                for part in split(job) {
                    let bytes = part.encoded_len();
                    if size > 0 && size + bytes > MAX_REPORT_BYTES {
                        effects.push(send(link, std::mem::replace(&mut report, head.clone())));
                        size = 0;
                    }
                    size += bytes;
                    report.jobs.push(part);
                }
            }
            effects.push(send(link, report));
        }
        effects
    }

    fn job(&mut self, link: LinkId, key: &JobKey, epoch: u64) -> &mut JobReport {
        let batch = self.0.entry(link).or_default();
        let job = batch.jobs.entry(key.clone()).or_insert_with(|| {
            batch.order.push(key.clone());
            JobReport {
                key: Some(proto::JobKey::from(key)),
                ..JobReport::default()
            }
        });
        job.epoch = job.epoch.max(epoch);
        job
    }
}

/// Splits a job's report so that no part is larger than a report may be.
fn split(job: JobReport) -> Vec<JobReport> {
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

fn send(link: LinkId, report: Report) -> Effect {
    let frame = Frame {
        request: 0,
        reply: false,
        body: Some(Body::Report(report)),
    };
    Effect::Send { link, frame }
}

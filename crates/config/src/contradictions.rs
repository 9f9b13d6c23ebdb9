//! Checks for answers that are valid individually but contradict each other.

use std::time::Duration;

use crate::Answers;
use crate::Finding;
use crate::IniDoc;
use crate::KindAnswers;
use crate::Severity;
use crate::answers::EVEN_WEIGHT;
use crate::question::Cost;

/// Finds the contradictions in a file of answers.
pub(crate) fn find(answers: &Answers, file: &str, doc: &IniDoc) -> Vec<Finding> {
    let mut check = Check {
        file,
        doc,
        findings: Vec::new(),
    };
    for kind in &answers.kinds {
        check.costs(answers, kind);
        check.times(answers, kind);
        check.sizes(answers, kind);
    }
    check.endpoints(answers);
    check.quotas(answers);
    check.findings
}

struct Check<'a> {
    file: &'a str,
    doc: &'a IniDoc,
    findings: Vec<Finding>,
}

impl Check<'_> {
    fn add(&mut self, severity: Severity, section: &str, key: &str, reason: &str) {
        let line = self.doc.line(section, key);
        let line = line.map_or(String::new(), |l| format!(":{l}"));
        self.findings.push(Finding {
            severity,
            text: format!("{}{line}: [{section}] {key}: {reason}", self.file),
        });
    }

    fn error(&mut self, section: &str, key: &str, reason: &str) {
        self.add(Severity::Error, section, key, reason);
    }

    fn warn(&mut self, section: &str, key: &str, reason: &str) {
        self.add(Severity::Warning, section, key, reason);
    }

    /// Checks whether the costs of a kind agree with `repeatable` and `response_weight`.
    fn costs(&mut self, answers: &Answers, kind: &KindAnswers) {
        let section = &section(kind);
        if kind.repeatable && kind.doubled_cost == Cost::Money {
            self.error(
                section,
                "repeatable",
                "a repeatable task may run twice, but doubled_costs = money; \
                 accepted: no, or doubled_costs = nothing or annoyance",
            );
        }
        if kind.repeatable && kind.doubled_cost == Cost::Annoyance {
            self.warn(
                section,
                "repeatable",
                "a repeatable task may run twice, and doubled_costs = annoyance",
            );
        }
        if !kind.repeatable && kind.doubled_cost == Cost::Nothing && kind.lost_cost > Cost::Nothing
        {
            self.warn(
                section,
                "repeatable",
                "a lost task costs more than one that runs twice, but is not started again; \
                 repeatable = yes allows it",
            );
        }
        if kind.late_cost == Cost::Money && answers.response_weight < EVEN_WEIGHT {
            self.warn(
                "team",
                "response_weight",
                &format!(
                    "waste has more weight than response time, but late tasks of kind {} cost money",
                    kind.name
                ),
            );
        }
    }

    /// Checks the run times of a kind against each other and against the deadline.
    fn times(&mut self, answers: &Answers, kind: &KindAnswers) {
        let section = &section(kind);
        let deadline = answers.limits.deadline;
        if kind.longest_run < kind.usual_run {
            self.error(
                section,
                "longest_run_ms",
                "shorter than usual_run_ms; accepted: at least usual_run_ms",
            );
        }
        if deadline < kind.usual_run {
            self.error(
                "limits",
                "deadline_ms",
                &format!(
                    "below the usual run time of kind {}, whose jobs would fail; accepted: at least {}",
                    kind.name,
                    kind.usual_run.as_millis()
                ),
            );
        } else if deadline < kind.longest_run {
            self.warn(
                "limits",
                "deadline_ms",
                &format!(
                    "below the longest run time of kind {} ({} ms), whose longest tasks would fail their jobs",
                    kind.name,
                    kind.longest_run.as_millis()
                ),
            );
        }
    }

    /// Checks whether an endpoint has the resources for one task of a kind and for all its slots.
    fn sizes(&mut self, answers: &Answers, kind: &KindAnswers) {
        let endpoints = &answers.endpoints;
        let sizes = [
            ("cores", u64::from(kind.cores), u64::from(endpoints.cores)),
            ("memory_mb", kind.memory_mb, endpoints.memory_mb),
            (
                "accelerators",
                u64::from(kind.accelerators),
                u64::from(endpoints.accelerators),
            ),
        ];
        for (key, required, available) in sizes {
            if required > available {
                self.error(
                    &section(kind),
                    key,
                    &format!(
                        "exceeds the size of an endpoint, so the task can never run; accepted: at most {available}"
                    ),
                );
            } else if required * u64::from(endpoints.slots) > available {
                self.warn(
                    &section(kind),
                    key,
                    &format!(
                        "tasks in all {} slots of an endpoint require {}, but it has {available}",
                        endpoints.slots,
                        required * u64::from(endpoints.slots)
                    ),
                );
            }
        }
    }

    fn endpoints(&mut self, answers: &Answers) {
        let endpoints = &answers.endpoints;
        if endpoints.connections < endpoints.slots {
            self.error(
                "endpoints",
                "connections",
                &format!(
                    "fewer than slots, but each running task uses one; accepted: at least {}",
                    endpoints.slots
                ),
            );
        }
        let zones = endpoints.zones.len() as u32;
        if endpoints.count < zones {
            self.error(
                "endpoints",
                "zones",
                "more availability zones than endpoints; accepted: at most one for each endpoint",
            );
        } else if endpoints.count.div_ceil(endpoints.rack_size) < zones {
            self.warn(
                "endpoints",
                "per_rack",
                "fewer racks than availability zones, but a rack is in a single availability zone",
            );
        }
        if zones == 1 {
            self.warn(
                "endpoints",
                "zones",
                "all endpoints are in one availability zone; if it fails, no tasks can run",
            );
        }
    }

    /// Checks the limits against the capacity of the endpoints and against each other.
    fn quotas(&mut self, answers: &Answers) {
        let limits = &answers.limits;
        let capacity = answers.endpoints.capacity();
        if u64::from(limits.running_tasks) > capacity {
            self.error(
                "limits",
                "running_tasks",
                &format!("exceeds the slots of all endpoints; accepted: at most {capacity}"),
            );
        }
        let max_rate = u64::from(limits.running_tasks) * 1000 / shortest_run_ms(answers);
        if u64::from(limits.start_rate) > max_rate.max(1) {
            self.warn(
                "limits",
                "starts_per_second",
                &format!(
                    "unreachable: running_tasks allows {max_rate} starts/s of the shortest kind"
                ),
            );
        }
        let tasks = u64::from(limits.job_tasks);
        let start_time = Duration::from_millis(tasks * 1000 / u64::from(limits.start_rate));
        if start_time > limits.deadline {
            self.warn(
                "limits",
                "tasks_per_job",
                &format!(
                    "starting a job of {tasks} tasks at starts_per_second takes {} ms, which exceeds deadline_ms",
                    start_time.as_millis()
                ),
            );
        }
    }
}

/// Returns the shortest usual run time of all kinds in milliseconds, at least 1.
fn shortest_run_ms(answers: &Answers) -> u64 {
    let runs = answers.kinds.iter().map(|k| k.usual_run.as_millis() as u64);
    runs.min().unwrap_or(1).max(1)
}

/// Returns the name of the section with the answers about a kind.
fn section(kind: &KindAnswers) -> String {
    format!("kind {}", kind.name)
}

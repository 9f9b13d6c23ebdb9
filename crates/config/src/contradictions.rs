//! Answers that are valid alone and contradict each other.

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

    fn costs(&mut self, answers: &Answers, kind: &KindAnswers) {
        let section = &section(kind);
        if kind.repeatable && kind.doubled == Cost::Money {
            self.error(
                section,
                "repeatable",
                "a repeatable task may run twice, and doubled_costs says that this costs money; \
                 accepted: no, or doubled_costs = nothing or annoyance",
            );
        }
        if kind.repeatable && kind.doubled == Cost::Annoyance {
            self.warn(
                section,
                "repeatable",
                "a repeatable task may run twice, and doubled_costs says that this annoys",
            );
        }
        if !kind.repeatable && kind.doubled == Cost::Nothing && kind.lost > Cost::Nothing {
            self.warn(
                section,
                "repeatable",
                "a lost task costs more than a doubled one, yet it is not started again; \
                 repeatable = yes would let it",
            );
        }
        if kind.late == Cost::Money && answers.response < EVEN_WEIGHT {
            self.warn(
                "team",
                "response_weight",
                &format!(
                    "few wasted messages have more weight, yet late tasks of kind {} cost money",
                    kind.name
                ),
            );
        }
    }

    fn times(&mut self, answers: &Answers, kind: &KindAnswers) {
        let section = &section(kind);
        let deadline = answers.limits.deadline;
        if kind.longest < kind.usual {
            self.error(
                section,
                "longest_run_ms",
                "shorter than usual_run_ms; accepted: at least usual_run_ms",
            );
        }
        if deadline < kind.usual {
            self.error(
                "limits",
                "deadline_ms",
                &format!(
                    "below the usual run time of kind {}, so that its jobs fail; accepted: at least {}",
                    kind.name,
                    kind.usual.as_millis()
                ),
            );
        } else if deadline < kind.longest {
            self.warn(
                "limits",
                "deadline_ms",
                &format!(
                    "below the longest run time of kind {} ({} ms), whose jobs then fail",
                    kind.name,
                    kind.longest.as_millis()
                ),
            );
        }
    }

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
        for (key, needed, there) in sizes {
            if needed > there {
                self.error(
                    &section(kind),
                    key,
                    &format!(
                        "no endpoint is large enough, so that the task never runs; accepted: at most {there}"
                    ),
                );
            } else if needed * u64::from(endpoints.slots) > there {
                self.warn(
                    &section(kind),
                    key,
                    &format!(
                        "tasks in all {} slots of an endpoint need {}, and it has {there}",
                        endpoints.slots,
                        needed * u64::from(endpoints.slots)
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
                    "fewer than slots, and each running task uses one; accepted: at least {}",
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
                "fewer racks than availability zones, though a rack stands in one zone",
            );
        }
        if zones == 1 {
            self.warn(
                "endpoints",
                "zones",
                "all endpoints are in one availability zone, whose failure stops the team's work",
            );
        }
    }

    fn quotas(&mut self, answers: &Answers) {
        let limits = &answers.limits;
        let capacity = answers.endpoints.capacity();
        if u64::from(limits.running) > capacity {
            self.error(
                "limits",
                "running_tasks",
                &format!("above the slots of all endpoints; accepted: at most {capacity}"),
            );
        }
        let reachable = u64::from(limits.running) * 1000 / shortest(answers);
        if u64::from(limits.rate) > reachable.max(1) {
            self.warn(
                "limits",
                "starts_per_second",
                &format!(
                    "cannot be reached: running_tasks allows {reachable} starts/s of the shortest kind"
                ),
            );
        }
        let tasks = u64::from(limits.tasks);
        let start = Duration::from_millis(tasks * 1000 / u64::from(limits.rate));
        if start > limits.deadline {
            self.warn(
                "limits",
                "tasks_per_job",
                &format!(
                    "a job of {tasks} tasks takes {} ms to start at starts_per_second, beyond deadline_ms",
                    start.as_millis()
                ),
            );
        }
    }
}

/// Returns the usual run time of the shortest kind in milliseconds, at least 1.
fn shortest(answers: &Answers) -> u64 {
    let runs = answers.kinds.iter().map(|k| k.usual.as_millis() as u64);
    runs.min().unwrap_or(1).max(1)
}

fn section(kind: &KindAnswers) -> String {
    format!("kind {}", kind.name)
}

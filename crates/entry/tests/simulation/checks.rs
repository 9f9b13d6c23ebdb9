//! Checks after a simulation.

use std::collections::BTreeSet;

use sassafras_entry::Response;
use sassafras_wire::proto;

use crate::simulation::control::Control;
use crate::simulation::world::Job;
use crate::simulation::world::World;

impl Control {
    /// Returns whether the claim of a job lists an agent.
    pub fn lists(&self, job: &str, name: &str, incarnation: u64) -> bool {
        let listed = |a: &proto::NodeRef| a.name == name && a.incarnation == incarnation;
        let claim = self.claims.get(job);
        claim.is_some_and(|c| c.agents.iter().any(listed))
    }
}

impl World {
    /// Checks that no task started more often than allowed, that all final responses of a job
    /// have the same status, and that complete ones carry all results.
    pub fn assert_safe(&self) {
        for (number, job) in self.jobs.iter().enumerate() {
            for index in 0..job.tasks {
                let task = format!("shop/job-{number}/{index}");
                let count = self.starts.get(&task).copied().unwrap_or(0);
                let limit = if job.repeatable { 3 } else { 1 };
                assert!(
                    count <= limit,
                    "seed {}: {task} started {count} times",
                    self.seed
                );
            }
            let statuses: BTreeSet<u16> = job.final_responses().map(|a| a.status).collect();
            assert!(
                statuses.len() <= 1,
                "seed {}: job {number} has final statuses {statuses:?}",
                self.seed
            );
            for response in job.final_responses().filter(|a| a.status == 200) {
                assert_eq!(response.body, job.expected(number), "seed {}", self.seed);
            }
        }
    }

    pub fn assert_all_ended(&self) {
        for (number, job) in self.jobs.iter().enumerate() {
            let last = job.responses.last().map(|a| &a.body);
            assert!(
                job.has_outcome(),
                "seed {}: job {number} of kind {} has no final response, last {last:?}",
                self.seed,
                job.kind
            );
        }
    }

    pub fn assert_all_complete(&self) {
        for (number, job) in self.jobs.iter().enumerate() {
            let complete = job.responses.last().is_some_and(|a| a.status == 200);
            let responses = &job.responses;
            assert!(complete, "seed {}: job {number}: {responses:?}", self.seed);
        }
    }
}

impl Job {
    /// Returns the responses that state the outcome of the job.
    fn final_responses(&self) -> impl Iterator<Item = &Response> {
        self.responses
            .iter()
            .filter(|a| a.status != 202 && a.status != 503)
    }

    pub fn has_outcome(&self) -> bool {
        self.final_responses().next().is_some()
    }

    fn expected(&self, number: usize) -> String {
        let results: Vec<String> = (0..self.tasks)
            .map(|i| format!(r#"{{"index":{i},"payload":"result {i}"}}"#))
            .collect();
        format!(
            r#"{{"outcome":"complete","job":"job-{number}","results":[{}]}}"#,
            results.join(",")
        )
    }
}

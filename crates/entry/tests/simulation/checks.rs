//! What must hold after every run.

use std::collections::BTreeSet;

use sassafras_entry::Response;
use sassafras_wire::proto;

use crate::simulation::control::Control;
use crate::simulation::world::Job;
use crate::simulation::world::World;

impl Control {
    /// Tells whether the claim of a job lists an agent.
    pub fn lists(&self, job: &str, name: &str, incarnation: u64) -> bool {
        let listed = |a: &proto::NodeRef| a.name == name && a.incarnation == incarnation;
        let claim = self.claims.get(job);
        claim.is_some_and(|c| c.agents.iter().any(listed))
    }
}

impl World {
    pub fn assert_safe(&self) {
        for (number, job) in self.jobs.iter().enumerate() {
            for index in 0..job.tasks {
                let task = format!("shop/job-{number}/{index}");
                let count = self.starts.get(&task).copied().unwrap_or(0);
                let most = if job.repeatable { 3 } else { 1 };
                assert!(
                    count <= most,
                    "seed {}: {task} started {count} times",
                    self.seed
                );
            }
            let outcomes: BTreeSet<u16> = job.finals().map(|a| a.status).collect();
            assert!(
                outcomes.len() <= 1,
                "seed {}: job {number} has outcomes {outcomes:?}",
                self.seed
            );
            for response in job.finals().filter(|a| a.status == 200) {
                assert_eq!(response.body, job.expected(number), "seed {}", self.seed);
            }
        }
    }

    pub fn assert_all_answered(&self) {
        for (number, job) in self.jobs.iter().enumerate() {
            let last = job.responses.last().map(|a| &a.body);
            assert!(
                job.is_answered(),
                "seed {}: job {number} of kind {} has no answer, last {last:?}",
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
    /// Returns the answers that say how the job ended.
    fn finals(&self) -> impl Iterator<Item = &Response> {
        self.responses
            .iter()
            .filter(|a| a.status != 202 && a.status != 503)
    }

    pub fn is_answered(&self) -> bool {
        self.finals().next().is_some()
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

//! Configuration changes, leaving endpoints, graceful stops and control restarts on a cluster of
//! real processes.

use std::time::Duration;

use sassafras_proxy::Faults;
use sassafras_tests::Cluster;
use sassafras_tests::Job;
use sassafras_tests::JobResponse;
use sassafras_tests::Options;
use sassafras_tests::Submission;
use sassafras_tests::unix_ms;
use sassafras_tests::wait_until;

/// P8: an accepted configuration is in force everywhere within this time.
const CONFIG_BOUND_MS: u64 = 3000;

async fn cluster() -> Cluster {
    Cluster::start(Options::default()).await
}

fn is_complete(submission: &Submission) -> bool {
    matches!(submission.response, JobResponse::Complete(_))
}

async fn wait_running(cluster: &Cluster, job: &str) {
    let started = async || cluster.history().starts.iter().any(|s| s.job == job);
    wait_until("a task runs", started).await.unwrap();
}

/// Guards against new work for an endpoint that has announced that it is leaving, and against
/// tasks that are interrupted there.
#[tokio::test]
async fn leaving_endpoint_receives_no_new_work() {
    let mut cluster = cluster().await;
    cluster.expect_only_graceful();
    let job = Job::new("before", 32, 1000);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "before").await;
    cluster.terminate("s1");
    let leave_ms = unix_ms();
    let mut callers = vec![caller];
    let mut n = 0;
    while unix_ms() < leave_ms + 4000 {
        let job = Job::new(&format!("after-{n}"), 8, 50);
        let entry = if n % 2 == 0 { "e1" } else { "e2" };
        callers.push(cluster.submit_until_final(&job, entry));
        n += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for caller in callers {
        let submission = caller.await.unwrap().unwrap();
        assert!(is_complete(&submission), "{submission:?}");
    }
    cluster.assert_guarantees();
}

/// Guards against callers and tasks that the graceful stop of an entry interrupts.
#[tokio::test]
async fn stopping_entry_finishes_its_jobs() {
    let mut cluster = cluster().await;
    cluster.expect_only_graceful();
    let job = Job::new("stopping", 64, 500);
    let caller = cluster.submit(&job, "e1");
    wait_running(&cluster, "stopping").await;
    cluster.terminate("e1");
    wait_until("the entry has begun to stop", async || {
        cluster.process("e1").log_contains("draining")
    })
    .await
    .unwrap();
    let rejected = cluster.submit(&Job::new("late", 1, 1), "e1").await.unwrap();
    assert!(!is_complete(&rejected), "{rejected:?}");
    // A second stop request must have no effect.
    cluster.process("e1").terminate();
    let submission = caller.await.unwrap();
    assert!(is_complete(&submission), "{submission:?}");
    cluster.wait_stopped("e1").await.unwrap();
    cluster.assert_guarantees();
}

/// Guards against tasks that the graceful stop of an agent interrupts or loses.
#[tokio::test]
async fn stopping_agent_finishes_its_tasks() {
    let mut cluster = cluster().await;
    cluster.expect_only_graceful();
    let job = Job::new("stopping", 64, 500);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_until("a task runs at the agent", async || {
        cluster.history().starts.iter().any(|s| s.endpoint == "s2")
    })
    .await
    .unwrap();
    cluster.terminate("a2");
    cluster.wait_stopped("a2").await.unwrap();
    let submission = caller.await.unwrap().unwrap();
    assert!(is_complete(&submission), "{submission:?}");
    cluster.assert_guarantees();
}

/// Guards against nodes that keep an old configuration, as shown by the versions that they
/// report and the tokens that entries accept.
#[tokio::test]
async fn accepted_configuration_is_in_force_everywhere() {
    let mut cluster = cluster().await;
    for round in 0..5 {
        let token = format!("token of round {round}");
        cluster.set_team_token(&token).await;
        let accepted = unix_ms();
        cluster.wait_until_ready().await;
        while unix_ms() <= accepted + CONFIG_BOUND_MS {
            cluster.sample_for(Duration::from_millis(100)).await;
        }
        for entry in ["e1", "e2"] {
            let name = format!("{entry}-{round}");
            let old = cluster.submit(&Job::new(&name, 1, 1), entry).await.unwrap();
            let rejected = matches!(old.response, JobResponse::Rejected { status: 401, .. });
            assert!(rejected, "{old:?}");
            let mut job = Job::new(&name, 1, 1);
            job.token.clone_from(&token);
            let new = cluster.submit(&job, entry).await.unwrap();
            assert!(is_complete(&new), "{new:?}");
        }
    }
    cluster.assert_guarantees();
}

/// Guards against an entry that serves with an old configuration after an outage. With slow
/// replies its heartbeats state the old version several times before it obtains a lease.
#[tokio::test]
async fn entry_without_a_lease_serves_nothing() {
    let mut cluster = cluster().await;
    let control_link = |from: &str, to: &str| from == "e1" && to.starts_with('c');
    cluster.set_faults(control_link, Faults::partition());
    let token = "token of the outage";
    cluster.set_team_token(token).await;
    let changed = unix_ms();
    while unix_ms() <= changed + CONFIG_BOUND_MS {
        cluster.sample_for(Duration::from_millis(100)).await;
    }
    let old = cluster.submit(&Job::new("old", 1, 1), "e1").await.unwrap();
    assert!(!is_complete(&old), "{old:?}");
    // Replies take longer than the heartbeat interval of an entry without a lease.
    let slow = Faults {
        back_ms: 150,
        ..Faults::default()
    };
    cluster.set_faults(control_link, slow);
    cluster.sample_for(Duration::from_secs(4)).await;
    cluster.wait_until_ready().await;
    let mut job = Job::new("new", 1, 1);
    job.token = token.to_owned();
    let new = cluster.submit_until_final(&job, "e1").await.unwrap();
    assert!(is_complete(&new.unwrap()));
    cluster.assert_guarantees();
}

/// Guards against two accepted changes when operators race on the same base version, and against
/// a resent change that is applied twice.
#[tokio::test]
async fn one_of_two_changes_with_the_same_base_is_accepted() {
    let mut cluster = cluster().await;
    let base = cluster.operator.status().await.unwrap();
    let team = base.items.iter().find(|i| i.name == "team/bookings");
    let text = team.unwrap().text.clone();
    let version = base.config_version;
    let first = cluster
        .operator
        .build_change(version, "team/bookings", &text);
    let second = cluster
        .operator
        .build_change(version, "team/bookings", &text);
    let won = cluster.operator.send_change(first.clone()).await.unwrap();
    let lost = cluster.operator.send_change(second).await.unwrap();
    let resent = cluster.operator.send_change(first).await.unwrap();
    assert_eq!(won.version, version + 1);
    assert_eq!(resent, won);
    assert_ne!(lost.kind(), won.kind());
    assert_eq!(lost.in_force.len(), 1, "{lost:?}");
    let now = cluster.operator.status().await.unwrap();
    assert_eq!(now.config_version, version + 1);
    cluster.assert_guarantees();
}

/// Guards against claims that are lost or granted twice when the leader is killed.
#[tokio::test]
async fn claims_survive_the_kill_of_the_leader() {
    let mut cluster = cluster().await;
    let mut callers = Vec::new();
    for n in 0..40 {
        let job = Job::new(&format!("claim-{n}"), 3, 50);
        callers.push(cluster.submit_until_final(&job, "e1"));
        callers.push(cluster.submit_until_final(&job, "e2"));
        if n == 20 {
            let leader = cluster.leader().await;
            cluster.process(&leader).kill();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for caller in callers {
        let submission = caller.await.unwrap().unwrap();
        assert!(is_complete(&submission), "{submission:?}");
    }
    cluster.assert_guarantees();
}

/// Guards against lost changes or decreasing versions when all control members restart after many
/// changes.
#[tokio::test]
async fn configuration_survives_a_restart_of_all_members() {
    let mut cluster = cluster().await;
    let mut version = 0;
    for n in 0..500 {
        version = cluster.set_quota(500 + n).await;
    }
    let before = cluster.operator.status().await.unwrap();
    for member in ["c1", "c2", "c3"] {
        cluster.process(member).kill();
    }
    cluster.start_all();
    let after = cluster.operator.status().await.unwrap();
    assert_eq!(after.config_version, version);
    assert_eq!(after.items, before.items);
    cluster.wait_until_ready().await;
    let job = Job::new("after", 4, 20);
    let submission = cluster
        .submit_until_final(&job, "e1")
        .await
        .unwrap()
        .unwrap();
    assert!(is_complete(&submission), "{submission:?}");
    cluster.assert_guarantees();
}

//! Configuration, leaving, graceful stops and control restarts on a cluster of real processes.

use std::time::Duration;

use sassafras_proxy::Faults;
use sassafras_tests::Answer;
use sassafras_tests::Call;
use sassafras_tests::Cluster;
use sassafras_tests::Job;
use sassafras_tests::Options;
use sassafras_tests::unix_ms;
use sassafras_tests::until;

/// P8: an accepted configuration is in force everywhere within this time.
const IN_FORCE_MS: u64 = 3000;

async fn cluster() -> Cluster {
    Cluster::start(Options::default()).await
}

fn is_complete(call: &Call) -> bool {
    matches!(call.answer, Answer::Complete(_))
}

async fn wait_running(cluster: &Cluster, job: &str) {
    let started = async || cluster.evidence().starts.iter().any(|s| s.job == job);
    until("a task runs", started).await.unwrap();
}

/// Guards against work for an endpoint that has announced that it leaves, and against tasks
/// that are cut off there.
#[tokio::test]
async fn leaving_endpoint_receives_nothing_new() {
    let mut cluster = cluster().await;
    cluster.only_graceful();
    let job = Job::new("before", 32, 1000);
    let caller = cluster.submit_until_final(&job, "e1");
    wait_running(&cluster, "before").await;
    cluster.terminate("s1");
    let left = unix_ms();
    let mut callers = vec![caller];
    let mut n = 0;
    while unix_ms() < left + 4000 {
        let job = Job::new(&format!("after-{n}"), 8, 50);
        let entry = if n % 2 == 0 { "e1" } else { "e2" };
        callers.push(cluster.submit_until_final(&job, entry));
        n += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for caller in callers {
        let call = caller.await.unwrap().unwrap();
        assert!(is_complete(&call), "{call:?}");
    }
    cluster.assert_promises();
}

/// Guards against callers and tasks that the graceful stop of an entry cuts off.
#[tokio::test]
async fn stopping_entry_finishes_its_jobs() {
    let mut cluster = cluster().await;
    cluster.only_graceful();
    let job = Job::new("stopping", 64, 500);
    let caller = cluster.submit(&job, "e1");
    wait_running(&cluster, "stopping").await;
    cluster.terminate("e1");
    until("the entry has begun to stop", async || {
        cluster.process("e1").logged("draining")
    })
    .await
    .unwrap();
    let refused = cluster.submit(&Job::new("late", 1, 1), "e1").await.unwrap();
    assert!(!is_complete(&refused), "{refused:?}");
    // A second request to stop changes nothing.
    cluster.process("e1").terminate();
    let call = caller.await.unwrap();
    assert!(is_complete(&call), "{call:?}");
    cluster.wait_stopped("e1").await.unwrap();
    cluster.assert_promises();
}

/// Guards against tasks that the graceful stop of an agent cuts off or loses.
#[tokio::test]
async fn stopping_agent_finishes_its_tasks() {
    let mut cluster = cluster().await;
    cluster.only_graceful();
    let job = Job::new("stopping", 64, 500);
    let caller = cluster.submit_until_final(&job, "e1");
    until("a task runs at the agent", async || {
        cluster.evidence().starts.iter().any(|s| s.endpoint == "s2")
    })
    .await
    .unwrap();
    cluster.terminate("a2");
    cluster.wait_stopped("a2").await.unwrap();
    let call = caller.await.unwrap().unwrap();
    assert!(is_complete(&call), "{call:?}");
    cluster.assert_promises();
}

/// Guards against nodes that keep an old configuration, seen in the versions that they report
/// and in the tokens that entries accept.
#[tokio::test]
async fn accepted_configuration_is_in_force_everywhere() {
    let mut cluster = cluster().await;
    for round in 0..5 {
        let token = format!("token of round {round}");
        cluster.set_team_token(&token).await;
        let accepted = unix_ms();
        cluster.wait_in_service().await;
        while unix_ms() <= accepted + IN_FORCE_MS {
            cluster.watch(Duration::from_millis(100)).await;
        }
        for entry in ["e1", "e2"] {
            let name = format!("{entry}-{round}");
            let old = cluster.submit(&Job::new(&name, 1, 1), entry).await.unwrap();
            let refused = matches!(old.answer, Answer::Refused { status: 401, .. });
            assert!(refused, "{old:?}");
            let mut job = Job::new(&name, 1, 1);
            job.token.clone_from(&token);
            let new = cluster.submit(&job, entry).await.unwrap();
            assert!(is_complete(&new), "{new:?}");
        }
    }
    cluster.assert_promises();
}

/// Guards against an entry that serves under an old configuration after an outage, while its
/// heartbeats, which repeat until a slow answer brings the lease, still name the old version.
#[tokio::test]
async fn entry_without_a_lease_serves_nothing() {
    let mut cluster = cluster().await;
    let control_link = |from: &str, to: &str| from == "e1" && to.starts_with('c');
    cluster.set(control_link, Faults::partition());
    let token = "token of the outage";
    cluster.set_team_token(token).await;
    let changed = unix_ms();
    while unix_ms() <= changed + IN_FORCE_MS {
        cluster.watch(Duration::from_millis(100)).await;
    }
    let old = cluster.submit(&Job::new("old", 1, 1), "e1").await.unwrap();
    assert!(!is_complete(&old), "{old:?}");
    // Answers take longer than the pause between the heartbeats of an entry without a lease.
    let slow = Faults {
        back_ms: 150,
        ..Faults::default()
    };
    cluster.set(control_link, slow);
    cluster.watch(Duration::from_secs(4)).await;
    cluster.wait_in_service().await;
    let mut job = Job::new("new", 1, 1);
    job.token = token.to_owned();
    let new = cluster.submit_until_final(&job, "e1").await.unwrap();
    assert!(is_complete(&new.unwrap()));
    cluster.assert_promises();
}

/// Guards against two winners when operators race with one base version, and against a
/// resend that takes effect twice.
#[tokio::test]
async fn of_two_changes_with_one_base_one_wins() {
    let mut cluster = cluster().await;
    let base = cluster.operator.status().await.unwrap();
    let team = base.items.iter().find(|i| i.name == "team/bookings");
    let text = team.unwrap().text.clone();
    let version = base.config_version;
    let first = cluster.operator.change(version, "team/bookings", &text);
    let second = cluster.operator.change(version, "team/bookings", &text);
    let won = cluster.operator.send(first.clone()).await.unwrap();
    let lost = cluster.operator.send(second).await.unwrap();
    let resent = cluster.operator.send(first).await.unwrap();
    assert_eq!(won.version, version + 1);
    assert_eq!(resent, won);
    assert_ne!(lost.kind(), won.kind());
    assert_eq!(lost.in_force.len(), 1, "{lost:?}");
    let now = cluster.operator.status().await.unwrap();
    assert_eq!(now.config_version, version + 1);
    cluster.assert_promises();
}

/// Guards against claims that are lost or granted twice when the leader dies.
#[tokio::test]
async fn claims_outlive_the_killed_leader() {
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
        let call = caller.await.unwrap().unwrap();
        assert!(is_complete(&call), "{call:?}");
    }
    cluster.assert_promises();
}

/// Guards against changes that are lost, or versions that go back, when every control member
/// restarts after many changes.
#[tokio::test]
async fn configuration_outlives_a_restart_of_all_members() {
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
    cluster.wait_in_service().await;
    let job = Job::new("after", 4, 20);
    let call = cluster
        .submit_until_final(&job, "e1")
        .await
        .unwrap()
        .unwrap();
    assert!(is_complete(&call), "{call:?}");
    cluster.assert_promises();
}

//! A fixed selection of cells of the fault matrix, which every run of the tests includes.
//!
//! Each test guards against a guarantee that is violated when the fault interrupts the step.
//! `sassafras-matrix` runs the whole matrix, see docs/fault-matrix.md.

use sassafras_tests::matrix::Cell;
use sassafras_tests::matrix::Fault;
use sassafras_tests::matrix::Step;
use sassafras_tests::matrix::Target;
use sassafras_tests::matrix::run_cell;

const SEED: u64 = 1;

macro_rules! cells {
    ($($name:ident: $step:ident $fault:ident $target:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let cell = Cell {
                step: Step::$step,
                fault: Fault::$fault,
                target: Target::$target,
            };
            assert_eq!(cell.exclusion_reason(), None);
            if let Err(e) = run_cell(cell, SEED).await {
                panic!("{cell} seed={SEED}: {e}");
            }
        }
    )*};
}

cells! {
    owner_killed_with_claim_written: ClaimWritten Kill Owner;
    owner_killed_with_tasks_running: TaskRunning Kill Owner;
    owner_paused_with_tasks_running: TaskRunning PauseResume Owner;
    owner_partitioned_with_tasks_running: TaskRunning Partition Owner;
    owner_restarted_with_response_in_flight: AnswerInFlight Restart Owner;
    owner_stopped_with_tasks_running: TaskRunning GracefulStop Owner;
    owner_reset_with_results_in_flight: ResultInFlight Reset Owner;
    owner_one_way_with_tasks_sent: TaskSent OneWay Owner;
    agent_killed_with_tasks_running: TaskRunning Kill Agent;
    agent_stopped_with_tasks_running: TaskRunning GracefulStop Agent;
    agent_paused_with_results_in_flight: ResultInFlight PauseResume Agent;
    agent_half_open_with_tasks_running: TaskRunning HalfOpen Agent;
    agent_reset_with_cancel_in_flight: CancelInFlight Reset Agent;
    agent_connections_duplicated: TaskSent Duplicate Agent;
    agent_responses_reordered: TaskRunning Reorder Agent;
    endpoint_killed_with_tasks_running: TaskRunning Kill Endpoint;
    endpoint_leaving_with_delays: EndpointLeaving Delay Agent;
    leader_killed_with_claim_written: ClaimWritten Kill Leader;
    leader_stopped_with_claim_written: ClaimWritten GracefulStop Leader;
    leader_partitioned_with_configuration_accepted: ConfigAccepted Partition Leader;
    leader_killed_with_configuration_pushed: ConfigPushed Kill Leader;
    leader_killed_while_shares_move: QuotaMoving Kill Leader;
    follower_disk_full: ClaimWritten DiskFull Follower;
    follower_tail_damaged: ConfigAccepted DamagedTail Follower;
    follower_killed_during_snapshot: Snapshot Restart Follower;
    leader_killed_during_truncation: LogTruncation Restart Leader;
    leader_killed_during_repair: MemberRepair Restart Leader;
    owner_and_follower_killed_with_tasks_running: TaskRunning Pair Owner;
}

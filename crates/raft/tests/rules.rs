//! Tests single rules of the protocol with hand-written messages.

use std::time::Duration;
use std::time::Instant;

use sassafras_raft::Config;
use sassafras_raft::HardState;
use sassafras_raft::MemberChange;
use sassafras_raft::Members;
use sassafras_raft::Node;
use sassafras_raft::Peer;
use sassafras_raft::PersistentState;
use sassafras_raft::ProposeError;
use sassafras_wire::proto::AppendReply;
use sassafras_wire::proto::AppendRequest;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;
use sassafras_wire::proto::VoteReply;
use sassafras_wire::proto::VoteRequest;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

const IDENTITIES: [(&str, u64); 3] = [("a", 1), ("b", 2), ("c", 3)];

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: Some(Payload::Command("x".into())),
    }
}

/// Creates member `a` of three, whose log has the bootstrap entry and commands of the given terms.
fn member(terms: &[u64], now: Instant) -> Node {
    let peer = |(name, identity): (&str, u64)| Peer {
        identity,
        ..Peer::new(name.into(), "address")
    };
    let members = Members {
        voters: IDENTITIES.map(peer).to_vec(),
        learners: Vec::new(),
    };
    let mut entries = vec![LogEntry {
        index: 1,
        term: 0,
        payload: Some(Payload::Members((&members).into())),
    }];
    entries.extend(terms.iter().zip(2..).map(|(term, i)| entry(i, *term)));
    let state = PersistentState {
        hard_state: HardState { term: 5, vote: 0 },
        snapshot: None,
        entries,
    };
    Node::new(Config::new("a".into(), 1), state, 7, now)
}

fn message(from: &str, term: u64, body: Body) -> Raft {
    let identity = IDENTITIES.iter().find(|(name, _)| *name == from);
    Raft {
        group: 0,
        term,
        from: from.into(),
        to: "a".into(),
        from_identity: identity.map_or(0, |(_, id)| *id),
        to_identity: 1,
        body: Some(body),
    }
}

fn sync_batch(node: &mut Node, now: Instant) -> Vec<Raft> {
    let mut ready = node.ready();
    node.synced(now, ready.batch.number);
    ready.messages.append(&mut ready.after_sync);
    ready.messages
}

/// Creates member `a` and makes it the leader with the votes of `b`.
fn leader(terms: &[u64], now: &mut Instant) -> Node {
    let mut node = member(terms, *now);
    *now += Duration::from_secs(1);
    node.tick(*now);
    for pre in [true, false] {
        sync_batch(&mut node, *now);
        let body = Body::VoteReply(VoteReply { pre, granted: true });
        node.step(*now, message("b", 6, body));
    }
    assert!(node.is_leader());
    node
}

/// Acknowledges the entries up to `index` or to the end of the log, whichever is first.
fn acknowledge(node: &mut Node, from: &str, now: Instant, index: u64, probe: u64) {
    let index = index.min(node.last_index());
    let reply = AppendReply {
        success: true,
        received: index,
        synced: index,
        hint: 0,
        probe,
    };
    node.step(now, message(from, 6, Body::AppendReply(reply)));
}

fn appends(messages: &[Raft], to: &str) -> Vec<AppendRequest> {
    let to = messages.iter().filter(|m| m.to == to);
    let appends = to.filter_map(|m| match &m.body {
        Some(Body::AppendRequest(request)) => Some(request.clone()),
        _ => None,
    });
    appends.collect()
}

fn vote_request(transfer: bool) -> Body {
    Body::VoteRequest(VoteRequest {
        pre: false,
        last_index: 100,
        last_term: 100,
        transfer,
    })
}

fn grants_vote(messages: &[Raft]) -> bool {
    let granted = |m: &Raft| matches!(&m.body, Some(Body::VoteReply(r)) if r.granted);
    messages.iter().any(granted)
}

/// Guards against a follower that gets no more entries after it replied with a hint below the
/// index that it had reported as synced.
#[test]
fn a_hint_below_the_synced_index_does_not_stall_a_follower() {
    let mut now = Instant::now();
    let mut node = leader(&[1, 1, 1], &mut now);
    sync_batch(&mut node, now);
    acknowledge(&mut node, "b", now, 3, 0);
    let reply = AppendReply {
        hint: 2,
        ..AppendReply::default()
    };
    node.step(now, message("b", 6, Body::AppendReply(reply)));
    let messages = sync_batch(&mut node, now);
    assert_eq!(appends(&messages, "b")[0].prev_index, 3);
}

/// Guards against the loss of a committed entry. An entry of an earlier term that is on a
/// majority of disks can still be replaced by a leader with a later entry, so it must not be
/// committed or reported as held before an entry of the current term.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_current_term() {
    let mut now = Instant::now();
    let mut node = leader(&[1, 1], &mut now);
    sync_batch(&mut node, now);
    acknowledge(&mut node, "b", now, 3, 0);
    acknowledge(&mut node, "c", now, 3, 0);
    assert_eq!((node.commit(), node.ready().held), (0, None));
    acknowledge(&mut node, "b", now, 4, 0);
    assert_eq!((node.commit(), node.ready().held), (4, Some(4)));
}

/// Guards against acknowledging entries that are not on disk. A sync that was running when
/// entries were replaced does not count for them, even if the same entries are appended again.
#[test]
fn a_sync_does_not_count_for_entries_that_were_replaced() {
    let now = Instant::now();
    let mut node = member(&[], now);
    let append = |term, entries| {
        let request = AppendRequest {
            prev_index: 1,
            entries,
            ..AppendRequest::default()
        };
        message("b", term, Body::AppendRequest(request))
    };
    node.step(now, append(6, vec![entry(2, 1), entry(3, 1)]));
    let first = node.ready();
    node.step(now, append(7, vec![entry(2, 2)]));
    let second = node.ready();
    assert_eq!(second.batch.truncate, Some(2));
    node.step(now, append(8, vec![entry(2, 1), entry(3, 1)]));
    let third = node.ready();

    for (batch, expected) in [(first, 1), (second, 1), (third, 3)] {
        node.synced(now, batch.batch.number);
        let synced = node
            .ready()
            .messages
            .into_iter()
            .find_map(|m| match m.body {
                Some(Body::AppendReply(reply)) => Some(reply.synced),
                _ => None,
            });
        assert!(synced.is_none_or(|s| s <= expected), "{synced:?}");
    }
}

/// Guards against two leaders that serve reads, which happens if a member that acknowledged the
/// lease of one votes for the other.
#[test]
fn a_member_with_a_recent_leader_ignores_vote_requests_except_in_a_transfer() {
    for transfer in [false, true] {
        let now = Instant::now();
        let mut node = member(&[], now);
        let later = now + Duration::from_secs(1);
        let heartbeat = Body::AppendRequest(AppendRequest::default());
        node.step(later, message("b", 6, heartbeat));
        let within = later + Duration::from_millis(299);
        node.step(within, message("c", 7, vote_request(transfer)));
        assert_eq!(grants_vote(&sync_batch(&mut node, within)), transfer);
    }
}

/// Guards against a vote during the lease of a leader that the member acknowledged just before
/// it restarted.
#[test]
fn a_restarted_member_does_not_vote_within_an_election_timeout() {
    let now = Instant::now();
    let mut node = member(&[], now);
    let early = now + Duration::from_millis(299);
    node.step(early, message("c", 7, vote_request(false)));
    assert!(!grants_vote(&sync_batch(&mut node, early)));
    let late = now + Duration::from_millis(300);
    node.step(late, message("c", 8, vote_request(false)));
    assert!(grants_vote(&sync_batch(&mut node, late)));
}

/// Guards against two votes in one term, which a member can grant if it restarts after it sent a
/// vote that was not on disk.
#[test]
fn a_vote_is_sent_after_the_sync() {
    let now = Instant::now();
    let mut node = member(&[], now);
    let late = now + Duration::from_secs(1);
    node.step(late, message("c", 7, vote_request(false)));
    let ready = node.ready();
    assert!(grants_vote(&ready.after_sync) && !grants_vote(&ready.messages));
    assert_eq!(ready.batch.hard_state, Some(HardState { term: 7, vote: 3 }));
}

/// Guards against counting the replies of a member that lost its disk and restarted under the old
/// name.
#[test]
fn replies_from_another_identity_are_ignored() {
    let mut now = Instant::now();
    let mut node = leader(&[], &mut now);
    sync_batch(&mut node, now);
    let reply = AppendReply {
        success: true,
        received: node.last_index(),
        synced: node.last_index(),
        ..AppendReply::default()
    };
    let mut wiped = message("b", 6, Body::AppendReply(reply));
    wiped.from_identity = 99;
    node.step(now, wiped);
    assert_eq!(node.commit(), 0);
}

/// Guards against a member that handles messages for an earlier identity, which lost its disk, or
/// for another group.
#[test]
fn messages_to_another_identity_or_group_are_ignored() {
    let now = Instant::now() + Duration::from_secs(1);
    let mut node = member(&[], Instant::now());
    let mut misdirected = message("c", 7, vote_request(true));
    misdirected.to_identity = 99;
    node.step(now, misdirected);
    let mut other_group = message("c", 7, vote_request(true));
    other_group.group = 1;
    node.step(now, other_group);
    assert_eq!(
        (node.term(), grants_vote(&sync_batch(&mut node, now))),
        (5, false)
    );
}

/// Guards against a lease that lasts too long: one that starts when the reply arrives, or that
/// remains after another member was told to start an election.
#[test]
fn the_lease_starts_at_the_send_time_and_ends_with_a_transfer() {
    let mut now = Instant::now();
    let mut node = leader(&[], &mut now);
    let messages = sync_batch(&mut node, now);
    let probe = appends(&messages, "b")[0].probe;
    let sent = now;
    now += Duration::from_millis(40);
    assert_eq!(node.lease_until(), None, "nothing is committed in the term");
    acknowledge(&mut node, "b", now, u64::MAX, probe);
    assert_eq!(node.lease_until(), Some(sent + Duration::from_millis(270)));

    node.transfer_leadership(now).unwrap();
    assert_eq!(node.lease_until(), None);
    assert_eq!(
        node.propose(now, "x".into()),
        Err(ProposeError::Transferring)
    );
    let timeout_now = |m: &Raft| matches!(m.body, Some(Body::TimeoutNow(_))) && m.to == "b";
    assert!(sync_batch(&mut node, now).iter().any(timeout_now));
    now += Duration::from_millis(301);
    node.tick(now);
    assert!(
        !node.is_leader(),
        "the leader did not step down although its lease ended"
    );
}

#[test]
fn a_leader_without_a_majority_steps_down() {
    let mut now = Instant::now();
    let mut node = leader(&[], &mut now);
    now += Duration::from_millis(301);
    node.tick(now);
    assert!(!node.is_leader());
}

/// Guards against messages that exceed the frame size, and against unbounded memory use for a
/// follower that does not reply.
#[test]
fn messages_to_a_follower_are_bounded() {
    let mut now = Instant::now();
    let mut node = leader(&[], &mut now);
    sync_batch(&mut node, now);
    acknowledge(&mut node, "b", now, u64::MAX, 0);
    let command = vec![0; 400 * 1024];
    for _ in 0..100 {
        node.propose(now, command.clone().into()).unwrap();
    }
    let appends = appends(&sync_batch(&mut node, now), "b");
    let bytes = |r: &AppendRequest| -> usize {
        let payloads = r.entries.iter().filter_map(|e| match &e.payload {
            Some(Payload::Command(command)) => Some(command.len()),
            _ => None,
        });
        payloads.sum()
    };
    assert!(appends.iter().all(|r| bytes(r) <= 1024 * 1024));
    let total: usize = appends.iter().map(bytes).sum();
    assert!((8 << 20..9 << 20).contains(&total), "{total}");

    let large = vec![0; 8 * 1024 * 1024 + 1];
    let too_large = node.propose(now, large.into());
    assert_eq!(too_large, Err(ProposeError::TooLarge(8 * 1024 * 1024 + 1)));
    let rejected = (0..100).any(|_| node.propose(now, command.clone().into()).is_err());
    assert!(rejected, "uncommitted proposals are not bounded");
}

/// Guards against two concurrent member changes, which can form two majorities without a common
/// member.
#[test]
fn member_changes_are_made_one_at_a_time() {
    let mut now = Instant::now();
    let mut node = leader(&[], &mut now);
    let learner = MemberChange::AddLearner(Peer::new("d".into(), "address"));
    let early = node.propose_members(now, learner.clone());
    assert_eq!(early, Err(ProposeError::ChangeInProgress));
    sync_batch(&mut node, now);
    acknowledge(&mut node, "b", now, u64::MAX, 0);

    node.propose_members(now, learner).unwrap();
    let second = node.propose_members(now, MemberChange::Remove("c".into()));
    assert_eq!(second, Err(ProposeError::ChangeInProgress));
    sync_batch(&mut node, now);
    acknowledge(&mut node, "b", now, u64::MAX, 0);
    let promoted = node.propose_members(now, MemberChange::Promote("d".into()));
    assert!(
        matches!(promoted, Err(ProposeError::InvalidChange(_))),
        "{promoted:?}"
    );
}

//! Guards against the loss of committed entries when all members of a group restart.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use sassafras_raft::Config;
use sassafras_raft::Node;
use sassafras_raft::Peer;
use sassafras_storage::Progress;
use sassafras_storage::Store;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::Raft;

use crate::folder::Folder;

struct Member {
    folder: Folder,
    store: Store,
    node: Node,
    applied: Vec<LogEntry>,
}

impl Member {
    fn start(name: &str, folder: Folder, now: Instant) -> Self {
        let (store, recovered) = Store::open(folder.path(), 0, &name.into()).unwrap();
        let mut config = Config::new(name.into(), recovered.identity);
        config.retained_entries = 0;
        config.initial_members = ["a", "b", "c"]
            .map(|n| Peer::new(n.into(), "address"))
            .to_vec();
        let seed = u64::from(name.as_bytes()[0]);
        Self {
            folder,
            store,
            node: Node::new(config, recovered.state, seed, now),
            applied: Vec::new(),
        }
    }

    /// Carries out the effects of the node and returns its messages.
    fn process_ready(&mut self, now: Instant) -> Vec<Raft> {
        self.node.tick(now);
        let ready = self.node.ready();
        let number = ready.batch.number;
        if !ready.batch.is_empty() {
            assert_eq!(self.store.write(vec![ready.batch]).unwrap(), Progress::Done);
        }
        self.node.synced(now, number);
        self.applied.extend(ready.committed);
        ready.messages.into_iter().chain(ready.after_sync).collect()
    }
}

fn run(members: &mut [Member], now: &mut Instant, steps: u32) {
    let mut messages = VecDeque::new();
    for _ in 0..steps {
        *now += Duration::from_millis(10);
        for member in members.iter_mut() {
            messages.extend(member.process_ready(*now));
        }
        for message in std::mem::take(&mut messages) {
            let index = usize::from(message.to.as_bytes()[0] - b'a');
            members[index].node.step(*now, message);
        }
    }
}

#[test]
fn a_group_keeps_committed_entries_after_restarts() {
    let mut now = Instant::now();
    let names = ["a", "b", "c"];
    let mut members: Vec<_> = names
        .iter()
        .map(|n| Member::start(n, Folder::new(&format!("group-{n}")), now))
        .collect();
    let mut last = 0;
    for round in 1..=4 {
        run(&mut members, &mut now, 200);
        let leader = members
            .iter_mut()
            .find(|m| m.node.is_leader())
            .expect("no leader");
        for _ in 0..100 {
            last = leader.node.propose(now, vec![round; 100].into()).unwrap();
        }
        run(&mut members, &mut now, 20);
        for member in &mut members {
            assert_eq!(member.node.commit(), last);
            if let Some(snapshot) = member.node.compact(last - 10, vec![round].into()) {
                assert_eq!(
                    member.store.save_snapshot(&snapshot).unwrap(),
                    Progress::Done
                );
            }
        }
        let stopped = members.into_iter().zip(names);
        let restart = |(m, name): (Member, _)| {
            let Member { folder, store, .. } = m;
            drop(store);
            let member = Member::start(name, folder, now);
            assert!(
                member.node.last_index() >= last,
                "committed entries were lost"
            );
            member
        };
        members = stopped.map(restart).collect();
    }
    run(&mut members, &mut now, 200);
    let expected = &members[0].applied;
    assert!(expected.len() >= 10);
    for member in &members {
        assert_eq!(member.applied, *expected);
        assert_eq!(member.applied[0].index, last - 9);
    }
}

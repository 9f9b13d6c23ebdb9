//! Bootstrap of a group by its initial members.
//!
//! The initial member with the smallest name, the bootstrap member, asks the others for their
//! identities. Once all of them have replied that they are uninitialized, it writes the first
//! entry, which holds the member set with all identities. Since every initial member must be
//! uninitialized, a bootstrap member that loses its disk later cannot create a second group.

use sassafras_util::Name;
use sassafras_wire::proto::Greeting;
use sassafras_wire::proto::GreetingReply;
use sassafras_wire::proto::LogEntry;
use sassafras_wire::proto::log_entry::Payload;
use sassafras_wire::proto::raft::Body;

use crate::HardState;
use crate::Members;
use crate::Node;
use crate::Peer;

/// Term of the first entry. No leader is ever elected in it.
const BOOTSTRAP_TERM: u64 = 0;

impl Node {
    /// Returns whether this member has neither a term or vote nor any log entries.
    pub fn is_uninitialized(&self) -> bool {
        self.hard_state == HardState::default() && self.log.last_index() == 0
    }

    /// Returns whether this member is the bootstrap member and has not bootstrapped the group yet.
    pub(crate) fn should_bootstrap(&self) -> bool {
        let smallest = self.config.initial_members.iter().map(|p| &p.name).min();
        smallest == Some(&self.config.name) && self.is_uninitialized()
    }

    fn other_initial_members(&self) -> Vec<Name> {
        let names = self.config.initial_members.iter().map(|p| p.name.clone());
        names.filter(|name| *name != self.config.name).collect()
    }

    /// Sends a greeting to the initial members that have not replied, once per heartbeat interval.
    pub(crate) fn send_greetings(&mut self) {
        if self.now < self.next_greeting {
            return;
        }
        self.next_greeting = self.now + self.config.heartbeat_interval;
        for name in self.other_initial_members() {
            if !self.initial_identities.contains_key(&name) {
                self.send(&name, Body::Greeting(Greeting {}));
            }
        }
        self.bootstrap();
    }

    /// Replies to a greeting. From then on an uninitialized member accepts messages from the
    /// sender only under this identity, so that delayed messages of an earlier identity cannot
    /// get its vote.
    pub(crate) fn on_greeting(&mut self, from: Name, identity: u64) {
        let blank = self.is_uninitialized();
        self.send(&from, Body::GreetingReply(GreetingReply { blank }));
        if blank {
            self.bootstrap_member = Some((from, identity));
        }
    }

    pub(crate) fn on_greeting_reply(&mut self, from: Name, identity: u64, reply: GreetingReply) {
        let expected = self.config.initial_members.iter().any(|p| p.name == from);
        if reply.blank && expected && self.should_bootstrap() {
            self.initial_identities.insert(from, identity);
            self.bootstrap();
        }
    }

    /// Writes the first entry once all initial members are known to be uninitialized.
    fn bootstrap(&mut self) {
        let own = self.config.identity;
        let identify = |peer: &Peer| {
            let identity = self.initial_identities.get(&peer.name).copied();
            let identity = identity.or((peer.name == self.config.name).then_some(own));
            identity.map(|identity| Peer {
                identity,
                ..peer.clone()
            })
        };
        let voters = self.config.initial_members.iter().map(identify);
        let Some(voters) = voters.collect::<Option<Vec<_>>>() else {
            return;
        };
        let members = Members {
            voters,
            learners: Vec::new(),
        };
        self.log.push(LogEntry {
            index: 1,
            term: BOOTSTRAP_TERM,
            payload: Some(Payload::Members((&members).into())),
        });
        // There is no leader yet, so an election can start without waiting for a timeout.
        self.election_at = self.now;
    }
}

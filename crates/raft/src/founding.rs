//! Founding of the group by its initial members.
//!
//! The initial member with the smallest name asks the others for their identities. When all
//! of them have answered that they are blank, it writes the first entry: the member set with
//! everyone's identity. Since every initial member must be blank, a founder that lost its
//! disk later cannot found a second group beside the first one.

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

/// Term of the first entry; no leader ever has it.
const FOUNDING_TERM: u64 = 0;

impl Node {
    /// Returns whether this member has neither voted nor stored anything.
    pub fn is_blank(&self) -> bool {
        self.hard == HardState::default() && self.log.last() == 0
    }

    /// Returns whether this member is the one to found the group.
    pub(crate) fn is_founder(&self) -> bool {
        let first = self.config.initial_members.iter().map(|p| &p.name).min();
        first == Some(&self.config.name) && self.is_blank()
    }

    fn others(&self) -> Vec<Name> {
        let names = self.config.initial_members.iter().map(|p| p.name.clone());
        names.filter(|name| *name != self.config.name).collect()
    }

    /// Greets the initial members that have not answered, once a heartbeat.
    pub(crate) fn greet(&mut self) {
        if self.now < self.greet_at {
            return;
        }
        self.greet_at = self.now + self.config.heartbeat;
        for name in self.others() {
            if !self.greeted.contains_key(&name) {
                self.send(&name, Body::Greeting(Greeting {}));
            }
        }
        self.found();
    }

    /// Answers a greeting. A blank member then listens only to that identity of the founder,
    /// so that messages of an earlier identity, still on their way, cannot take its vote.
    pub(crate) fn on_greeting(&mut self, from: Name, identity: u64) {
        let blank = self.is_blank();
        self.send(&from, Body::GreetingReply(GreetingReply { blank }));
        if blank {
            self.pledged = Some((from, identity));
        }
    }

    pub(crate) fn on_greeting_reply(&mut self, from: Name, identity: u64, reply: GreetingReply) {
        let expected = self.config.initial_members.iter().any(|p| p.name == from);
        if reply.blank && expected && self.is_founder() {
            self.greeted.insert(from, identity);
            self.found();
        }
    }

    /// Writes the first entry once every initial member is known to be blank.
    fn found(&mut self) {
        let own = self.config.identity;
        let identify = |peer: &Peer| {
            let known = self.greeted.get(&peer.name).copied();
            let known = known.or((peer.name == self.config.name).then_some(own));
            known.map(|identity| Peer {
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
            term: FOUNDING_TERM,
            payload: Some(Payload::Members((&members).into())),
        });
        // Nobody can lead yet, so the founder need not wait for an election timeout.
        self.election_at = self.now;
    }
}

//! Links to the other control members.
//!
//! Every member dials every other one and sends on the link that it dialled. An accepted
//! link is used where dialling is not possible yet, for example by a new learner that does
//! not know the leader's address.

use std::net::SocketAddr;

use sassafras_raft::Members;
use sassafras_runtime::ConnId;
use sassafras_runtime::Net;
use sassafras_runtime::Peer;
use sassafras_util::FastMap;
use sassafras_util::Name;
use sassafras_wire::Body;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Raft;
use sassafras_wire::proto::Role;

/// The start of the names under which members are dialled.
const DIAL_PREFIX: &str = "member/";

/// Links to the other control members.
#[derive(Debug)]
pub(crate) struct Peers {
    net: Net,
    own: Name,
    /// Addresses from the settings, which may lead through a proxy and therefore come before
    /// those in the member set.
    configured: FastMap<Name, SocketAddr>,
    dialled: FastMap<Name, SocketAddr>,
    outgoing: FastMap<Name, ConnId>,
    incoming: FastMap<Name, ConnId>,
}

impl Peers {
    pub(crate) fn new(net: Net, own: Name, configured: &[(Name, SocketAddr)]) -> Self {
        let mut peers = Self {
            net,
            own,
            configured: configured.iter().cloned().collect(),
            dialled: FastMap::default(),
            outgoing: FastMap::default(),
            incoming: FastMap::default(),
        };
        for (name, addr) in configured {
            peers.dial(name, *addr);
        }
        peers
    }

    /// Dials members that are new, and hangs up on those that were removed.
    pub(crate) fn follow(&mut self, members: &Members) {
        for peer in members.iter() {
            let addr = self.configured.get(&peer.name).copied();
            if let Some(addr) = addr.or_else(|| peer.address.parse().ok()) {
                self.dial(&peer.name, addr);
            }
        }
        let member = |name: &Name| members.get(name).is_some();
        let net = &self.net;
        let configured = &self.configured;
        self.dialled.retain(|name, _| {
            let keep = member(name) || configured.contains_key(name);
            if !keep {
                net.disconnect(&dial_name(name));
            }
            keep
        });
    }

    /// Notes a new link, and returns the member at its other end if it is one.
    pub(crate) fn up(&mut self, conn: ConnId, peer: &Peer, dialled: Option<&Name>) {
        if peer.role != Role::Control {
            return;
        }
        match dialled.and_then(|n| n.strip_prefix(DIAL_PREFIX)) {
            Some(name) if *peer.node.name == *name => {
                self.outgoing.insert(peer.node.name.clone(), conn);
            }
            // Another member answered at that address, so the link must not be used for it.
            Some(_) => self.net.close(conn),
            None => {
                self.incoming.insert(peer.node.name.clone(), conn);
            }
        }
    }

    pub(crate) fn down(&mut self, conn: ConnId) {
        self.outgoing.retain(|_, c| *c != conn);
        self.incoming.retain(|_, c| *c != conn);
    }

    /// Sends a message of the replicated log; it is lost when there is no link.
    pub(crate) fn send(&self, message: Raft) {
        let to = message.to.as_str();
        let Some(conn) = self.outgoing.get(to).or_else(|| self.incoming.get(to)) else {
            return;
        };
        let frame = Frame {
            request: 0,
            reply: false,
            body: Some(Body::Raft(message)),
        };
        self.net.send(*conn, frame);
    }

    /// Sends a request to every member that there is a link to.
    pub(crate) fn ask(&self, body: &Body) {
        for conn in self.outgoing.values() {
            let frame = Frame {
                request: 0,
                reply: false,
                body: Some(body.clone()),
            };
            self.net.send(*conn, frame);
        }
    }

    /// Takes the addresses that changed settings name.
    pub(crate) fn reconfigure(&mut self, configured: &[(Name, SocketAddr)]) {
        self.configured = configured.iter().cloned().collect();
        for (name, addr) in configured {
            self.dial(name, *addr);
        }
    }

    /// Keeps a link to a member open.
    pub(crate) fn dial(&mut self, name: &Name, addr: SocketAddr) {
        if *name == self.own || self.dialled.get(name) == Some(&addr) {
            return;
        }
        self.dialled.insert(name.clone(), addr);
        self.net.dial(dial_name(name), addr);
    }
}

fn dial_name(member: &Name) -> Name {
    Name::from(format!("{DIAL_PREFIX}{member}"))
}

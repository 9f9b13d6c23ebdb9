//! Connections to the other control members.
//!
//! Every member dials every other one and sends on the connections that it dialled. It sends on
//! an accepted connection only while it has no dialled connection to the peer: a new learner, for
//! example, does not know the leader's address yet.

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

/// Prefix of the names under which members are dialled.
const DIAL_PREFIX: &str = "member/";

/// Connections to the other control members.
#[derive(Debug)]
pub(crate) struct Peers {
    net: Net,
    own: Name,
    /// Addresses from the settings. They take precedence over those in the member set, since they
    /// may lead through a proxy.
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

    /// Dials new members, and disconnects from removed ones unless the settings list them.
    pub(crate) fn update_members(&mut self, members: &Members) {
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

    /// Records a new connection if its peer is a control member.
    pub(crate) fn link_up(&mut self, conn: ConnId, peer: &Peer, dialled: Option<&Name>) {
        if peer.role != Role::Control {
            return;
        }
        match dialled.and_then(|n| n.strip_prefix(DIAL_PREFIX)) {
            Some(name) if *peer.node.name == *name => {
                self.outgoing.insert(peer.node.name.clone(), conn);
            }
            // Another member answered at the dialled address, so the connection must not be used to
            // send messages to the one that was dialled.
            Some(_) => self.net.close(conn),
            None => {
                self.incoming.insert(peer.node.name.clone(), conn);
            }
        }
    }

    pub(crate) fn link_down(&mut self, conn: ConnId) {
        self.outgoing.retain(|_, c| *c != conn);
        self.incoming.retain(|_, c| *c != conn);
    }

    /// Sends a message of the replicated log. It is dropped if there is no connection.
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

    /// Sends a request on all dialled connections.
    pub(crate) fn broadcast(&self, body: &Body) {
        for conn in self.outgoing.values() {
            let frame = Frame {
                request: 0,
                reply: false,
                body: Some(body.clone()),
            };
            self.net.send(*conn, frame);
        }
    }

    /// Replaces the addresses from the settings, and dials them.
    pub(crate) fn set_configured(&mut self, configured: &[(Name, SocketAddr)]) {
        self.configured = configured.iter().cloned().collect();
        for (name, addr) in configured {
            self.dial(name, *addr);
        }
    }

    /// Keeps a connection to a member open.
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

//! The member: replicated log, state, leader's memory, and the effects of the log.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use prost::Message as _;
use rand::RngExt as _;
use slog::Logger;
use slog::error;
use slog::info;
use tokio::task::JoinHandle;

use sassafras_raft::LeaderChange;
use sassafras_raft::Node;
use sassafras_raft::ProposeError;
use sassafras_raft::Ready;
use sassafras_runtime::ConnId;
use sassafras_runtime::Net;
use sassafras_runtime::NetEvent;
use sassafras_runtime::Peer;
use sassafras_state::State;
use sassafras_util::Clock;
use sassafras_util::Error;
use sassafras_util::FastMap;
use sassafras_wire::Body;
use sassafras_wire::proto;
use sassafras_wire::proto::Failure;
use sassafras_wire::proto::Frame;
use sassafras_wire::proto::Raft;
use sassafras_wire::proto::command;
use sassafras_wire::proto::failure::Code;

use crate::disk::Disk;
use crate::leader::Leader;
use crate::peers::Peers;
use crate::pending::Caller;
use crate::pending::Pending;
use crate::pending::Proposal;
use crate::pending::Then;
use crate::settings::Settings;

/// Pause between two looks at silent nodes, retention and metrics.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// A snapshot that is being encoded, with its index.
type Encoding = JoinHandle<(u64, Bytes)>;

/// What the second thread has done.
#[derive(Debug)]
pub(crate) enum Background {
    /// Batches up to this one are on disk.
    Written(Option<u64>),
    /// The snapshot at this index is encoded.
    Encoded(u64, Bytes),
}

/// One control member.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) net: Net,
    pub(crate) peers: Peers,
    pub(crate) conns: FastMap<ConnId, Peer>,
    pub(crate) node: Node,
    pub(crate) state: State,
    pub(crate) disk: Disk,
    /// Present while this member leads and has applied all that came before its term.
    pub(crate) leader: Option<Leader>,
    pub(crate) pending: Pending,
    /// Messages that wait for a batch to be on disk.
    unsent: VecDeque<(u64, Vec<Raft>)>,
    synced: u64,
    /// Bytes of commands applied since the last snapshot.
    pub(crate) applied_bytes: u64,
    /// Value of `applied_bytes` at which the next snapshot is taken.
    snapshot_at: u64,
    encoding: Option<Encoding>,
    check_at: Instant,
    /// When this host next asks to become a member.
    pub(crate) join_at: Instant,
}

impl Engine {
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        clock: Arc<dyn Clock>,
        net: Net,
        node: Node,
        state: State,
        disk: Disk,
    ) -> Self {
        let own = settings.common.name.clone();
        let mut peers = Peers::new(net.clone(), own, &settings.common.control);
        peers.follow(&node.members());
        Self {
            check_at: clock.now(),
            join_at: clock.now(),
            snapshot_at: settings.snapshot_bytes,
            encoding: None,
            settings,
            log,
            clock,
            net,
            peers,
            conns: FastMap::default(),
            node,
            state,
            disk,
            leader: None,
            pending: Pending::default(),
            unsent: VecDeque::new(),
            synced: 0,
            applied_bytes: 0,
        }
    }

    /// Returns when [`Engine::tick`] has something to do next.
    pub(crate) fn deadline(&self) -> Instant {
        self.node.next_tick().min(self.check_at)
    }

    /// Handles an event of a link.
    pub(crate) fn net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Up {
                conn,
                peer,
                dialled,
            } => {
                self.peers.up(conn, &peer, dialled.as_ref());
                self.conns.insert(conn, peer);
            }
            NetEvent::Down { conn } => {
                self.peers.down(conn);
                self.conns.remove(&conn);
            }
            NetEvent::Frame { conn, frame } => match frame.body {
                Some(Body::Raft(message)) => self.raft_message(now, conn, message),
                Some(Body::JoinReply(reply)) => self.joined(reply),
                Some(body) if !frame.reply => {
                    let request = frame.request;
                    self.request(now, Caller { conn, request }, body);
                }
                _ => {}
            },
        }
    }

    /// Handles the end of a sync.
    pub(crate) fn written(&mut self, now: Instant, batch: Option<u64>) {
        let Some(batch) = batch else { return };
        self.synced = batch;
        let due = self.unsent.partition_point(|(number, _)| *number <= batch);
        for (_, messages) in self.unsent.drain(..due) {
            for message in messages {
                self.peers.send(message);
            }
        }
        self.node.synced(now, batch);
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self, now: Instant) {
        if now >= self.node.next_tick() {
            self.node.tick(now);
        }
        if now >= self.check_at {
            self.check_at = now + CHECK_PAUSE;
            self.check(now);
        }
    }

    /// Carries out the effects of everything handled since the last call.
    ///
    /// # Errors
    ///
    /// Fails when a snapshot of another member cannot be decoded.
    pub(crate) fn settle(&mut self, now: Instant) -> Result<(), Error> {
        let ready = self.node.ready();
        self.carry_out(now, ready)?;
        self.start_leading(now);
        self.push();
        self.start_snapshot();
        self.disk.start();
        Ok(())
    }

    fn carry_out(&mut self, now: Instant, ready: Ready) -> Result<(), Error> {
        for message in ready.messages {
            self.peers.send(message);
        }
        let number = ready.batch.number;
        if !ready.batch.is_empty() {
            self.disk.write(ready.batch);
        }
        if number <= self.synced {
            for message in ready.after_sync {
                self.peers.send(message);
            }
        } else if !ready.after_sync.is_empty() {
            self.unsent.push_back((number, ready.after_sync));
        }
        // Proposals of an ended term must not be taken for entries of a new leader.
        if let Some(change) = ready.leader {
            self.leader_changed(&change);
        }
        if let Some(snapshot) = ready.install {
            self.state = State::decode(&snapshot.data)?;
            self.state.skip(snapshot.index);
            self.applied_bytes = 0;
            self.peers.follow(&self.node.members());
            info!(self.log, "snapshot installed"; "index" => snapshot.index);
        }
        for entry in ready.committed {
            self.apply(now, entry);
        }
        if let Some(index) = ready.held {
            for (caller, reply) in self.pending.held(index) {
                self.reply(caller, Body::FinishReply(reply));
            }
        }
        Ok(())
    }

    fn raft_message(&mut self, now: Instant, conn: ConnId, message: Raft) {
        let proved = self.conns.get(&conn);
        let genuine =
            proved.is_some_and(|p| p.role == proto::Role::Control && *p.node.name == *message.from);
        if genuine {
            self.node.step(now, message);
        } else {
            metrics::counter!("control_refused", "reason" => "foreign_raft").increment(1);
        }
    }

    fn leader_changed(&mut self, change: &LeaderChange) {
        let name = change.leader.as_ref().map_or("none", |n| n.as_str());
        info!(self.log, "leader changed"; "leader" => name, "term" => change.term);
        metrics::counter!("control_leader_changes").increment(1);
        if self.leader.take().is_some() {
            info!(self.log, "leadership lost"; "term" => change.term);
        }
        for proposal in self.pending.drain() {
            if let Some(caller) = proposal.caller {
                self.fail(caller, Code::NotLeader, "the leader changed");
            }
        }
    }

    /// Starts to serve once this member leads and knows all that its predecessors committed.
    fn start_leading(&mut self, now: Instant) {
        let leased = self.node.lease_until().is_some_and(|until| now < until);
        if self.leader.is_some() || !leased || self.state.applied() != self.node.commit() {
            return;
        }
        let term = self.node.term();
        let leader = Leader::new(
            now,
            self.clock.unix_ms(),
            self.settings.result_retention,
            &self.state,
        );
        self.leader = Some(leader);
        info!(self.log, "leading"; "term" => term, "applied" => self.state.applied());
        metrics::counter!("control_elections_won").increment(1);
        self.audit_leadership(now, "elected");
        self.bootstrap(now);
    }

    /// Commits a leadership event to the audit trail.
    pub(crate) fn audit_leadership(&mut self, now: Instant, change: &str) {
        let event = proto::LeaderEvent {
            member: self.settings.common.name.to_string(),
            term: self.node.term(),
            change: change.to_owned(),
        };
        self.propose_own(now, command::Body::Leader(event));
    }

    /// Reports whether this member may answer from its state.
    pub(crate) fn serves(&self, now: Instant) -> bool {
        self.leader.is_some() && self.node.lease_until().is_some_and(|until| now < until)
    }

    /// Proposes a command that nobody waits for. One that is refused is tried again by the
    /// check that led to it.
    pub(crate) fn propose_own(&mut self, now: Instant, body: command::Body) -> bool {
        let proposal = Proposal {
            caller: None,
            then: Then::Reply,
            key: None,
        };
        match self.try_propose(now, body, proposal) {
            Ok(_) => true,
            Err(e) => {
                error!(self.log, "proposal refused"; "error" => %e);
                false
            }
        }
    }

    /// Proposes a command for a caller, who gets a failure when it is refused.
    pub(crate) fn propose(
        &mut self,
        now: Instant,
        body: command::Body,
        proposal: Proposal,
    ) -> Option<u64> {
        let caller = proposal.caller;
        match self.try_propose(now, body, proposal) {
            Ok(index) => Some(index),
            Err(e) => {
                if let Some(caller) = caller {
                    self.refuse(caller, &e);
                }
                None
            }
        }
    }

    fn try_propose(
        &mut self,
        now: Instant,
        body: command::Body,
        proposal: Proposal,
    ) -> Result<u64, ProposeError> {
        let time = self.leader.as_ref().map(|l| l.time.at(now));
        let command = proto::Command {
            control_ms: time.unwrap_or_default(),
            body: Some(body),
        };
        let bytes = command.encode_to_vec().into();
        let index = self.node.propose(now, bytes)?;
        self.pending.insert(index, proposal);
        Ok(index)
    }

    /// Answers a request whose proposal was refused.
    pub(crate) fn refuse(&mut self, caller: Caller, e: &ProposeError) {
        let code = match e {
            ProposeError::NotLeader(_) => Code::NotLeader,
            ProposeError::Transferring | ProposeError::Busy | ProposeError::ChangeInProgress => {
                Code::Unavailable
            }
            ProposeError::TooLarge(_) | ProposeError::BadChange(_) => Code::Invalid,
        };
        self.fail(caller, code, &e.to_string());
    }

    pub(crate) fn reply(&self, caller: Caller, body: Body) {
        let frame = Frame {
            request: caller.request,
            reply: true,
            body: Some(body),
        };
        self.net.send(caller.conn, frame);
    }

    pub(crate) fn fail(&self, caller: Caller, code: Code, detail: &str) {
        metrics::counter!("control_failures", "code" => code.as_str_name()).increment(1);
        let leader = self.node.leader().filter(|_| !self.node.is_leader());
        let members = self.node.members();
        let address = leader
            .and_then(|name| members.get(name))
            .map(|p| &*p.address);
        let failure = Failure {
            code: code.into(),
            detail: detail.to_owned(),
            leader: leader.map(ToString::to_string).unwrap_or_default(),
            leader_address: address.unwrap_or_default().to_owned(),
        };
        self.reply(caller, Body::Failure(failure));
    }

    /// Starts to encode a snapshot once enough was applied since the last one.
    fn start_snapshot(&mut self) {
        if self.applied_bytes < self.snapshot_at || self.encoding.is_some() {
            return;
        }
        self.applied_bytes = 0;
        // Members that took snapshots together would also sync them together, and claims
        // would wait.
        let spread = rand::rng().random_range(1.0..1.5);
        self.snapshot_at = (self.settings.snapshot_bytes as f64 * spread) as u64;
        let (index, frozen) = (self.state.applied(), self.state.snapshot());
        let encode = move || (index, Bytes::from(frozen.encode()));
        self.encoding = Some(tokio::task::spawn_blocking(encode));
    }

    /// Waits for the second thread to write or encode something.
    ///
    /// # Errors
    ///
    /// Fails when a write failed; the member must not go on then.
    pub(crate) async fn background(&mut self) -> Result<Background, Error> {
        tokio::select! {
            written = self.disk.written() => Ok(Background::Written(written?)),
            encoded = encoded(&mut self.encoding) => {
                let (index, data) = encoded?;
                Ok(Background::Encoded(index, data))
            }
        }
    }

    /// Stores an encoded snapshot and lets the log drop what it contains.
    pub(crate) fn snapshot_encoded(&mut self, index: u64, data: Bytes) {
        let bytes = data.len();
        if let Some(snapshot) = self.node.compact(index, data) {
            info!(self.log, "snapshot taken"; "index" => index, "bytes" => bytes);
            metrics::counter!("control_snapshots").increment(1);
            self.disk.save(snapshot);
        }
    }
}

/// Waits for a snapshot to be encoded; forever when none is.
async fn encoded(encoding: &mut Option<Encoding>) -> Result<(u64, Bytes), Error> {
    let Some(running) = encoding else {
        return std::future::pending().await;
    };
    let encoded = running.await;
    *encoding = None;
    encoded.map_err(Error::new)
}

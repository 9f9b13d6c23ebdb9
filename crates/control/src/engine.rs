//! A control member: drives the replicated log, persists and applies its output, and keeps
//! the state that only the leader has.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use prost::Message as _;
use rand::RngExt as _;
use slog::Logger;
use slog::debug;
use slog::error;
use slog::info;
use slog::warn;
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

use crate::disk::DiskWriter;
use crate::leader::LeaderState;
use crate::peers::Peers;
use crate::pending::Caller;
use crate::pending::OnCommit;
use crate::pending::Pending;
use crate::pending::Proposal;
use crate::settings::Settings;

/// Interval between checks for silent nodes and expired claims, and updates of the metrics.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A task that encodes a snapshot, and returns it with its log index.
type EncodeTask = JoinHandle<(u64, Bytes)>;

/// A completed task of the blocking thread pool.
#[derive(Debug)]
pub(crate) enum Background {
    /// All batches up to this one are synced to disk. `None` if only a snapshot was written.
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
    pub(crate) disk: DiskWriter,
    /// Whether the disk was full at the last check.
    disk_full: bool,
    /// `Some` while this member leads and has applied all entries from before its term.
    pub(crate) leader: Option<LeaderState>,
    pub(crate) pending: Pending,
    /// Messages to send once the batch of the given number is synced to disk.
    after_sync: VecDeque<(u64, Vec<Raft>)>,
    synced_batch: u64,
    /// Bytes of commands applied since the last snapshot.
    pub(crate) applied_bytes: u64,
    /// Value of `applied_bytes` from which the next snapshot is taken.
    snapshot_threshold: u64,
    encode_task: Option<EncodeTask>,
    next_check: Instant,
    /// When this host next sends a request to join or to leave.
    pub(crate) next_join: Instant,
    /// Whether this host stops, and asks to be removed if the group has voters enough without it.
    pub(crate) leaving: bool,
    /// Whether the group has removed this host since.
    pub(crate) removed: bool,
}

impl Engine {
    pub(crate) fn new(
        settings: Settings,
        log: Logger,
        clock: Arc<dyn Clock>,
        net: Net,
        node: Node,
        state: State,
        disk: DiskWriter,
    ) -> Self {
        let own = settings.common.name.clone();
        let mut peers = Peers::new(net.clone(), own, &settings.common.control);
        peers.update_members(&node.members());
        Self {
            next_check: clock.now(),
            next_join: clock.now(),
            leaving: false,
            removed: false,
            snapshot_threshold: settings.snapshot_bytes,
            encode_task: None,
            settings,
            log,
            clock,
            net,
            peers,
            conns: FastMap::default(),
            node,
            state,
            disk,
            disk_full: false,
            leader: None,
            pending: Pending::default(),
            after_sync: VecDeque::new(),
            synced_batch: 0,
            applied_bytes: 0,
        }
    }

    /// Returns the time of the next [`Engine::tick`].
    pub(crate) fn deadline(&self) -> Instant {
        let next = self.node.next_tick().min(self.next_check);
        self.disk.retry_at().map_or(next, |at| at.min(next))
    }

    /// Handles a network event.
    pub(crate) fn handle_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Up {
                conn,
                peer,
                dialled,
            } => {
                self.peers.link_up(conn, &peer, dialled.as_ref());
                self.conns.insert(conn, peer);
            }
            NetEvent::Down { conn } => {
                self.peers.link_down(conn);
                self.conns.remove(&conn);
            }
            NetEvent::Frame { conn, frame } => match frame.body {
                Some(Body::Raft(message)) => self.handle_raft(now, conn, message),
                Some(Body::JoinReply(reply)) => self.handle_join_reply(reply),
                Some(body) if !frame.reply => {
                    let request = frame.request;
                    self.handle_request(now, Caller { conn, request }, body);
                }
                _ => {}
            },
        }
    }

    /// Sends the messages that waited for a completed sync, and reports it to the replicated log.
    pub(crate) fn handle_written(&mut self, now: Instant, batch: Option<u64>) {
        let Some(batch) = batch else { return };
        self.synced_batch = batch;
        let due = self
            .after_sync
            .partition_point(|(number, _)| *number <= batch);
        for (_, messages) in self.after_sync.drain(..due) {
            for message in messages {
                self.peers.send(message);
            }
        }
        self.node.synced(now, batch);
    }

    /// Runs the timers that are due.
    pub(crate) fn tick(&mut self, now: Instant) {
        if now >= self.node.next_tick() {
            self.node.tick(now);
        }
        if now >= self.next_check {
            self.next_check = now + CHECK_INTERVAL;
            self.check_disk(now);
            self.run_checks(now);
        }
    }

    /// Logs that the disk is full or has space again. A leader whose disk is full transfers its
    /// leadership, since it cannot store what is proposed.
    fn check_disk(&mut self, now: Instant) {
        let full = self.disk.is_full();
        if std::mem::replace(&mut self.disk_full, full) != full {
            metrics::gauge!("control_disk_full").set(f64::from(u8::from(full)));
            if full {
                warn!(self.log, "disk is full, waiting for space"; "leading" => self.node.is_leader());
            } else {
                info!(self.log, "disk has space again");
            }
        }
        if full
            && self.node.is_leader()
            && let Err(e) = self.node.transfer_leadership(now)
            && !matches!(e, ProposeError::Transferring)
        {
            debug!(self.log, "leadership transfer failed"; "error" => %e);
        }
    }

    /// Processes the output of everything handled since the last call: sends messages, applies
    /// committed entries, and starts writes and snapshots.
    ///
    /// # Errors
    ///
    /// Returns an error if a snapshot received from another member cannot be decoded.
    pub(crate) fn process_ready(&mut self, now: Instant) -> Result<(), Error> {
        let ready = self.node.ready();
        self.apply_ready(now, ready)?;
        self.start_leader(now);
        self.push_updates();
        self.start_snapshot();
        self.disk.start(now);
        Ok(())
    }

    fn apply_ready(&mut self, now: Instant, ready: Ready) -> Result<(), Error> {
        for message in ready.messages {
            self.peers.send(message);
        }
        let number = ready.batch.number;
        if !ready.batch.is_empty() {
            self.disk.write(ready.batch);
        }
        if number <= self.synced_batch {
            for message in ready.after_sync {
                self.peers.send(message);
            }
        } else if !ready.after_sync.is_empty() {
            self.after_sync.push_back((number, ready.after_sync));
        }
        // Pending proposals are failed before entries are applied: an entry of the new leader
        // may be committed at the index of one of them.
        if let Some(change) = ready.leader {
            self.handle_leader_change(&change);
        }
        if let Some(snapshot) = ready.install {
            self.state = State::decode(&snapshot.data)?;
            self.state.skip(snapshot.index);
            self.applied_bytes = 0;
            self.peers.update_members(&self.node.members());
            info!(self.log, "snapshot from leader installed"; "index" => snapshot.index);
        }
        for entry in ready.committed {
            self.apply(now, entry);
        }
        if let Some(index) = ready.held {
            for (caller, reply) in self.pending.take_replicated(index) {
                self.reply(caller, Body::FinishReply(reply));
            }
        }
        Ok(())
    }

    fn handle_raft(&mut self, now: Instant, conn: ConnId, message: Raft) {
        let peer = self.conns.get(&conn);
        let authentic =
            peer.is_some_and(|p| p.role == proto::Role::Control && *p.node.name == *message.from);
        if authentic {
            self.node.step(now, message);
        } else {
            metrics::counter!("control_refused", "reason" => "foreign_raft").increment(1);
        }
    }

    fn handle_leader_change(&mut self, change: &LeaderChange) {
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

    /// Starts to serve requests once this member holds the leader lease and has applied all
    /// entries that earlier leaders committed.
    fn start_leader(&mut self, now: Instant) {
        let leased = self.node.lease_until().is_some_and(|until| now < until);
        if self.leader.is_some() || !leased || self.state.applied() != self.node.commit() {
            return;
        }
        let term = self.node.term();
        let leader = LeaderState::new(
            now,
            self.clock.unix_ms(),
            self.settings.result_retention,
            &self.state,
        );
        self.leader = Some(leader);
        info!(self.log, "became leader"; "term" => term, "applied" => self.state.applied());
        metrics::counter!("control_elections_won").increment(1);
        self.propose_leader_event(now, "elected");
        self.propose_bootstrap(now);
    }

    /// Proposes a leader event for the audit trail.
    pub(crate) fn propose_leader_event(&mut self, now: Instant, change: &str) {
        let event = proto::LeaderEvent {
            member: self.settings.common.name.to_string(),
            term: self.node.term(),
            change: change.to_owned(),
        };
        self.propose_internal(now, command::Body::Leader(event));
    }

    /// Returns whether this member may answer requests from its state, which requires the leader
    /// lease.
    pub(crate) fn can_serve(&self, now: Instant) -> bool {
        self.leader.is_some() && self.node.lease_until().is_some_and(|until| now < until)
    }

    /// Proposes a command that no caller waits for, and returns whether it was accepted. If a
    /// command of a periodic check is refused, a later check proposes it again.
    pub(crate) fn propose_internal(&mut self, now: Instant, body: command::Body) -> bool {
        let proposal = Proposal {
            caller: None,
            on_commit: OnCommit::Reply,
            key: None,
        };
        match self.try_propose(now, body, proposal) {
            Ok(_) => true,
            Err(e) => {
                error!(self.log, "internal proposal refused"; "error" => %e);
                false
            }
        }
    }

    /// Proposes a command on behalf of a caller, and replies with a failure if it is refused.
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
                    self.fail_proposal(caller, &e);
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

    /// Replies with a failure to a request whose proposal was refused.
    pub(crate) fn fail_proposal(&mut self, caller: Caller, e: &ProposeError) {
        let code = match e {
            ProposeError::NotLeader(_) => Code::NotLeader,
            ProposeError::Transferring | ProposeError::Busy | ProposeError::ChangeInProgress => {
                Code::Unavailable
            }
            ProposeError::TooLarge(_) | ProposeError::InvalidChange(_) => Code::Invalid,
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

    /// Starts to encode a snapshot once enough bytes were applied since the last one.
    fn start_snapshot(&mut self) {
        if self.applied_bytes < self.snapshot_threshold || self.encode_task.is_some() {
            return;
        }
        self.applied_bytes = 0;
        // A random threshold keeps members from taking snapshots at the same time: their syncs
        // would then coincide and delay claims.
        let factor = rand::rng().random_range(1.0..1.5);
        self.snapshot_threshold = (self.settings.snapshot_bytes as f64 * factor) as u64;
        let (index, snapshot) = (self.state.applied(), self.state.snapshot());
        let encode = move || (index, Bytes::from(snapshot.encode()));
        self.encode_task = Some(tokio::task::spawn_blocking(encode));
    }

    /// Waits for the next write or encoding to complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a write failed. The member must not continue then.
    pub(crate) async fn background(&mut self) -> Result<Background, Error> {
        tokio::select! {
            written = self.disk.wait() => Ok(Background::Written(written?)),
            encoded = wait_encoded(&mut self.encode_task) => {
                let (index, data) = encoded?;
                Ok(Background::Encoded(index, data))
            }
        }
    }

    /// Compacts the log up to an encoded snapshot, and queues the snapshot to be written.
    pub(crate) fn save_snapshot(&mut self, index: u64, data: Bytes) {
        let bytes = data.len();
        if let Some(snapshot) = self.node.compact(index, data) {
            info!(self.log, "snapshot taken"; "index" => index, "bytes" => bytes);
            metrics::counter!("control_snapshots").increment(1);
            self.disk.save_snapshot(snapshot);
        }
    }
}

/// Waits for the running encoding. Never completes if there is none.
async fn wait_encoded(task: &mut Option<EncodeTask>) -> Result<(u64, Bytes), Error> {
    let Some(handle) = task else {
        return std::future::pending().await;
    };
    let encoded = handle.await;
    *task = None;
    encoded.map_err(Error::new)
}

//! Snapshots: taking one, and sending one in chunks to a member that is far behind.

use bytes::Bytes;
use bytes::BytesMut;
use sassafras_util::Name;
use sassafras_wire::proto::SnapshotReply;
use sassafras_wire::proto::SnapshotRequest;
use sassafras_wire::proto::raft::Body;

use crate::Members;
use crate::Node;
use crate::Snapshot;
use crate::node::Role;
use crate::progress::Mode;
use crate::progress::Progress;

/// Heartbeats after which an unanswered chunk is sent again.
const CHUNK_TIMEOUT: u32 = 4;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct Incoming {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Node {
    /// Takes the encoded state at the applied entry `index` as a snapshot, and drops entries
    /// from memory. The user stores the result.
    ///
    /// Returns `None` when `index` is not applied or a later snapshot exists.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let newest = self.log.snapshot().map_or(0, |s| s.index);
        if index > self.commit || index <= newest {
            return None;
        }
        let snapshot = Snapshot {
            index,
            term: self.log.term(index)?,
            members: self.log.members_at(index)?.clone(),
            data,
        };
        let (entries, bytes) = (self.config.retained, self.config.retained_bytes);
        let until = self.log.tail_start(index, entries, bytes);
        self.log.compact(snapshot.clone(), until);
        Some(snapshot)
    }

    pub(crate) fn start_snapshot(&self, progress: &mut Progress) {
        if let Some(snapshot) = self.log.snapshot() {
            progress.start_snapshot(snapshot.clone());
        }
    }

    /// Sends the next chunk, or the last one again when it was not answered for long.
    pub(crate) fn send_chunk(&mut self, name: &Name, progress: &mut Progress) {
        let (now, probe) = (self.now, self.probe());
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        let timeout = self.config.heartbeat * CHUNK_TIMEOUT;
        if sent.is_some_and(|at| now < at + timeout) {
            return;
        }
        *sent = Some(now);
        let total = snapshot.data.len();
        let end = (*offset + self.config.chunk_bytes).min(total);
        let request = SnapshotRequest {
            last_index: snapshot.index,
            last_term: snapshot.term,
            offset: *offset as u64,
            total: total as u64,
            chunk: snapshot.data.slice(*offset..end),
            members: Some((&snapshot.members).into()),
            probe,
        };
        self.send(name, Body::SnapshotRequest(request));
    }

    pub(crate) fn on_snapshot_reply(&mut self, from: &Name, reply: &SnapshotReply) {
        let (sent_at, now) = (self.probe_time(reply.probe), self.now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return;
        };
        progress.answered(sent_at, now);
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        if reply.last_index != snapshot.index {
            return;
        }
        if reply.done {
            let index = snapshot.index;
            progress.probe();
            progress.matched(index, 0);
        } else if reply.offset != *offset as u64 {
            *offset = (reply.offset as usize).min(snapshot.data.len());
            *sent = None;
        }
    }

    pub(crate) fn on_snapshot(&mut self, from: &Name, request: &SnapshotRequest) {
        let fits = request.total <= self.config.snapshot_bytes;
        let members = request.members.clone().map(Members::try_from);
        let Some(Ok(members)) = members.filter(|_| fits) else {
            return;
        };
        if !self.follow(from) {
            return;
        }
        let (index, term, probe) = (request.last_index, request.last_term, request.probe);
        let known = index <= self.commit || self.log.term(index) == Some(term);
        let (offset, done) = if known {
            self.incoming = None;
            self.commit = self.commit.max(index);
            (request.total, true)
        } else {
            self.collect(request, members)
        };
        if done {
            self.matched = self.matched.max(index);
            self.reply = self.reply.max(Some(probe));
        }
        let reply = SnapshotReply {
            last_index: index,
            offset,
            done,
            probe,
        };
        self.send(from, Body::SnapshotReply(reply));
    }

    /// Adds a chunk, and installs the snapshot when it is whole. Returns the number of bytes
    /// received and whether that is all.
    fn collect(&mut self, request: &SnapshotRequest, members: Members) -> (u64, bool) {
        let (index, term) = (request.last_index, request.last_term);
        let other = |i: &Incoming| i.index != index || i.term != term;
        if self.incoming.as_ref().is_none_or(other) {
            let data = BytesMut::new();
            self.incoming = Some(Incoming { index, term, data });
        }
        let Some(incoming) = &mut self.incoming else {
            return (0, false);
        };
        let room = request.total.saturating_sub(incoming.data.len() as u64);
        if request.offset == incoming.data.len() as u64 && request.chunk.len() as u64 <= room {
            incoming.data.extend_from_slice(&request.chunk);
        }
        let received = incoming.data.len() as u64;
        let done = received == request.total;
        if done {
            let data = std::mem::take(&mut incoming.data).freeze();
            self.incoming = None;
            self.replace_log(Snapshot {
                index,
                term,
                members,
                data,
            });
        }
        (received, done)
    }
}

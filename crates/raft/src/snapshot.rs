//! Snapshots: log compaction, and chunked transfer to members that lag far behind.

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

/// Number of heartbeat intervals after which an unacknowledged chunk is sent again.
const CHUNK_TIMEOUT_HEARTBEATS: u32 = 4;

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct PartialSnapshot {
    index: u64,
    term: u64,
    data: BytesMut,
}

impl Node {
    /// Compacts the log in memory. `data` is the encoded state after the entry at `index` was
    /// applied. The caller must store the returned snapshot.
    ///
    /// Returns `None` if `index` is not committed, or not later than the latest snapshot.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<Snapshot> {
        let latest = self.log.snapshot().map_or(0, |s| s.index);
        if index > self.commit || index <= latest {
            return None;
        }
        let snapshot = Snapshot {
            index,
            term: self.log.term(index)?,
            members: self.log.members_at(index)?.clone(),
            data,
        };
        let (entries, bytes) = (self.config.retained_entries, self.config.retained_bytes);
        let until = self.log.retention_start(index, entries, bytes);
        self.log.compact(snapshot.clone(), until);
        Some(snapshot)
    }

    pub(crate) fn start_snapshot(&self, progress: &mut Progress) {
        if let Some(snapshot) = self.log.snapshot() {
            progress.start_snapshot(snapshot.clone());
        }
    }

    /// Sends the next chunk, or sends the last one again if it was not acknowledged in time.
    pub(crate) fn send_chunk(&mut self, name: &Name, progress: &mut Progress) {
        let (now, probe) = (self.now, self.probe_number());
        let Mode::Snapshot {
            snapshot,
            offset,
            sent,
        } = &mut progress.mode
        else {
            return;
        };
        let timeout = self.config.heartbeat_interval * CHUNK_TIMEOUT_HEARTBEATS;
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
        progress.record_reply(sent_at, now);
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
            progress.enter_probe();
            progress.record_match(index, 0);
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
        if !self.follow_leader(from) {
            return;
        }
        let (index, term, probe) = (request.last_index, request.last_term, request.probe);
        let known = index <= self.commit || self.log.term(index) == Some(term);
        let (offset, done) = if known {
            self.partial_snapshot = None;
            self.commit = self.commit.max(index);
            (request.total, true)
        } else {
            self.add_chunk(request, members)
        };
        if done {
            self.matched = self.matched.max(index);
            self.pending_reply = self.pending_reply.max(Some(probe));
        }
        let reply = SnapshotReply {
            last_index: index,
            offset,
            done,
            probe,
        };
        self.send(from, Body::SnapshotReply(reply));
    }

    /// Adds a chunk, and installs the snapshot if it is complete. Returns the number of bytes
    /// received so far and whether the snapshot is complete.
    fn add_chunk(&mut self, request: &SnapshotRequest, members: Members) -> (u64, bool) {
        let (index, term) = (request.last_index, request.last_term);
        let differs = |p: &PartialSnapshot| p.index != index || p.term != term;
        if self.partial_snapshot.as_ref().is_none_or(differs) {
            let data = BytesMut::new();
            self.partial_snapshot = Some(PartialSnapshot { index, term, data });
        }
        let Some(partial) = &mut self.partial_snapshot else {
            return (0, false);
        };
        let room = request.total.saturating_sub(partial.data.len() as u64);
        if request.offset == partial.data.len() as u64 && request.chunk.len() as u64 <= room {
            partial.data.extend_from_slice(&request.chunk);
        }
        let received = partial.data.len() as u64;
        let done = received == request.total;
        if done {
            let data = std::mem::take(&mut partial.data).freeze();
            self.partial_snapshot = None;
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

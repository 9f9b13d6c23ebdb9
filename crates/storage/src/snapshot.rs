//! Snapshot files.
//!
//! A file is `magic [8] | group u32 | index u64 | term u64 | length of the members u32 |
//! length of the data u64 | members | data | CRC-32 u32`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use prost::Message as _;
use sassafras_raft::Members;
use sassafras_raft::Snapshot;
use sassafras_util::Error;
use sassafras_wire::proto::MemberSet;

use crate::disk::Disk;
use crate::segment;

const MAGIC: &[u8; 8] = b"SASSSNP1";
const HEADER_BYTES: usize = 40;
const CRC_BYTES: usize = 4;

fn prefix(group: u32) -> String {
    format!("snapshot-{group:08x}-")
}

fn path(folder: &Path, group: u32, index: u64) -> PathBuf {
    folder.join(format!("{}{index:016x}.snap", prefix(group)))
}

/// Writes a snapshot file.
pub(crate) fn save(
    disk: &mut Disk,
    folder: &Path,
    group: u32,
    snapshot: &Snapshot,
) -> Result<(), Error> {
    let members = MemberSet::from(&snapshot.members).encode_to_vec();
    let mut head = Vec::with_capacity(HEADER_BYTES + members.len());
    head.extend_from_slice(MAGIC);
    head.extend_from_slice(&group.to_le_bytes());
    head.extend_from_slice(&snapshot.index.to_le_bytes());
    head.extend_from_slice(&snapshot.term.to_le_bytes());
    head.extend_from_slice(&(members.len() as u32).to_le_bytes());
    head.extend_from_slice(&(snapshot.data.len() as u64).to_le_bytes());
    head.extend_from_slice(&members);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head);
    hasher.update(&snapshot.data);
    let crc = hasher.finalize().to_le_bytes();
    let target = path(folder, group, snapshot.index);
    disk.replace(&target, &[&head, &snapshot.data, &crc])
}

/// Removes all snapshot files but one.
pub(crate) fn keep_only(
    disk: &mut Disk,
    folder: &Path,
    group: u32,
    kept: Option<u64>,
) -> Result<(), Error> {
    for index in list(folder, group)? {
        if Some(index) != kept {
            disk.remove(&path(folder, group, index))?;
        }
    }
    Ok(())
}

/// Returns the indexes of the snapshot files in ascending order.
pub(crate) fn list(folder: &Path, group: u32) -> Result<Vec<u64>, Error> {
    segment::numbered(folder, &prefix(group), ".snap")
}

/// Reads a snapshot file.
///
/// # Errors
/// Fails when the file is damaged.
pub(crate) fn load(folder: &Path, group: u32, index: u64) -> Result<Snapshot, Error> {
    let path = path(folder, group, index);
    let data = fs::read(&path).map_err(|e| Error::from(e).context(path.display()))?;
    let snapshot = decode(&data.into(), group).filter(|s| s.index == index);
    snapshot.ok_or_else(|| {
        Error::new(format_args!(
            "{} is damaged; replace this member",
            path.display()
        ))
    })
}

fn decode(data: &Bytes, group: u32) -> Option<Snapshot> {
    let end = data.len().checked_sub(CRC_BYTES)?;
    let crc = u32::from_le_bytes(data[end..].try_into().ok()?);
    let body = data.slice(..end);
    if body.len() < HEADER_BYTES || !body.starts_with(MAGIC) || crc32fast::hash(&body) != crc {
        return None;
    }
    let short = |at: usize| body[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    let long = |at: usize| body[at..at + 8].try_into().map(u64::from_le_bytes).ok();
    let start = HEADER_BYTES + short(28)? as usize;
    if short(8)? != group || start as u64 + long(32)? != end as u64 {
        return None;
    }
    let members = MemberSet::decode(body.slice(HEADER_BYTES..start)).ok()?;
    Some(Snapshot {
        index: long(12)?,
        term: long(20)?,
        members: Members::try_from(members).ok()?,
        data: body.slice(start..),
    })
}

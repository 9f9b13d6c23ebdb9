//! Snapshot files.
//!
//! The format is `magic [8] | group u32 | index u64 | term u64 | length of the members u32 |
//! length of the data u64 | members | data | CRC-32 u32`, with little-endian integers.

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
use crate::disk::Progress;
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
) -> Result<Progress, Error> {
    let members = MemberSet::from(&snapshot.members).encode_to_vec();
    let mut header = Vec::with_capacity(HEADER_BYTES + members.len());
    header.extend_from_slice(MAGIC);
    header.extend_from_slice(&group.to_le_bytes());
    header.extend_from_slice(&snapshot.index.to_le_bytes());
    header.extend_from_slice(&snapshot.term.to_le_bytes());
    header.extend_from_slice(&(members.len() as u32).to_le_bytes());
    header.extend_from_slice(&(snapshot.data.len() as u64).to_le_bytes());
    header.extend_from_slice(&members);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header);
    hasher.update(&snapshot.data);
    let crc = hasher.finalize().to_le_bytes();
    let target = path(folder, group, snapshot.index);
    disk.write_atomically(&target, &[&header, &snapshot.data, &crc])
}

/// Removes all snapshot files of the group except the one at index `kept`.
pub(crate) fn remove_others(
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

/// Returns the indexes of the snapshot files of the group in ascending order.
pub(crate) fn list(folder: &Path, group: u32) -> Result<Vec<u64>, Error> {
    segment::list_numbers(folder, &prefix(group), ".snap")
}

/// Reads a snapshot file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is damaged.
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
    let read_u32 = |at: usize| body[at..at + 4].try_into().map(u32::from_le_bytes).ok();
    let read_u64 = |at: usize| body[at..at + 8].try_into().map(u64::from_le_bytes).ok();
    let data_start = HEADER_BYTES + read_u32(28)? as usize;
    if read_u32(8)? != group || data_start as u64 + read_u64(32)? != end as u64 {
        return None;
    }
    let members = MemberSet::decode(body.slice(HEADER_BYTES..data_start)).ok()?;
    Some(Snapshot {
        index: read_u64(12)?,
        term: read_u64(20)?,
        members: Members::try_from(members).ok()?,
        data: body.slice(data_start..),
    })
}

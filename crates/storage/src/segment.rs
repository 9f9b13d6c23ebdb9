//! Segments: files of the write-ahead log.
//!
//! A segment starts with `magic [8] | group u32 | number u64 | first batch u64 | CRC-32 u32`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sassafras_util::Error;

use crate::record;
use crate::record::Decoded;
use crate::record::Record;

const MAGIC: &[u8; 8] = b"SASSWAL1";

/// Bytes of a segment's header.
pub(crate) const HEADER_BYTES: usize = 32;

/// Unit in which a disk writes; a write that was cut off leaves whole units of zeros.
const SECTOR_BYTES: usize = 512;

/// Returns the path of a segment.
pub(crate) fn path(folder: &Path, group: u32, number: u64) -> PathBuf {
    folder.join(format!("{}{number:016x}.log", prefix(group)))
}

fn prefix(group: u32) -> String {
    format!("wal-{group:08x}-")
}

/// Returns the numbers of a group's segments in ascending order.
pub(crate) fn list(folder: &Path, group: u32) -> Result<Vec<u64>, Error> {
    numbered(folder, &prefix(group), ".log")
}

/// Returns the numbers of the files between a prefix and a suffix, in ascending order.
pub(crate) fn numbered(folder: &Path, prefix: &str, suffix: &str) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for file in fs::read_dir(folder)? {
        let name = file?.file_name();
        let middle = name.to_str().and_then(|n| n.strip_prefix(prefix));
        let middle = middle.and_then(|n| n.strip_suffix(suffix));
        numbers.extend(middle.and_then(|n| u64::from_str_radix(n, 16).ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Encodes a segment's header.
pub(crate) fn header(group: u32, number: u64, first_batch: u64) -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..8].copy_from_slice(MAGIC);
    bytes[8..12].copy_from_slice(&group.to_le_bytes());
    bytes[12..20].copy_from_slice(&number.to_le_bytes());
    bytes[20..28].copy_from_slice(&first_batch.to_le_bytes());
    let crc = crc32fast::hash(&bytes[..28]);
    bytes[28..].copy_from_slice(&crc.to_le_bytes());
    bytes
}

/// The intact content of a segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) records: Vec<Record>,
    /// Number of its first batch.
    pub(crate) first_batch: u64,
    /// Number of the batch that follows.
    pub(crate) next_batch: u64,
    /// Bytes up to the end of the last whole batch.
    pub(crate) size: u64,
    /// Highest index of an entry.
    pub(crate) last_index: u64,
}

/// Reads a segment. `None` means that its creation was cut off; it holds nothing.
///
/// `tail` is set for the last segment, whose end may be a write that was cut off. Such a
/// batch is left out of the result.
///
/// # Errors
/// Fails when the file cannot be read or is damaged before the tail.
pub(crate) fn read(
    path: &Path,
    group: u32,
    number: u64,
    tail: bool,
) -> Result<Option<Segment>, Error> {
    let data = fs::read(path).map_err(|e| Error::from(e).context(path.display()))?;
    let Some(first_batch) = read_header(&data, group, number) else {
        let unwritten = data.len() < HEADER_BYTES || data.iter().all(|b| *b == 0);
        if tail && unwritten {
            return Ok(None);
        }
        return Err(damaged(path, 0, "the header is not valid"));
    };
    let segment = scan(&data, first_batch, path, tail)?;
    // Without its first batch a segment lacks the term and vote that let older ones go.
    let whole = !segment.records.is_empty();
    Ok(whole.then_some(segment))
}

fn read_header(data: &[u8], group: u32, number: u64) -> Option<u64> {
    let bytes = data.get(..HEADER_BYTES)?;
    let first_batch = u64::from_le_bytes(bytes[20..28].try_into().ok()?);
    (bytes == header(group, number, first_batch)).then_some(first_batch)
}

fn scan(data: &[u8], first_batch: u64, path: &Path, tail: bool) -> Result<Segment, Error> {
    let mut segment = Segment {
        records: Vec::new(),
        first_batch,
        next_batch: first_batch,
        size: HEADER_BYTES as u64,
        last_index: 0,
    };
    let mut at = HEADER_BYTES;
    let mut open = Vec::new();
    while at < data.len() {
        let Some(decoded) = record::decode(&data[at..]) else {
            if tail && is_cut_off(data, at, segment.next_batch) {
                return Ok(segment);
            }
            return Err(damaged(path, at, "a record is not intact"));
        };
        if decoded.batch != segment.next_batch {
            return Err(damaged(path, at, "a record is out of order"));
        }
        at += decoded.size;
        open.push(decoded.record);
        if decoded.last {
            segment.close_batch(&mut open, at);
        }
    }
    if !open.is_empty() && !tail {
        return Err(damaged(path, at, "the last batch is not whole"));
    }
    Ok(segment)
}

impl Segment {
    fn close_batch(&mut self, open: &mut Vec<Record>, end: usize) {
        for record in open.drain(..) {
            if let Record::Entry(entry) = &record {
                self.last_index = self.last_index.max(entry.index);
            }
            self.records.push(record);
        }
        self.next_batch += 1;
        self.size = end as u64;
    }
}

/// Returns whether the broken record at `at` is the trace of a write that was cut off.
///
/// Such a record runs past the end of the file or has a sector that was never written, and
/// no later batch follows it, because each batch is synced before the next is written.
/// Anything else is damage to data that may have been synced.
fn is_cut_off(data: &[u8], at: usize, batch: u64) -> bool {
    let rest = &data[at..];
    let size = record::claimed_size(rest).unwrap_or(record::HEADER_BYTES);
    let short = size > rest.len();
    let end = data.len().min(at + size);
    (short || has_unwritten_sector(data, at, end)) && !has_later_batch(rest, batch)
}

fn has_unwritten_sector(data: &[u8], start: usize, end: usize) -> bool {
    let mut at = start;
    while at < end {
        let next = end.min((at / SECTOR_BYTES + 1) * SECTOR_BYTES);
        if data[at..next].iter().all(|b| *b == 0) {
            return true;
        }
        at = next;
    }
    false
}

fn has_later_batch(rest: &[u8], batch: u64) -> bool {
    let later = |d: Decoded| d.batch > batch;
    (1..rest.len()).any(|at| record::decode(&rest[at..]).is_some_and(later))
}

fn damaged(path: &Path, at: usize, what: &str) -> Error {
    Error::new(format_args!(
        "{} is damaged at byte {at}: {what}; replace this member",
        path.display()
    ))
}

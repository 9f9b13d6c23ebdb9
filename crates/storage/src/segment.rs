//! Segments, the files of the write-ahead log.
//!
//! The header of a segment is `magic [8] | group u32 | number u64 | first batch u64 |
//! CRC-32 u32`, with little-endian integers. Records follow it.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use sassafras_util::Error;

use crate::record;
use crate::record::DecodedRecord;
use crate::record::Record;

const MAGIC: &[u8; 8] = b"SASSWAL1";

/// Size of the header of a segment.
pub(crate) const HEADER_BYTES: usize = 32;

/// Unit in which a disk writes. After a torn write, the sectors not written read as zeros.
const SECTOR_BYTES: usize = 512;

/// Returns the path of a segment.
pub(crate) fn path(folder: &Path, group: u32, number: u64) -> PathBuf {
    folder.join(format!("{}{number:016x}.log", prefix(group)))
}

fn prefix(group: u32) -> String {
    format!("wal-{group:08x}-")
}

/// Returns the numbers of the segments of a group in ascending order.
pub(crate) fn list(folder: &Path, group: u32) -> Result<Vec<u64>, Error> {
    list_numbers(folder, &prefix(group), ".log")
}

/// Returns the hexadecimal numbers in the names of the files with the given prefix and suffix, in
/// ascending order.
pub(crate) fn list_numbers(folder: &Path, prefix: &str, suffix: &str) -> Result<Vec<u64>, Error> {
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

/// Encodes the header of a segment.
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

/// The records of the complete batches of a segment.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) records: Vec<Record>,
    /// Number of the first batch.
    pub(crate) first_batch: u64,
    /// Number of the batch after the last one.
    pub(crate) next_batch: u64,
    /// Size up to the end of the last complete batch.
    pub(crate) size: u64,
    /// Highest index of an entry, or 0 if there is none.
    pub(crate) last_index: u64,
}

/// Reads a segment. Returns `None` if its creation was interrupted, so that it has no complete
/// batch.
///
/// `tail` is set for the last segment, which may end with a torn write. The result does not
/// include the batch of such a write.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is damaged other than by a torn write.
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
        return Err(damage_error(path, 0, "invalid segment header"));
    };
    let segment = read_records(&data, first_batch, path, tail)?;
    // The first batch holds the term and vote. A segment without it does not replace older ones.
    let complete = !segment.records.is_empty();
    Ok(complete.then_some(segment))
}

fn read_header(data: &[u8], group: u32, number: u64) -> Option<u64> {
    let bytes = data.get(..HEADER_BYTES)?;
    let first_batch = u64::from_le_bytes(bytes[20..28].try_into().ok()?);
    (bytes == header(group, number, first_batch)).then_some(first_batch)
}

fn read_records(data: &[u8], first_batch: u64, path: &Path, tail: bool) -> Result<Segment, Error> {
    let mut segment = Segment {
        records: Vec::new(),
        first_batch,
        next_batch: first_batch,
        size: HEADER_BYTES as u64,
        last_index: 0,
    };
    let mut at = HEADER_BYTES;
    let mut pending = Vec::new();
    while at < data.len() {
        let Some(decoded) = record::decode(&data[at..]) else {
            if tail && is_torn_write(data, at, segment.next_batch) {
                return Ok(segment);
            }
            return Err(damage_error(path, at, "invalid record"));
        };
        if decoded.batch != segment.next_batch {
            return Err(damage_error(path, at, "unexpected batch number"));
        }
        at += decoded.size;
        pending.push(decoded.record);
        if decoded.last {
            segment.finish_batch(&mut pending, at);
        }
    }
    if !pending.is_empty() && !tail {
        return Err(damage_error(path, at, "incomplete last batch"));
    }
    Ok(segment)
}

impl Segment {
    fn finish_batch(&mut self, pending: &mut Vec<Record>, end: usize) {
        for record in pending.drain(..) {
            if let Record::Entry(entry) = &record {
                self.last_index = self.last_index.max(entry.index);
            }
            self.records.push(record);
        }
        self.next_batch += 1;
        self.size = end as u64;
    }
}

/// Returns whether the invalid record at `at` is the result of a torn write.
///
/// Such a record extends past the end of the file or has a sector that was never written, and no
/// later batch follows it, because each batch is synced before the next one is written. Any other
/// invalid record means that data which may have been synced is damaged.
fn is_torn_write(data: &[u8], at: usize, batch: u64) -> bool {
    let rest = &data[at..];
    let size = record::record_size(rest).unwrap_or(record::HEADER_BYTES);
    let truncated = size > rest.len();
    let end = data.len().min(at + size);
    (truncated || has_unwritten_sector(data, at, end)) && !has_later_batch(rest, batch)
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
    let later = |d: DecodedRecord| d.batch > batch;
    (1..rest.len()).any(|at| record::decode(&rest[at..]).is_some_and(later))
}

fn damage_error(path: &Path, at: usize, what: &str) -> Error {
    Error::new(format_args!(
        "{} is damaged at byte {at}: {what}; replace this member",
        path.display()
    ))
}

//! Records of the write-ahead log.
//!
//! The format is `length u32 | batch u64 | kind u8 | index u64 | CRC-32 of the payload u32 |
//! CRC-32 of the header u32 | payload`, with little-endian integers. The header has a separate
//! CRC, so that a damaged length is not mistaken for a record that extends past the end of the
//! file. All records of one write have the same batch number, and a flag marks the last of them,
//! so that a batch is recovered completely or not at all.

use prost::Message as _;
use sassafras_raft::HardState;
use sassafras_wire::proto::LogEntry;

/// Size of a record before its payload.
pub(crate) const HEADER_BYTES: usize = 29;

const KIND_OFFSET: usize = 12;
const INDEX_OFFSET: usize = 13;
const PAYLOAD_CRC_OFFSET: usize = 21;
const HEADER_CRC_OFFSET: usize = 25;

const KIND_ENTRY: u8 = 1;
const KIND_HARD_STATE: u8 = 2;
const KIND_TRUNCATE: u8 = 3;
const KIND_RESET: u8 = 4;
/// Flag in the kind of the last record of a batch.
const LAST_IN_BATCH: u8 = 0x80;

/// A change that is recorded in the log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    Entry(LogEntry),
    HardState(HardState),
    /// Removes the entries from this index on.
    Truncate(u64),
    /// Removes all entries. The log continues after the snapshot with this index and term.
    Reset(u64, u64),
}

/// A decoded record with its batch and size.
#[derive(Debug)]
pub(crate) struct DecodedRecord {
    pub(crate) record: Record,
    pub(crate) batch: u64,
    /// Whether it is the last record of its batch.
    pub(crate) last: bool,
    /// Size of the record including its header.
    pub(crate) size: usize,
}

/// Encodes the records of one batch.
#[derive(Debug, Default)]
pub(crate) struct BatchEncoder {
    data: Vec<u8>,
    /// Offset of the record that was added last.
    start: usize,
}

impl BatchEncoder {
    pub(crate) fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    pub(crate) fn add(&mut self, batch: u64, record: &Record) {
        let (kind, index) = match record {
            Record::Entry(entry) => (KIND_ENTRY, entry.index),
            Record::HardState(_) => (KIND_HARD_STATE, 0),
            Record::Truncate(index) => (KIND_TRUNCATE, *index),
            Record::Reset(index, _) => (KIND_RESET, *index),
        };
        self.start = self.data.len();
        self.data.extend_from_slice(&[0; 4]);
        self.data.extend_from_slice(&batch.to_le_bytes());
        self.data.push(kind);
        self.data.extend_from_slice(&index.to_le_bytes());
        self.data.extend_from_slice(&[0; 8]);
        match record {
            Record::Entry(entry) => self.data.extend_from_slice(&entry.encode_to_vec()),
            Record::HardState(state) => {
                self.data.extend_from_slice(&state.term.to_le_bytes());
                self.data.extend_from_slice(&state.vote.to_le_bytes());
            }
            Record::Truncate(_) => {}
            Record::Reset(_, term) => self.data.extend_from_slice(&term.to_le_bytes()),
        }
        self.seal();
    }

    /// Sets the length and CRCs of the record that was added last.
    fn seal(&mut self) {
        let record = &mut self.data[self.start..];
        let length = (record.len() - HEADER_BYTES) as u32;
        record[..4].copy_from_slice(&length.to_le_bytes());
        let crc = crc32fast::hash(&record[HEADER_BYTES..]);
        record[PAYLOAD_CRC_OFFSET..HEADER_CRC_OFFSET].copy_from_slice(&crc.to_le_bytes());
        let crc = crc32fast::hash(&record[..HEADER_CRC_OFFSET]);
        record[HEADER_CRC_OFFSET..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    }

    /// Flags the last record and returns the encoded batch.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        if !self.data.is_empty() {
            self.data[self.start + KIND_OFFSET] |= LAST_IN_BATCH;
            self.seal();
        }
        self.data
    }
}

/// Decodes a little-endian integer of at most 8 bytes.
fn read_uint(bytes: &[u8]) -> u64 {
    let mut value = [0; 8];
    value[..bytes.len()].copy_from_slice(bytes);
    u64::from_le_bytes(value)
}

/// Returns the size that the header of the record at the start of `data` gives, or `None` if the
/// header is not valid.
pub(crate) fn record_size(data: &[u8]) -> Option<usize> {
    let header = data.get(..HEADER_BYTES)?;
    let crc = u64::from(crc32fast::hash(&header[..HEADER_CRC_OFFSET]));
    let valid = crc == read_uint(&header[HEADER_CRC_OFFSET..]);
    valid.then(|| HEADER_BYTES + read_uint(&header[..4]) as usize)
}

/// Decodes the record at the start of `data`. Returns `None` if it is not valid.
pub(crate) fn decode(data: &[u8]) -> Option<DecodedRecord> {
    let size = record_size(data)?;
    let bytes = data.get(..size)?;
    let (header, payload) = bytes.split_at(HEADER_BYTES);
    let crc = read_uint(&header[PAYLOAD_CRC_OFFSET..HEADER_CRC_OFFSET]);
    if u64::from(crc32fast::hash(payload)) != crc {
        return None;
    }
    let kind = header[KIND_OFFSET];
    let index = read_uint(&header[INDEX_OFFSET..PAYLOAD_CRC_OFFSET]);
    let record = match (kind & !LAST_IN_BATCH, payload.len()) {
        (KIND_ENTRY, _) => {
            let entry = LogEntry::decode(payload).ok()?;
            Record::Entry(entry).check_index(index)?
        }
        (KIND_HARD_STATE, 16) => Record::HardState(HardState {
            term: read_uint(&payload[..8]),
            vote: read_uint(&payload[8..]),
        }),
        (KIND_TRUNCATE, 0) => Record::Truncate(index),
        (KIND_RESET, 8) => Record::Reset(index, read_uint(payload)),
        _ => return None,
    };
    Some(DecodedRecord {
        record,
        batch: read_uint(&header[4..KIND_OFFSET]),
        last: kind & LAST_IN_BATCH != 0,
        size,
    })
}

impl Record {
    /// Returns `None` if the record is an entry with an index other than `index`.
    fn check_index(self, index: u64) -> Option<Self> {
        let valid = !matches!(&self, Self::Entry(entry) if entry.index != index);
        valid.then_some(self)
    }
}

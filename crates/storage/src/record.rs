//! Records of the write-ahead log.
//!
//! A record is `length u32 | batch u64 | kind u8 | index u64 | CRC-32 of the payload u32 |
//! CRC-32 of the header u32 | payload`, in little-endian order. The header has a CRC of its
//! own, so that a damaged length is not taken for a record that runs past the end of the
//! file. All records of one write carry the same batch number and the last of them is
//! marked, so that a batch is read back whole or not at all.

use prost::Message as _;
use sassafras_raft::HardState;
use sassafras_wire::proto::LogEntry;

/// Bytes of a record before its payload.
pub(crate) const HEADER_BYTES: usize = 29;

const KIND_AT: usize = 12;
const INDEX_AT: usize = 13;
const PAYLOAD_CRC_AT: usize = 21;
const HEADER_CRC_AT: usize = 25;

const ENTRY: u8 = 1;
const HARD_STATE: u8 = 2;
const TRUNCATE: u8 = 3;
const RESET: u8 = 4;
/// Set in the kind of the last record of a batch.
const LAST: u8 = 0x80;

/// What a record says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Record {
    Entry(LogEntry),
    HardState(HardState),
    /// Entries from this index on are removed.
    Truncate(u64),
    /// The log starts anew after the snapshot with this index and term.
    Reset(u64, u64),
}

/// A record and its place in the log.
#[derive(Debug)]
pub(crate) struct Decoded {
    pub(crate) record: Record,
    pub(crate) batch: u64,
    pub(crate) last: bool,
    /// Bytes of the whole record.
    pub(crate) size: usize,
}

/// Collects the records of one batch.
#[derive(Debug, Default)]
pub(crate) struct Encoder {
    data: Vec<u8>,
    /// Start of the record added last.
    start: usize,
}

impl Encoder {
    pub(crate) fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    pub(crate) fn add(&mut self, batch: u64, record: &Record) {
        let (kind, index) = match record {
            Record::Entry(entry) => (ENTRY, entry.index),
            Record::HardState(_) => (HARD_STATE, 0),
            Record::Truncate(index) => (TRUNCATE, *index),
            Record::Reset(index, _) => (RESET, *index),
        };
        self.start = self.data.len();
        self.data.extend_from_slice(&[0; 4]);
        self.data.extend_from_slice(&batch.to_le_bytes());
        self.data.push(kind);
        self.data.extend_from_slice(&index.to_le_bytes());
        self.data.extend_from_slice(&[0; 8]);
        match record {
            Record::Entry(entry) => self.data.extend_from_slice(&entry.encode_to_vec()),
            Record::HardState(hard) => {
                self.data.extend_from_slice(&hard.term.to_le_bytes());
                self.data.extend_from_slice(&hard.vote.to_le_bytes());
            }
            Record::Truncate(_) => {}
            Record::Reset(_, term) => self.data.extend_from_slice(&term.to_le_bytes()),
        }
        self.seal();
    }

    /// Writes the length and CRCs of the record added last.
    fn seal(&mut self) {
        let record = &mut self.data[self.start..];
        let length = (record.len() - HEADER_BYTES) as u32;
        record[..4].copy_from_slice(&length.to_le_bytes());
        let crc = crc32fast::hash(&record[HEADER_BYTES..]);
        record[PAYLOAD_CRC_AT..HEADER_CRC_AT].copy_from_slice(&crc.to_le_bytes());
        let crc = crc32fast::hash(&record[..HEADER_CRC_AT]);
        record[HEADER_CRC_AT..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    }

    /// Marks the last record and returns the bytes of the batch.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        if !self.data.is_empty() {
            self.data[self.start + KIND_AT] |= LAST;
            self.seal();
        }
        self.data
    }
}

fn number(bytes: &[u8]) -> u64 {
    let mut value = [0; 8];
    value[..bytes.len()].copy_from_slice(bytes);
    u64::from_le_bytes(value)
}

/// Returns the bytes of the record at the start of `data`, when its header is intact.
pub(crate) fn claimed_size(data: &[u8]) -> Option<usize> {
    let header = data.get(..HEADER_BYTES)?;
    let crc = u64::from(crc32fast::hash(&header[..HEADER_CRC_AT]));
    let intact = crc == number(&header[HEADER_CRC_AT..]);
    intact.then(|| HEADER_BYTES + number(&header[..4]) as usize)
}

/// Reads the record at the start of `data`, or returns `None` when it is not intact.
pub(crate) fn decode(data: &[u8]) -> Option<Decoded> {
    let size = claimed_size(data)?;
    let bytes = data.get(..size)?;
    let (header, payload) = bytes.split_at(HEADER_BYTES);
    let crc = number(&header[PAYLOAD_CRC_AT..HEADER_CRC_AT]);
    if u64::from(crc32fast::hash(payload)) != crc {
        return None;
    }
    let kind = header[KIND_AT];
    let index = number(&header[INDEX_AT..PAYLOAD_CRC_AT]);
    let record = match (kind & !LAST, payload.len()) {
        (ENTRY, _) => {
            let entry = LogEntry::decode(payload).ok()?;
            Record::Entry(entry).valid_at(index)?
        }
        (HARD_STATE, 16) => Record::HardState(HardState {
            term: number(&payload[..8]),
            vote: number(&payload[8..]),
        }),
        (TRUNCATE, 0) => Record::Truncate(index),
        (RESET, 8) => Record::Reset(index, number(payload)),
        _ => return None,
    };
    Some(Decoded {
        record,
        batch: number(&header[4..KIND_AT]),
        last: kind & LAST != 0,
        size,
    })
}

impl Record {
    fn valid_at(self, index: u64) -> Option<Self> {
        let valid = !matches!(&self, Self::Entry(entry) if entry.index != index);
        valid.then_some(self)
    }
}

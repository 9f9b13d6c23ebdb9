//! Records of the write-ahead log.
//!
//! A record is `length u32 | CRC-32 u32 | batch u64 | kind u8 | index u64 | payload`, in
//! little-endian order. The CRC covers everything but itself. All records of one write carry
//! the same batch number and the last of them is marked, so that a batch is read back whole
//! or not at all.

use prost::Message as _;
use sassafras_raft::HardState;
use sassafras_wire::proto::LogEntry;

/// Bytes of a record before its payload.
pub(crate) const HEADER_BYTES: usize = 25;

/// Most bytes of a payload; a longer length is damage.
const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

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
        self.data.extend_from_slice(&[0; 8]);
        self.data.extend_from_slice(&batch.to_le_bytes());
        self.data.push(kind);
        self.data.extend_from_slice(&index.to_le_bytes());
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

    /// Writes the length and CRC of the record added last.
    fn seal(&mut self) {
        let record = &mut self.data[self.start..];
        let length = (record.len() - HEADER_BYTES) as u32;
        record[..4].copy_from_slice(&length.to_le_bytes());
        let crc = checksum(record);
        record[4..8].copy_from_slice(&crc.to_le_bytes());
    }

    /// Marks the last record and returns the bytes of the batch.
    pub(crate) fn finish(mut self) -> Vec<u8> {
        if !self.data.is_empty() {
            self.data[self.start + 16] |= LAST;
            self.seal();
        }
        self.data
    }
}

fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[..4]);
    hasher.update(&record[8..]);
    hasher.finalize()
}

fn number(bytes: &[u8]) -> u64 {
    let mut value = [0; 8];
    value[..bytes.len()].copy_from_slice(bytes);
    u64::from_le_bytes(value)
}

/// Returns the bytes that the record at the start of `data` says it has, when it is possible.
pub(crate) fn claimed_size(data: &[u8]) -> Option<usize> {
    let payload = number(data.get(..4)?) as usize;
    (payload <= MAX_PAYLOAD_BYTES).then_some(HEADER_BYTES + payload)
}

/// Reads the record at the start of `data`, or returns `None` when it is not intact.
pub(crate) fn decode(data: &[u8]) -> Option<Decoded> {
    let size = claimed_size(data)?;
    let bytes = data.get(..size)?;
    if u64::from(checksum(bytes)) != number(&bytes[4..8]) {
        return None;
    }
    let kind = bytes[16];
    let (index, payload) = (number(&bytes[17..25]), &bytes[HEADER_BYTES..]);
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
        batch: number(&bytes[8..16]),
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

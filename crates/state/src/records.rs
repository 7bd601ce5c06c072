//! Encoding of log and snapshot files: records, and frames with checksums around them.
//!
//! A frame holds one group of records, which are written and become durable together:
//! marker (4 bytes), length of the payload (4), sequence number (8), CRC-32 of the payload (4), CRC-32 of
//! these 20 bytes (4), payload, end marker (1). Integers are little-endian. Records are encoded with
//! `postcard`.

use crate::constants::*;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One put or delete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key that is put or deleted.
    pub key: Arc<str>,
    /// The value as JSON text; `None` deletes the key.
    pub value: Option<Arc<str>>,
    /// The lease that the key is attached to; 0 if none.
    pub lease: u64,
}

/// A change of the keyspace. Records are idempotent: applying one twice, or to a state that includes a part of it,
/// gives the same result. The conditions of a transaction are checked before its record is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Puts and deletes of one transaction, under one revision.
    Changed { revision: u64, writes: Vec<Write> },
    /// A lease was granted.
    Granted { lease: u64, ttl_ms: u64 },
    /// A lease expired or was revoked. Its keys are deleted by the `Changed` record before.
    Ended { lease: u64 },
}

/// A key and its value in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRow {
    pub key: Arc<str>,
    /// The value as JSON text.
    pub value: Arc<str>,
    /// Revision of the last change.
    pub revision: u64,
    /// The lease that the key is attached to; 0 if none.
    pub lease: u64,
}

/// The last part of a snapshot. A snapshot without it is incomplete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotFooter {
    /// Number of rows in the snapshot.
    pub row_count: u64,
    /// Recovery applies the frames of the log from this number on to the snapshot.
    pub first_group: u64,
    /// Recovery needs the log up to this frame: rows were copied while the keyspace changed, so they may include
    /// changes up to it.
    pub last_group: u64,
    /// Revision of the keyspace once all rows were copied.
    pub revision: u64,
    /// Highest lease id granted by then.
    pub last_lease: u64,
    /// Lease ids with their times to live in milliseconds.
    pub leases: Vec<(u64, u64)>,
}

/// Payload of a frame in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SnapshotPart {
    /// Rows, in key order.
    Rows(Vec<SnapshotRow>),
    /// The last part.
    Footer(SnapshotFooter),
}

const FRAME_MARKER: [u8; 4] = [0xFA, b'O', b'A', b'T'];
/// Not zero, so that an unwritten last sector is detected.
const END_MARKER: u8 = 0xA5;
/// Size of the header before a frame's payload.
pub const FRAME_HEADER_BYTES: usize = 24;

/// First bytes of a log file and of a snapshot, followed by the format version.
const LOG_MAGIC: [u8; 6] = *b"oatlog";
const SNAPSHOT_MAGIC: [u8; 6] = *b"oatsnp";
/// Size of a file's header: magic bytes and format version.
pub const FILE_HEADER_BYTES: usize = 8;

/// Type of a file in the data directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// A file of the write-ahead log.
    Log,
    /// A snapshot.
    Snapshot,
}

/// Why a file's header was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// The header is incomplete or unwritten: the process ended while the file was being created.
    Truncated,
    /// The magic bytes or the format version belong to no known file.
    WrongMagic,
    /// The file was written by a later version, with this format version.
    NewerFormat(u16),
}

/// Returns the header of a file.
pub fn encode_file_header(kind: FileKind) -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..6].copy_from_slice(match kind {
        FileKind::Log => &LOG_MAGIC,
        FileKind::Snapshot => &SNAPSHOT_MAGIC,
    });
    header[6..].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header
}

/// Checks the header of a file.
///
/// # Errors
/// The header is incomplete, of another type of file, or of a later format version.
pub fn check_file_header(kind: FileKind, bytes: &[u8]) -> Result<(), HeaderError> {
    let expected = encode_file_header(kind);
    let is_unwritten = bytes.iter().take(FILE_HEADER_BYTES).all(|b| *b == 0);
    if bytes.len() < FILE_HEADER_BYTES || is_unwritten {
        return Err(HeaderError::Truncated);
    }
    if bytes[..6] != expected[..6] {
        return Err(HeaderError::WrongMagic);
    }
    match u16::from_le_bytes([bytes[6], bytes[7]]) {
        version if version > FORMAT_VERSION => Err(HeaderError::NewerFormat(version)),
        FORMAT_VERSION => Ok(()),
        _ => Err(HeaderError::WrongMagic),
    }
}

/// Appends a frame to `out`.
pub fn append_frame(out: &mut Vec<u8>, number: u64, payload: &[u8]) {
    let start = out.len();
    out.extend_from_slice(&FRAME_MARKER);
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_crc = crc32fast::hash(&out[start..]);
    out.extend_from_slice(&header_crc.to_le_bytes());
    out.extend_from_slice(payload);
    out.push(END_MARKER);
}

/// A decoded frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Sequence number.
    pub number: u64,
    /// Records of a group, or a part of a snapshot.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Encoded size in bytes.
    pub fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len() + 1
    }

    /// Decodes the records in the payload.
    ///
    /// # Errors
    /// The payload is not a sequence of records. As its checksum is correct, other software wrote it.
    pub fn decode_records(&self) -> Result<Vec<Record>, postcard::Error> {
        let mut remaining = self.payload;
        let mut records = Vec::new();
        while !remaining.is_empty() {
            let (record, unread) = postcard::take_from_bytes(remaining)?;
            records.push(record);
            remaining = unread;
        }
        Ok(records)
    }
}

/// Fields of a frame's header.
struct FrameHeader {
    length: usize,
    number: u64,
    payload_crc: u32,
}

/// Decodes a frame's header; `None` if it is incomplete or its checksum does not match.
fn decode_frame_header(bytes: &[u8]) -> Option<FrameHeader> {
    if bytes.get(..4)? != FRAME_MARKER || read_u32(bytes, 20)? != crc32fast::hash(bytes.get(..20)?)
    {
        return None;
    }
    let number = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?);
    Some(FrameHeader {
        length: read_u32(bytes, 4)? as usize,
        number,
        payload_crc: read_u32(bytes, 16)?,
    })
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(offset..offset + 4)?.try_into().ok()?))
}

/// Decodes the frame at the start of `bytes`; `None` if it is incomplete or a checksum does not match.
pub fn decode_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let FrameHeader { length, number, payload_crc } = decode_frame_header(bytes)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES.checked_add(length)?)?;
    let is_valid = *bytes.get(FRAME_HEADER_BYTES + length)? == END_MARKER
        && crc32fast::hash(payload) == payload_crc;
    is_valid.then_some(Frame { number, payload })
}

/// What follows the last valid frame of a log file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// Nothing: the file ends there.
    Empty,
    /// A torn write: the process ended while it was writing, so nothing of it was acknowledged.
    Torn,
    /// A frame that was written completely and is corrupt.
    Damaged,
}

/// Classifies what follows the last valid frame, which ends at `valid_length`. A group is written only once the one
/// before it is durable, so only the last one can be torn. If a valid frame follows it, or every sector of it was
/// written, it was corrupted later.
pub fn classify_tail(bytes: &[u8], valid_length: usize) -> Tail {
    let rest = &bytes[valid_length.min(bytes.len())..];
    if rest.is_empty() {
        return Tail::Empty;
    }
    let mut position = 1;
    while let Some(offset) = find_bytes(&rest[position..], &FRAME_MARKER) {
        position += offset;
        if decode_frame(&rest[position..]).is_some() {
            return Tail::Damaged;
        }
        position += 1;
    }
    let is_incomplete = match decode_frame_header(rest) {
        Some(header) => rest.len() < FRAME_HEADER_BYTES + header.length + 1,
        None => rest.len() < FRAME_HEADER_BYTES,
    };
    // Sectors are aligned in the file, so the first and the last one here may be partial.
    let first_sector_bytes = (SECTOR_BYTES - valid_length % SECTOR_BYTES).min(rest.len());
    let (first_sector, other_sectors) = rest.split_at(first_sector_bytes);
    let is_unwritten = |sector: &[u8]| sector.iter().all(|b| *b == 0);
    let has_unwritten =
        is_unwritten(first_sector) || other_sectors.chunks(SECTOR_BYTES).any(is_unwritten);
    if is_incomplete || has_unwritten { Tail::Torn } else { Tail::Damaged }
}

fn find_bytes(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns a log with this many frames, and the offsets of their boundaries, starting with 0.
    fn encode_log(frame_count: u64) -> (Vec<u8>, Vec<usize>) {
        let mut bytes = Vec::new();
        let mut boundaries = vec![0];
        for number in 1..=frame_count {
            let write = Write { key: "a/b".into(), value: Some("{\"x\":1}".into()), lease: 0 };
            let record = Record::Changed { revision: number, writes: vec![write; 40] };
            append_frame(&mut bytes, number, &postcard::to_allocvec(&record).unwrap());
            boundaries.push(bytes.len());
        }
        (bytes, boundaries)
    }

    /// A frame decodes to the number and the records that were encoded.
    #[test]
    fn a_frame_decodes_to_its_records() {
        let (bytes, boundaries) = encode_log(2);
        let first = decode_frame(&bytes).unwrap();
        assert_eq!((first.number, first.size()), (1, boundaries[1]));
        let records = decode_frame(&bytes[first.size()..]).unwrap().decode_records().unwrap();
        assert!(
            matches!(&records[..], [Record::Changed { revision: 2, writes }] if writes.len() == 40)
        );
    }

    /// A write that ends at any byte, or lacks any one sector, is classified as torn. If it counted as damaged, the
    /// service would not start after a crash.
    #[test]
    fn an_incomplete_write_is_torn() {
        let (bytes, boundaries) = encode_log(3);
        for cut in boundaries[2] + 1..boundaries[3] {
            assert_eq!(classify_tail(&bytes[..cut], boundaries[2]), Tail::Torn, "cut at {cut}");
        }
        for sector in boundaries[2] / SECTOR_BYTES..=(boundaries[3] - 1) / SECTOR_BYTES {
            let mut torn = bytes.clone();
            let start = (sector * SECTOR_BYTES).max(boundaries[2]);
            let end = ((sector + 1) * SECTOR_BYTES).min(boundaries[3]);
            torn[start..end].fill(0);
            assert!(decode_frame(&torn[boundaries[2]..]).is_none());
            assert_eq!(classify_tail(&torn, boundaries[2]), Tail::Torn, "sector {sector}");
        }
    }

    /// A flipped bit is classified as damage, in the middle and at the end of the log: if it counted as a torn
    /// write, recovery would drop an acknowledged change.
    #[test]
    fn a_flipped_bit_is_damage() {
        let (bytes, boundaries) = encode_log(3);
        for group in [1, 2] {
            for offset in boundaries[group]..boundaries[group + 1] {
                let mut flipped = bytes.clone();
                flipped[offset] ^= 0x10;
                assert!(decode_frame(&flipped[boundaries[group]..]).is_none(), "{offset}");
                assert_eq!(
                    classify_tail(&flipped, boundaries[group]),
                    Tail::Damaged,
                    "group {group}, byte {offset}"
                );
            }
        }
    }

    #[test]
    fn file_headers_are_checked() {
        assert_eq!(check_file_header(FileKind::Log, &encode_file_header(FileKind::Log)), Ok(()));
        assert_eq!(
            check_file_header(FileKind::Log, &encode_file_header(FileKind::Snapshot)),
            Err(HeaderError::WrongMagic)
        );
        assert_eq!(check_file_header(FileKind::Log, b"oat"), Err(HeaderError::Truncated));
        let mut newer = encode_file_header(FileKind::Log);
        newer[6] = FORMAT_VERSION as u8 + 1;
        assert_eq!(
            check_file_header(FileKind::Log, &newer),
            Err(HeaderError::NewerFormat(FORMAT_VERSION + 1))
        );
    }
}

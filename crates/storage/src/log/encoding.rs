//! The file format of a log: a header, then frames. Integers are little-endian.
//!
//! Header: magic, format version (u16), kind (u32), CRC-32 of these.
//!
//! Frame: length of the entry (u32), sequence number (u64), CRC-32 of these two and the entry (u32), the entry.

use crate::little_endian::{u16_at, u32_at, u64_at};

/// The maximum length of an entry, in bytes. A frame with a greater length is damaged.
pub const MAX_ENTRY_BYTES: usize = 16 * 1024 * 1024;

pub const MAGIC: &[u8; 4] = b"LRlg";
pub const FORMAT_VERSION: u16 = 1;
pub const HEADER_BYTES: usize = 14;

const FORMAT_VERSION_OFFSET: usize = 4;
const KIND_OFFSET: usize = 6;
const SEQUENCE_OFFSET: usize = 4;
const CHECKSUM_OFFSET: usize = 12;
const FRAME_HEADER_BYTES: usize = 16;

/// Encodes the header of a log.
pub fn header(kind: u32) -> Vec<u8> {
    let mut bytes = [&MAGIC[..], &FORMAT_VERSION.to_le_bytes(), &kind.to_le_bytes()].concat();
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// The format version in a header, which may be damaged.
pub fn header_format_version(bytes: &[u8]) -> Option<u16> {
    u16_at(bytes, FORMAT_VERSION_OFFSET)
}

/// The kind in a header, which may be damaged.
pub fn header_kind(bytes: &[u8]) -> Option<u32> {
    u32_at(bytes, KIND_OFFSET)
}

/// The CRC-32 of the length and sequence number at the start of a frame, and of its entry.
fn checksum(frame_start: &[u8], entry: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(frame_start);
    hasher.update(entry);
    hasher.finalize()
}

/// Encodes the frame of an entry.
pub fn frame(sequence: u64, entry: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + entry.len());
    bytes.extend((entry.len() as u32).to_le_bytes());
    bytes.extend(sequence.to_le_bytes());
    bytes.extend(checksum(&bytes, entry).to_le_bytes());
    bytes.extend(entry);
    bytes
}

/// A decoded frame whose checksum matches.
pub struct Frame<'a> {
    pub sequence: u64,
    pub entry: &'a [u8],
    /// The offset of the first byte after the frame.
    pub end: usize,
}

/// Decodes the frame at an offset. Returns `None` if there is no frame with a matching checksum.
pub fn decode_frame(bytes: &[u8], offset: usize) -> Option<Frame<'_>> {
    let len = u32_at(bytes, offset)? as usize;
    if len > MAX_ENTRY_BYTES {
        return None;
    }
    let sequence = u64_at(bytes, offset + SEQUENCE_OFFSET)?;
    let expected = u32_at(bytes, offset + CHECKSUM_OFFSET)?;
    let start = offset + FRAME_HEADER_BYTES;
    let entry = bytes.get(start..start + len)?;
    let found = checksum(&bytes[offset..offset + CHECKSUM_OFFSET], entry);
    (found == expected).then_some(Frame { sequence, entry, end: start + len })
}

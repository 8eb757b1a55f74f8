//! Recovers the entries of a log, and distinguishes an interrupted last write from corruption.

use super::encoding::{
    decode_frame, header, header_format_version, header_kind, Frame, FORMAT_VERSION, HEADER_BYTES, MAGIC,
};
use thiserror::Error;

/// How a recovered log ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTail {
    /// With its last entry, complete.
    Complete,
    /// With part of an entry whose write was interrupted. No synced entry is missing, unless the disk reported a sync as
    /// successful without performing it.
    Torn {
        /// The offset at which the incomplete entry begins.
        offset: u64,
        /// Length of the incomplete entry, in bytes.
        bytes: u64,
    },
    /// With corruption that an interrupted last write does not explain. Entries after it are not recovered.
    Corrupt {
        /// The offset at which the corruption begins.
        offset: u64,
        /// What was found at the offset.
        cause: LogCorruption,
    },
}

/// The corruption found in a log: what was found, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogCorruption {
    /// The file does not begin with the magic bytes of a log.
    #[error("not a log file: the magic bytes do not match")]
    NotALog,
    /// The log has a format version that this program does not support.
    #[error("log format version {found}, expected {FORMAT_VERSION}")]
    FormatVersion {
        /// The format version in the header.
        found: u16,
    },
    /// The log belongs to another store.
    #[error("log kind {found}, expected {expected}")]
    Kind {
        /// The kind in the header.
        found: u32,
        /// The kind that the log was opened with.
        expected: u32,
    },
    /// The header is damaged: its checksum does not match, or it is incomplete and is not the start of a valid header.
    #[error("the header is corrupt")]
    Header,
    /// Entries are missing or duplicated.
    #[error("entry {found}, expected entry {expected}")]
    Sequence {
        /// The sequence number found.
        found: u64,
        /// The successor of the previous entry's sequence number.
        expected: u64,
    },
    /// Undamaged entries follow bytes that cannot be decoded.
    #[error("{bytes} undecodable bytes before entry {following}, expected {}", expected_entry(*.expected))]
    Gap {
        /// Length of the undecodable part, in bytes.
        bytes: usize,
        /// Sequence number of the first undamaged entry after that part.
        following: u64,
        /// The sequence number that was expected instead; `None` if no entry was recovered before.
        expected: Option<u64>,
    },
}

fn expected_entry(sequence: Option<u64>) -> String {
    sequence.map_or("the first entry".into(), |sequence| format!("entry {sequence}"))
}

/// What was recovered from a log when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecovery {
    /// The entries before the torn or corrupt part, if there is one.
    pub entries: Vec<Vec<u8>>,
    /// The sequence number of the first entry; 0 if there are no entries.
    pub first_sequence: u64,
    /// How the log ends.
    pub tail: LogTail,
}

/// Recovers the entries from the content of a log file.
pub fn recover(bytes: &[u8], kind: u32) -> LogRecovery {
    let mut recovery = LogRecovery { entries: Vec::new(), first_sequence: 0, tail: LogTail::Complete };
    let expected_header = header(kind);
    if bytes.len() < HEADER_BYTES && expected_header.starts_with(bytes) {
        if !bytes.is_empty() {
            recovery.tail = LogTail::Torn { offset: 0, bytes: bytes.len() as u64 };
        }
        return recovery;
    }
    if !bytes.starts_with(&expected_header) {
        recovery.tail = LogTail::Corrupt { offset: 0, cause: header_corruption(bytes, kind) };
        return recovery;
    }
    recovery.tail = recover_entries(bytes, &mut recovery);
    recovery
}

/// Recovers the entries after the header, and returns how the log ends.
fn recover_entries(bytes: &[u8], recovery: &mut LogRecovery) -> LogTail {
    let mut offset = HEADER_BYTES;
    let mut expected = None;
    while offset < bytes.len() {
        let Some(Frame { sequence, entry, end }) = decode_frame(bytes, offset) else {
            return undecodable_tail(bytes, offset, expected);
        };
        match expected {
            None => recovery.first_sequence = sequence,
            Some(expected) if expected != sequence => {
                let cause = LogCorruption::Sequence { found: sequence, expected };
                return LogTail::Corrupt { offset: offset as u64, cause };
            }
            Some(_) => {}
        }
        recovery.entries.push(entry.to_vec());
        expected = Some(sequence + 1);
        offset = end;
    }
    LogTail::Complete
}

/// Classifies a tail whose first frame cannot be decoded. It is an interrupted write only if no later entry follows; only
/// the first frame that can be decoded after it is considered.
fn undecodable_tail(bytes: &[u8], offset: usize, expected: Option<u64>) -> LogTail {
    let following = (offset + 1..bytes.len())
        .find_map(|candidate| Some((candidate, decode_frame(bytes, candidate)?.sequence)));
    match following {
        Some((start, following)) if expected.is_none_or(|expected| following >= expected) => {
            let cause = LogCorruption::Gap { bytes: start - offset, following, expected };
            LogTail::Corrupt { offset: offset as u64, cause }
        }
        _ => LogTail::Torn { offset: offset as u64, bytes: (bytes.len() - offset) as u64 },
    }
}

/// Returns why a header differs from the expected one.
fn header_corruption(bytes: &[u8], expected: u32) -> LogCorruption {
    if !bytes.starts_with(MAGIC) {
        return LogCorruption::NotALog;
    }
    match (header_format_version(bytes), header_kind(bytes)) {
        (Some(found), _) if found != FORMAT_VERSION => LogCorruption::FormatVersion { found },
        (_, Some(found)) if found != expected => LogCorruption::Kind { found, expected },
        _ => LogCorruption::Header,
    }
}

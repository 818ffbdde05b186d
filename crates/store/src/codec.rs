//! Encodes and decodes records, and determines how much of a file was synced.
//!
//! A file is a preamble followed by records. A record is a header of [`RECORD_HEADER_BYTES`] bytes and a payload:
//!
//! | bytes | field |
//! | --- | --- |
//! | 4 | magic |
//! | 4 | length of the payload |
//! | 1 | kind |
//! | 8 | `synced`: length of the file that was known to be synced when the record was written |
//! | 4 | checksum of the payload |
//! | 4 | checksum of the fields above, of the file's number and of the record's offset |
//!
//! Numbers are little-endian. The header has a checksum of its own that includes its position, so that a search for headers
//! after a bad record takes linear time and a copy of a record inside a payload isn't taken for a record.

use crc32fast::Hasher;

/// Format version that this code writes; files with a greater one are refused.
pub const FORMAT_VERSION: u32 = 1;

/// Length of the preamble: 8 bytes of magic, 4 of version and 4 of checksum.
pub const PREAMBLE_BYTES: usize = 16;

/// Length of a record's header.
pub const RECORD_HEADER_BYTES: usize = 25;

/// Maximum payload of a log record: well above a control command, well below control's memory budget of 32 MB.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// Maximum payload of a snapshot; bounds how much a restart reads into memory.
pub const MAX_SNAPSHOT_BYTES: usize = 64 << 20;

const FILE_MAGIC: &[u8; 8] = b"hingelog";
const RECORD_MAGIC: [u8; 4] = [0xA7, 0x1C, 0xE5, 0x92];

/// Offset of the header's checksum within the header.
const HEADER_CHECKSUM_OFFSET: usize = RECORD_HEADER_BYTES - 4;

/// A decoded record of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record<'a> {
    /// Kind of the payload.
    pub kind: u8,
    /// Length of the file that was known to be synced when the record was written.
    pub synced_bytes: u64,
    /// The encoded value.
    pub payload: &'a [u8],
    /// Offset of the first byte after the record.
    pub end: usize,
}

/// The result of decoding at an offset of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decoded<'a> {
    /// A valid record.
    Record(Record<'a>),
    /// The end of the file.
    End,
    /// Bytes that aren't a valid record.
    Bad,
}

/// The result of checking the first bytes of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preamble {
    /// A valid preamble with the format version that this code writes.
    Known,
    /// A valid preamble with a later format version.
    Newer(u32),
    /// Not a valid preamble.
    Bad,
}

/// Returns the preamble that every file starts with.
#[must_use]
pub fn preamble() -> Vec<u8> {
    let mut bytes = FILE_MAGIC.to_vec();
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Checks the preamble of a file.
#[must_use]
pub fn check_preamble(bytes: &[u8]) -> Preamble {
    let Some((fields, checksum)) = bytes
        .get(..PREAMBLE_BYTES)
        .and_then(|header| header.split_at_checked(PREAMBLE_BYTES - 4))
    else {
        return Preamble::Bad;
    };
    if checksum != crc32fast::hash(fields).to_le_bytes() || !fields.starts_with(FILE_MAGIC) {
        return Preamble::Bad;
    }
    match u32_at(fields, FILE_MAGIC.len()) {
        FORMAT_VERSION => Preamble::Known,
        version if version > FORMAT_VERSION => Preamble::Newer(version),
        _ => Preamble::Bad,
    }
}

/// Appends a record to `out`, encoded for `offset` of the file numbered `file_number`.
///
/// # Panics
/// Panics if the payload's length doesn't fit in a `u32`; callers refuse such payloads earlier.
pub fn encode(
    out: &mut Vec<u8>,
    file_number: u64,
    offset: u64,
    synced_bytes: u64,
    kind: u8,
    payload: &[u8],
) {
    let payload_bytes = u32::try_from(payload.len()).expect("payloads are bounded far below 4 GiB");
    let start = out.len();
    out.extend(RECORD_MAGIC);
    out.extend(payload_bytes.to_le_bytes());
    out.push(kind);
    out.extend(synced_bytes.to_le_bytes());
    out.extend(crc32fast::hash(payload).to_le_bytes());
    let checksum = header_checksum(&out[start..], file_number, offset);
    out.extend(checksum.to_le_bytes());
    out.extend(payload);
}

/// Decodes the record at `offset`, with a payload of at most `max_payload_bytes`.
#[must_use]
pub fn decode(
    bytes: &[u8],
    file_number: u64,
    offset: usize,
    max_payload_bytes: usize,
) -> Decoded<'_> {
    if offset == bytes.len() {
        return Decoded::End;
    }
    let Some(header) = valid_header(bytes, file_number, offset) else {
        return Decoded::Bad;
    };
    let payload_bytes = u32_at(header, 4) as usize;
    if payload_bytes > max_payload_bytes {
        return Decoded::Bad;
    }
    let start = offset + RECORD_HEADER_BYTES;
    let end = start + payload_bytes;
    let Some(payload) = bytes.get(start..end) else {
        return Decoded::Bad;
    };
    if crc32fast::hash(payload) != u32_at(header, 17) {
        return Decoded::Bad;
    }
    Decoded::Record(Record {
        kind: header[8],
        synced_bytes: synced_bytes_of(header),
        payload,
        end,
    })
}

/// Returns the greatest synced length that any valid header after `offset` states.
#[must_use]
pub fn max_synced_after(bytes: &[u8], file_number: u64, offset: usize) -> Option<u64> {
    let last = bytes.len().checked_sub(RECORD_HEADER_BYTES)?;
    (offset.saturating_add(1)..=last)
        .filter_map(|at| valid_header(bytes, file_number, at))
        .map(synced_bytes_of)
        .max()
}

/// Returns the header at `offset` if its magic and checksum are valid.
fn valid_header(bytes: &[u8], file_number: u64, offset: usize) -> Option<&[u8]> {
    let header = bytes.get(offset..offset.checked_add(RECORD_HEADER_BYTES)?)?;
    let is_valid = header.starts_with(&RECORD_MAGIC)
        && header_checksum(
            &header[..HEADER_CHECKSUM_OFFSET],
            file_number,
            offset as u64,
        ) == u32_at(header, HEADER_CHECKSUM_OFFSET);
    is_valid.then_some(header)
}

fn header_checksum(fields: &[u8], file_number: u64, offset: u64) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(fields);
    hasher.update(&file_number.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.finalize()
}

fn synced_bytes_of(header: &[u8]) -> u64 {
    let low = u64::from(u32_at(header, 9));
    let high = u64::from(u32_at(header, 13));
    low | (high << 32)
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    let four = [bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]];
    u32::from_le_bytes(four)
}

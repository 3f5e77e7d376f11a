//! Frames, the unit in which files are written and checked: a header with length and checksums, then a payload in
//! bincode.

use std::path::Path;

use serde::{Serialize, de::DeserializeOwned};

use crate::store::{Error, Result};

/// Size of the header: payload length, CRC32 of the payload, and CRC32 of these two fields, each a little-endian `u32`.
const HEADER_BYTES: usize = 12;

/// Smallest unit that a disk writes. A crash leaves each sector either written or not.
const SECTOR_BYTES: usize = 512;

/// Result of decoding a frame.
pub enum Decoded<T> {
    /// The value of a complete frame, and the offset after the frame.
    Frame(T, usize),
    /// An incomplete frame at the end of the file, whose write was interrupted before it was synced.
    Torn,
}

/// Encodes a value as a frame.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let payload = bincode::serialize(value).expect("durable types can be serialized");
    let length = u32::try_from(payload.len()).expect("a frame has less than 4 GiB");
    let mut buf = Vec::with_capacity(HEADER_BYTES + payload.len());
    buf.extend(length.to_le_bytes());
    buf.extend(crc32fast::hash(&payload).to_le_bytes());
    buf.extend(crc32fast::hash(&buf).to_le_bytes());
    buf.extend(payload);
    buf
}

/// Decodes the frame at `offset`. A frame counts as torn if the file ends within it, if its header is all zero, or if
/// it is the last one, its checksum does not match and a whole sector of its payload is zero: after a crash the file
/// system may have extended the file without writing the data. Any other mismatch of a checksum is damage to synced
/// data.
pub fn decode<T: DeserializeOwned>(file: &Path, bytes: &[u8], offset: usize) -> Result<Decoded<T>> {
    let corrupt = |detail: &str| Error::Corrupt {
        file: file.to_owned(),
        offset: offset as u64,
        detail: detail.to_owned(),
    };
    let rest = &bytes[offset..];
    let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else {
        return Ok(Decoded::Torn);
    };
    let field = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| header[at + i]));
    let (length, payload_crc, header_crc) = (field(0) as usize, field(4), field(8));
    if crc32fast::hash(&header[..8]) != header_crc {
        let unwritten = header.iter().all(|it| *it == 0);
        return if unwritten {
            Ok(Decoded::Torn)
        } else {
            Err(corrupt("frame header checksum mismatch"))
        };
    }
    let Some((payload, after)) = rest.split_at_checked(length) else { return Ok(Decoded::Torn) };
    if crc32fast::hash(payload) != payload_crc {
        let torn = after.is_empty() && has_unwritten_sector(payload, offset + HEADER_BYTES);
        return if torn {
            Ok(Decoded::Torn)
        } else {
            Err(corrupt("frame payload checksum mismatch"))
        };
    }
    let value = bincode::deserialize(payload).map_err(|err| corrupt(&err.to_string()))?;
    Ok(Decoded::Frame(value, offset + HEADER_BYTES + length))
}

/// Whether any sector-aligned piece of the payload is all zero. `offset` is the payload's offset in the file.
fn has_unwritten_sector(payload: &[u8], offset: usize) -> bool {
    let first = (SECTOR_BYTES - offset % SECTOR_BYTES) % SECTOR_BYTES;
    let (_, aligned) = payload.split_at(first.min(payload.len()));
    aligned.chunks(SECTOR_BYTES).any(|it| it.iter().all(|byte| *byte == 0))
}

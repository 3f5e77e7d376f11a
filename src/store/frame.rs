//! Frames: a header with length and checksums, then the payload.

use std::path::Path;

use serde::{Serialize, de::DeserializeOwned};

use crate::store::{Error, Result};

/// Length of the payload, its CRC32 and the CRC32 of both, each as a little-endian `u32`.
const HEADER_BYTES: usize = 12;

/// Disks write at least this much at once.
const SECTOR_BYTES: usize = 512;

/// What stands at an offset.
pub enum Decoded<T> {
    /// A whole frame and the offset after it.
    Frame(T, usize),
    /// The start of a frame whose write was interrupted before it was synced.
    Torn,
}

/// The bytes of a frame.
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

/// Reads the frame at `offset`. A frame is torn only at the end of the file, and only if bytes are missing or still
/// zero as the file system left them; anything else that does not fit its checksum is damage.
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
        return if unwritten { Ok(Decoded::Torn) } else { Err(corrupt("checksum of a header")) };
    }
    let Some((payload, after)) = rest.split_at_checked(length) else { return Ok(Decoded::Torn) };
    if crc32fast::hash(payload) != payload_crc {
        let torn = after.is_empty() && has_unwritten_sector(payload, offset + HEADER_BYTES);
        return if torn { Ok(Decoded::Torn) } else { Err(corrupt("checksum of a record")) };
    }
    let value = bincode::deserialize(payload).map_err(|err| corrupt(&err.to_string()))?;
    Ok(Decoded::Frame(value, offset + HEADER_BYTES + length))
}

/// Whether the part of the payload in one sector of the file is all zero.
fn has_unwritten_sector(payload: &[u8], offset: usize) -> bool {
    let first = (SECTOR_BYTES - offset % SECTOR_BYTES) % SECTOR_BYTES;
    let (_, aligned) = payload.split_at(first.min(payload.len()));
    aligned.chunks(SECTOR_BYTES).any(|it| it.iter().all(|byte| *byte == 0))
}

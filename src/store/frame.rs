//! Frames, the unit in which files are written and checked: a header with length and checksums, then a payload in
//! bincode.

use std::{
    fs::File,
    io::{BufReader, ErrorKind, Read},
    path::PathBuf,
};

use serde::{Serialize, de::DeserializeOwned};

use crate::store::{Error, Result, data_dir::io_error};

/// Size of the header: payload length, CRC32 of the payload, and CRC32 of these two fields, each a little-endian `u32`.
const HEADER_BYTES: usize = 12;

/// Smallest unit that a disk writes. A crash leaves each sector either written or not.
const SECTOR_BYTES: usize = 512;

/// Result of reading a frame.
pub enum Decoded<T> {
    /// The value of a complete frame.
    Frame(T),
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

/// Reads the frames of a file one after the other, so that only one of them is in memory.
pub struct Reader {
    path: PathBuf,
    file: BufReader<File>,
    /// Length of the file.
    len: u64,
    /// Offset of the next frame.
    offset: u64,
}

impl Reader {
    /// Opens a file; none if it does not exist.
    pub fn open(path: PathBuf) -> Result<Option<Self>> {
        let opened = File::open(&path).and_then(|it| Ok((it.metadata()?.len(), it)));
        match opened {
            Ok((len, file)) => Ok(Some(Self { path, file: BufReader::new(file), len, offset: 0 })),
            Err(err) if err.kind() == ErrorKind::NotFound => Ok(None),
            Err(err) => Err(io_error(&path, err)),
        }
    }

    /// Offset of the next frame: the end of the last one that was read.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Length of the file.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether all frames have been read.
    pub fn is_at_end(&self) -> bool {
        self.offset == self.len
    }

    /// Reads the next frame. A frame counts as torn if the file ends within it, if its header is all zero, or if it is
    /// the last one, its checksum does not match and a whole sector of its payload is zero: after a crash the file
    /// system may have extended the file without writing the data. Any other mismatch of a checksum is damage to synced
    /// data.
    pub fn read<T: DeserializeOwned>(&mut self) -> Result<Decoded<T>> {
        let left = self.len - self.offset;
        if left < HEADER_BYTES as u64 {
            return Ok(Decoded::Torn);
        }
        let header = self.read_bytes(HEADER_BYTES)?;
        let field = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|i| header[at + i]));
        let (length, payload_crc, header_crc) = (field(0) as usize, field(4), field(8));
        if crc32fast::hash(&header[..8]) != header_crc {
            let unwritten = header.iter().all(|it| *it == 0);
            return if unwritten {
                Ok(Decoded::Torn)
            } else {
                Err(self.corrupt("frame header checksum mismatch"))
            };
        }
        let frame_bytes = (HEADER_BYTES + length) as u64;
        if frame_bytes > left {
            return Ok(Decoded::Torn);
        }
        let payload = self.read_bytes(length)?;
        if crc32fast::hash(&payload) != payload_crc {
            let torn = frame_bytes == left
                && has_unwritten_sector(&payload, self.offset as usize + HEADER_BYTES);
            return if torn {
                Ok(Decoded::Torn)
            } else {
                Err(self.corrupt("frame payload checksum mismatch"))
            };
        }
        let value = bincode::deserialize(&payload).map_err(|err| self.corrupt(&err.to_string()))?;
        self.offset += frame_bytes;
        Ok(Decoded::Frame(value))
    }

    /// The error for damage in the next frame.
    pub fn corrupt(&self, detail: &str) -> Error {
        self.corrupt_at(self.offset, detail)
    }

    /// The error for damage at an offset.
    pub fn corrupt_at(&self, offset: u64, detail: &str) -> Error {
        Error::Corrupt { file: self.path.clone(), offset, detail: detail.to_owned() }
    }

    fn read_bytes(&mut self, count: usize) -> Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.file.read_exact(&mut bytes).map_err(|err| io_error(&self.path, err))?;
        Ok(bytes)
    }
}

/// Whether any sector-aligned piece of the payload is all zero. `offset` is the payload's offset in the file.
fn has_unwritten_sector(payload: &[u8], offset: usize) -> bool {
    let first = (SECTOR_BYTES - offset % SECTOR_BYTES) % SECTOR_BYTES;
    let (_, aligned) = payload.split_at(first.min(payload.len()));
    aligned.chunks(SECTOR_BYTES).any(|it| it.iter().all(|byte| *byte == 0))
}

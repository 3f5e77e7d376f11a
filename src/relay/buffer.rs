//! Buffers for the bodies of targets' responses, bounded for each response and for the process.

use std::{
    error::Error,
    sync::atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::relay::records::{RECORD_BYTES, merge_records};

/// Longest response body that is accepted, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// How much of a shard's response is buffered at least before records that cannot be among the greatest are dropped,
/// in bytes.
const MIN_COMPACTION_BYTES: usize = 16 << 10;

/// All responses together may buffer this much, in bytes, and less on a machine with little memory. Beyond it those that hold more than an equal share fail, so
/// that targets that send without end do not use up the memory for the responses of others.
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;

/// The buffered bytes of all responses of a process.
#[derive(Debug)]
pub struct Buffers {
    max_bytes: usize,
    bytes: AtomicUsize,
    responses: AtomicUsize,
}

impl Default for Buffers {
    fn default() -> Self {
        Self::new(MAX_BUFFERED_BYTES)
    }
}

impl Buffers {
    /// At most `max_bytes`, and at most [`MAX_BUFFERED_BYTES`].
    pub fn new(max_bytes: usize) -> Self {
        let max_bytes = max_bytes.min(MAX_BUFFERED_BYTES);
        Self { max_bytes, bytes: AtomicUsize::new(0), responses: AtomicUsize::new(0) }
    }

    /// The bytes that are buffered now.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether a response that holds `own` bytes may hold them.
    fn allows(&self, own: usize) -> bool {
        let share = self.max_bytes / self.responses.load(Ordering::Relaxed).max(1);
        own <= share || self.bytes() <= self.max_bytes
    }
}

/// The body of one response while it is received. Its bytes count until it is dropped.
pub struct ResponseBuffer<'a> {
    buffers: &'a Buffers,
    /// How many of the greatest records are needed, if the response is a shard's.
    max_records: Option<usize>,
    received: usize,
    data: Vec<u8>,
}

/// Why a response cannot be buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The response is longer than one response may be.
    #[error("the response is too long")]
    TooLong,
    /// The responses of all targets are too long together, and this one holds more than its share.
    #[error("the process buffers too many bytes")]
    ProcessLimit,
}

impl<'a> ResponseBuffer<'a> {
    /// An empty buffer. With `max_records` only that many of the greatest records are kept.
    pub fn new(buffers: &'a Buffers, max_records: Option<usize>) -> Self {
        buffers.responses.fetch_add(1, Ordering::Relaxed);
        Self { buffers, max_records, received: 0, data: Vec::new() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        self.received += chunk.len();
        if self.received > MAX_RESPONSE_BYTES {
            return Err(BufferError::TooLong);
        }
        let before = self.data.len();
        self.data.extend_from_slice(chunk);
        if let Some(max) = self.max_records {
            self.compact(max);
        }
        self.buffers.bytes.fetch_add(self.data.len(), Ordering::Relaxed);
        self.buffers.bytes.fetch_sub(before, Ordering::Relaxed);
        if self.buffers.allows(self.data.len()) { Ok(()) } else { Err(BufferError::ProcessLimit) }
    }

    /// Receives the whole body. Fails if it is too long or ends early.
    pub(super) async fn collect(
        &mut self,
        mut body: Incoming,
    ) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
        if body.size_hint().lower() > MAX_RESPONSE_BYTES as u64 {
            return Err(BufferError::TooLong.into());
        }
        while let Some(frame) = body.frame().await {
            if let Some(chunk) = frame?.data_ref() {
                self.push(chunk)?;
            }
        }
        Ok(Bytes::copy_from_slice(&self.data))
    }

    /// Drops records that are not among the `max` greatest, once that is worth the sorting.
    fn compact(&mut self, max: usize) {
        if self.data.len() < MIN_COMPACTION_BYTES.max(2 * max.saturating_mul(RECORD_BYTES)) {
            return;
        }
        let whole = self.data.len() - self.data.len() % RECORD_BYTES;
        let mut kept = merge_records(std::iter::once(&self.data[..whole]), max).to_vec();
        kept.extend_from_slice(&self.data[whole..]);
        self.data = kept;
    }
}

impl Drop for ResponseBuffer<'_> {
    fn drop(&mut self) {
        self.buffers.bytes.fetch_sub(self.data.len(), Ordering::Relaxed);
        self.buffers.responses.fetch_sub(1, Ordering::Relaxed);
    }
}

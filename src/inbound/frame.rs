//! Connections that carry length-prefixed frames, whose bytes count while they arrive.

use std::{
    io,
    net::IpAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{Notify, futures::OwnedNotified},
};

use tokio_util::codec::{Decoder, Encoder};

use crate::memory::{Account, Guard, SMALL_BYTES};

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Splits frames, each of which follows its length. Unlike `LengthDelimitedCodec`, with which it is compatible, it takes no
/// memory for bytes that have not arrived.
#[derive(Clone, Copy, Debug)]
pub struct FrameCodec {
    /// The length of the longest frame, in bytes.
    pub max_bytes: usize,
}

impl FrameCodec {
    fn check(self, length: usize) -> io::Result<()> {
        if length <= self.max_bytes {
            return Ok(());
        }
        let cause = format!("a frame of {length} bytes, of which {} are allowed", self.max_bytes);
        Err(io::Error::new(io::ErrorKind::InvalidData, cause))
    }
}

impl Decoder for FrameCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let Some(length) = src.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        self.check(length)?;
        if src.len() - LENGTH_BYTES < length {
            return Ok(None);
        }
        src.advance(LENGTH_BYTES);
        let frame = src.split_to(length);
        if length > SMALL_BYTES {
            // An idle connection must not keep the buffer of a long frame.
            *src = BytesMut::from(&src[..]);
        }
        Ok(Some(frame))
    }
}

impl Encoder<Bytes> for FrameCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.check(frame.len())?;
        dst.reserve(LENGTH_BYTES + frame.len());
        dst.put_u32(frame.len() as u32);
        dst.extend_from_slice(&frame);
        Ok(())
    }
}

/// What has arrived of a frame.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Arrival {
    length: [u8; LENGTH_BYTES],
    length_bytes: usize,
    missing: usize,
    arrived: usize,
}

impl Arrival {
    /// The bytes of the frame that is not complete.
    pub fn arrived(&self) -> usize {
        self.arrived
    }

    /// Records bytes that arrived. Whether a frame has ended with them.
    pub fn advance(&mut self, mut bytes: &[u8]) -> bool {
        let mut has_ended = false;
        while let [first, rest @ ..] = bytes {
            if self.length_bytes < LENGTH_BYTES {
                self.length[self.length_bytes] = *first;
                self.length_bytes += 1;
                self.missing = u32::from_be_bytes(self.length) as usize;
                bytes = rest;
            } else {
                let part = self.missing.min(bytes.len());
                self.missing -= part;
                self.arrived += part;
                bytes = &bytes[part..];
            }
            if self.length_bytes == LENGTH_BYTES && self.missing == 0 {
                *self = Self::default();
                has_ended = true;
            }
        }
        has_ended
    }
}

/// A connection whose unfinished frame counts in an account. It fails when the memory is short and its frame is chosen.
pub struct FrameStream {
    stream: TcpStream,
    account: Arc<Account>,
    sender: IpAddr,
    arrival: Arrival,
    guard: Option<Guard>,
    /// The bytes that `guard` counts.
    held: usize,
    evicted: Arc<Notify>,
    evict: Pin<Box<OwnedNotified>>,
}

impl FrameStream {
    /// Wraps a connection of this sender.
    pub fn new(stream: TcpStream, sender: IpAddr, account: Arc<Account>) -> Self {
        let evicted = Arc::<Notify>::default();
        let evict = Box::pin(evicted.clone().notified_owned());
        let (arrival, guard, held) = (Arrival::default(), None, 0);
        Self { stream, account, sender, arrival, guard, held, evicted, evict }
    }

    /// The connection itself, for its options.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Counts the frame that is arriving. False if it was chosen to release its bytes.
    fn hold(&mut self, has_ended: bool) -> bool {
        if has_ended {
            (self.guard, self.held) = (None, 0);
        }
        let arrived = self.arrival.arrived();
        if arrived <= SMALL_BYTES {
            return true;
        }
        let guard =
            self.guard.get_or_insert_with(|| self.account.start_frame(self.sender, &self.evicted));
        let grown = arrived - self.held;
        self.held = arrived;
        guard.grow(grown)
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let short = || Poll::Ready(Err(io::Error::other("memory is short")));
        if self.evict.as_mut().poll(cx).is_ready() {
            return short();
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let has_ended = self.arrival.advance(&buf.filled()[before..]);
        if self.hold(has_ended) { Poll::Ready(Ok(())) } else { short() }
    }
}

impl AsyncWrite for FrameStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

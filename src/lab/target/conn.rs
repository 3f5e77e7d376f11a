//! A TCP connection that can stop carrying data without being closed, as after a network partition.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A numbered connection. It is silenced once `last_silenced` has reached its number: what it receives is discarded,
/// and writes succeed without sending.
pub struct Conn {
    stream: TcpStream,
    number: u64,
    last_silenced: Arc<AtomicU64>,
}

impl Conn {
    /// Wraps a connection. Numbers ascend in the order in which connections are opened.
    pub fn new(stream: TcpStream, number: u64, last_silenced: Arc<AtomicU64>) -> Self {
        Self { stream, number, last_silenced }
    }

    fn is_silenced(&self) -> bool {
        self.number <= self.last_silenced.load(Ordering::Relaxed)
    }
}

impl AsyncRead for Conn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let filled = buf.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
            // Data that arrives on a silenced connection is discarded, but the end of the stream is still reported.
            if !self.is_silenced() || buf.filled().len() == filled {
                return Poll::Ready(Ok(()));
            }
            buf.set_filled(filled);
        }
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silenced() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

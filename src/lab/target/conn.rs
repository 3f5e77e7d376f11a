//! A connection that can be told to stop carrying data.

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

/// A connection with a number. It is is_silenced once `last_silenced` has reached this number.
pub struct Conn {
    stream: TcpStream,
    number: u64,
    last_silenced: Arc<AtomicU64>,
}

impl Conn {
    /// Wraps a connection.
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
            // What arrives on a is_silenced connection is lost; its end is still noticed.
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

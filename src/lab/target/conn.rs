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

/// A connection with a number. It is silent once `silent_through` has reached this number.
pub struct Conn {
    stream: TcpStream,
    number: u64,
    silent_through: Arc<AtomicU64>,
}

impl Conn {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, number: u64, silent_through: Arc<AtomicU64>) -> Self {
        Self { stream, number, silent_through }
    }

    fn silent(&self) -> bool {
        self.number <= self.silent_through.load(Ordering::Relaxed)
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
            // What arrives on a silent connection is lost; its end is still noticed.
            if !self.silent() || buf.filled().len() == filled {
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
        if self.silent() {
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

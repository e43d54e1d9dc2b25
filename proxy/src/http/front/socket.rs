//! The stream of a client's connection, and whether its client has closed it.

use crate::http::ClientStatus;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection's stream that tells whether its other side has closed it.
pub trait Socket: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Whether the other side has closed the connection or its sending, by the system's word of this moment, also
    /// behind bytes that nobody has read.
    fn status(&self) -> ClientStatus;
}

impl Socket for TcpStream {
    fn status(&self) -> ClientStatus {
        let mut descriptors = [PollFd::from_borrowed_fd(self.as_fd(), PollFlags::RDHUP)];
        // What cannot be asked is told by the connection's end, once it is read.
        let asked = poll(&mut descriptors, Some(&Timespec::default()));
        let events = descriptors[0].revents();
        match asked {
            Ok(1..) if events.intersects(PollFlags::RDHUP | PollFlags::HUP) => ClientStatus::Left,
            _ => ClientStatus::Connected,
        }
    }
}

/// A connection of which some bytes were read already.
#[derive(Debug)]
pub struct PrefixedStream {
    prefix: Vec<u8>,
    stream: TcpStream,
}

impl PrefixedStream {
    /// A stream that yields `prefix` first.
    pub fn new(prefix: Vec<u8>, stream: TcpStream) -> PrefixedStream {
        PrefixedStream { prefix, stream }
    }
}

impl Socket for PrefixedStream {
    fn status(&self) -> ClientStatus {
        self.stream.status()
    }
}

impl AsyncRead for PrefixedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.prefix.is_empty() {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        }
        let count = self.prefix.len().min(buffer.remaining());
        buffer.put_slice(&self.prefix[..count]);
        self.prefix.drain(..count);
        if self.prefix.is_empty() {
            self.prefix = Vec::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PrefixedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, pieces)
    }
}

//! The stream of a connection to a host: it counts what is written for an attempt, and notices what comes without a
//! request.

use super::surplus::HostSurplus;
use flaxhead_engine::WriteMeter;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Starts of a response by which a host may announce that it closes an idle connection (RFC 9110, 15.5.9).
const REQUEST_TIMEOUTS: [&[u8]; 2] = [b"HTTP/1.1 408", b"HTTP/1.0 408"];

/// What a connection's stream shares with the exchanges on it.
#[derive(Debug)]
pub struct ConnectionState {
    /// Where the bytes of the attempt that has the connection now are counted.
    meter: RefCell<WriteMeter>,
    /// Since when no request is outstanding; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    surplus: HostSurplus,
}

impl ConnectionState {
    /// The state of a connection that has just been opened to a host.
    pub fn new(surplus: HostSurplus) -> ConnectionState {
        let idle_since = Cell::new(Some(Instant::now()));
        ConnectionState { meter: RefCell::default(), idle_since, surplus }
    }

    /// The connection's next bytes are those of an attempt with this meter.
    pub fn begin(&self, meter: &WriteMeter) {
        self.meter.replace(meter.clone());
    }

    /// The response is complete: from now on no request is outstanding.
    pub fn end(&self) {
        self.idle_since.set(Some(Instant::now()));
    }
}

/// Whether nothing stands to be read on a connection, neither bytes nor its end, by the system's word of this moment. A
/// connection that is broken shows when it is written to.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_err()
}

/// A stream that counts what is written to it, and notices what comes on it without a request.
pub struct HostStream {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
}

impl HostStream {
    /// The stream of a connection with this state.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> HostStream {
        HostStream { io: TokioIo::new(stream), state }
    }

    /// Records bytes that stand to be read while no request is outstanding. Where the event queue has told of nothing,
    /// this asks the system nothing.
    fn notice_surplus(&self, context: &mut Context<'_>) {
        let Some(idle_since) = self.state.idle_since.get() else { return };
        let mut start = [0; REQUEST_TIMEOUTS[0].len()];
        let mut start = ReadBuf::new(&mut start);
        let peeked = self.io.inner().poll_peek(context, &mut start);
        let bytes = start.filled();
        if matches!(peeked, Poll::Ready(Ok(_))) && !bytes.is_empty() && !REQUEST_TIMEOUTS.contains(&bytes) {
            self.state.surplus.record(Instant::now(), idle_since.elapsed());
        }
    }
}

impl Read for HostStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.notice_surplus(context);
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for HostStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let meter = self.state.meter.borrow().clone();
        // The request stands in the connection's queue, and its attempt counts as one that never ran.
        if meter.is_withdrawn() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        // What has come before the first byte of a request is no answer to it, and the event queue may not have told
        // of it yet: the attempt counts as one that never ran, and goes out on another connection.
        if meter.bytes_written() == 0 && !is_quiet(self.io.inner()) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            meter.set_bytes_written(meter.bytes_written() + count);
            self.state.idle_since.set(None);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

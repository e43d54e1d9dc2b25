//! The stream of a connection to a host: it counts what is written for an attempt, and notices what comes without a
//! request.

use super::client_probe::{ClientProbe, ClientStatus};
use super::surplus::HostSurplus;
use crate::memory::{HeadProgress, MemoryPool, Reservation, MAX_READ_BYTES};
use flaxhead_engine::WriteMeter;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
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
    /// Whose attempt it is.
    client: RefCell<Rc<dyn ClientProbe>>,
    head: HeadBuffer,
}

/// What the HTTP library's read buffer takes while it waits for the rest of a response's head.
#[derive(Debug)]
struct HeadBuffer {
    /// What the library has of the head; `None`: all.
    progress: Cell<Option<HeadProgress>>,
    reservation: Reservation,
    /// It has grown, and does not shrink for as long as the connection lasts.
    has_grown: Cell<bool>,
}

impl HeadBuffer {
    fn new(pool: &MemoryPool) -> HeadBuffer {
        let reservation = pool.reservation();
        reservation.settle();
        HeadBuffer { progress: Cell::new(None), reservation, has_grown: Cell::new(false) }
    }

    /// Reserves what the buffer takes as the library reads on.
    fn reserve(&self) -> io::Result<()> {
        let excess = self.progress.get().map_or(0, |progress| progress.excess_buffer_bytes());
        if excess == 0 {
            return Ok(());
        }
        self.has_grown.set(true);
        match self.reservation.try_resize(excess) {
            true => Ok(()),
            false => Err(io::ErrorKind::OutOfMemory.into()),
        }
    }

    fn add(&self, bytes: &[u8]) {
        if let Some(mut progress) = self.progress.get() {
            progress.record(bytes);
            self.progress.set(Some(progress));
        }
    }
}

impl ConnectionState {
    /// The state of a connection that has just been opened to a host.
    pub fn new(surplus: HostSurplus, pool: &MemoryPool) -> ConnectionState {
        ConnectionState {
            meter: RefCell::default(),
            idle_since: Cell::new(Some(Instant::now())),
            surplus,
            client: RefCell::new(Rc::new(())),
            head: HeadBuffer::new(pool),
        }
    }

    /// The connection's next bytes are those of an attempt with this meter, for this client.
    pub fn begin(&self, meter: &WriteMeter, client: Rc<dyn ClientProbe>) {
        self.meter.replace(meter.clone());
        self.client.replace(client);
        self.head.progress.set(Some(HeadProgress::default()));
    }

    /// The response's head is complete.
    pub fn end_head(&self) {
        self.head.progress.set(None);
    }

    /// Whether its buffers have grown beyond what an idle connection may keep.
    pub fn has_grown(&self) -> bool {
        self.head.has_grown.get()
    }

    /// The response is complete: from now on no request is outstanding.
    pub fn end(&self) {
        self.idle_since.set(Some(Instant::now()));
        // It must not keep the client's connection.
        self.client.replace(Rc::new(()));
    }
}

impl fmt::Debug for dyn ClientProbe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.status())
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
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.notice_surplus(context);
        self.state.head.reserve()?;
        let mut piece = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut piece = ReadBuf::uninit(&mut piece[..length]);
        ready!(Pin::new(self.io.inner_mut()).poll_read(context, &mut piece))?;
        self.state.head.add(piece.filled());
        buffer.put_slice(piece.filled());
        Poll::Ready(Ok(()))
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
        // Nothing is begun for a client that has left.
        if meter.bytes_written() == 0 && self.state.client.borrow().status() == ClientStatus::Left {
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

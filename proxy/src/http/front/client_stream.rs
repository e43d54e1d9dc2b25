//! Whether a client is still there while its request waits, and what of its bytes has come.
//!
//! The HTTP library reads a connection only as far as it has a use for the bytes. Behind an unanswered request it has
//! none, so that a client that sent anything more and then closed would go unseen. Here the connection is read ahead,
//! within a bound, for as long as an answer is owed.

use super::activity::{Activity, Phase};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Instant, Sleep};

/// Most bytes that are read ahead of an open request. Clients send one request at a time: whoever sends more than this
/// behind an unanswered one is none.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Bytes that are read at once.
const READ_BYTES: usize = 4 << 10;
/// How long a connection that is being closed is still read, and how much: a close over unread bytes would reset it,
/// and take the answer along that is still on its way.
const LINGER_TIME: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 << 10;

#[derive(Debug)]
struct Inner<S> {
    stream: S,
    /// Bytes that were read ahead, and when the first of them came.
    ahead: VecDeque<u8>,
    ahead_since: Instant,
    /// What came behind the last byte, if anything has.
    end: Option<End>,
    linger: Option<Linger>,
}

/// How the client's side of a connection ended.
#[derive(Debug)]
enum End {
    /// The client closed it.
    Closed,
    /// It broke, as by a reset; the library has not been told so yet.
    Broken(io::Error),
}

/// What is left of the reading behind a close.
#[derive(Debug)]
struct Linger {
    until: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl Linger {
    fn begin() -> Linger {
        Linger { until: Box::pin(sleep(LINGER_TIME)), bytes_left: MAX_LINGER_BYTES }
    }
}

/// A client's connection, shared by the HTTP library and by those that watch it.
#[derive(Debug)]
pub(super) struct ClientStream<S> {
    inner: Rc<RefCell<Inner<S>>>,
    activity: Rc<Activity>,
}

impl<S> Clone for ClientStream<S> {
    fn clone(&self) -> Self {
        ClientStream { inner: self.inner.clone(), activity: self.activity.clone() }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> ClientStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, activity: Rc<Activity>) -> ClientStream<S> {
        let ahead_since = Instant::now();
        let inner = Inner { stream, ahead: VecDeque::new(), ahead_since, end: None, linger: None };
        ClientStream { inner: Rc::new(RefCell::new(inner)), activity }
    }

    /// Done once the client has gone, or behaves as no client does. Called only while its answer is owed.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        self.inner.borrow_mut().poll_ahead(context)
    }

    /// Whether bytes were read ahead that nobody has taken yet.
    pub fn has_read_ahead(&self) -> bool {
        !self.inner.borrow().ahead.is_empty()
    }

    /// Whether nothing of a further request is here: neither in hand nor waiting to be read.
    pub fn is_quiet(&self, context: &mut Context<'_>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let quiet = matches!(self.activity.phase(), Phase::New | Phase::Idle);
        quiet && inner.poll_ahead(context).is_pending() && inner.ahead.is_empty()
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Inner<S> {
    /// Reads ahead all that is there; done at the connection's end, or past the bound.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.end.is_none() && self.ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut piece = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut piece);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if buffer.filled().is_empty() => self.end = Some(End::Closed),
                Ok(()) => {
                    if self.ahead.is_empty() {
                        self.ahead_since = Instant::now();
                    }
                    self.ahead.extend(buffer.filled());
                }
                Err(error) => self.end = Some(End::Broken(error)),
            }
        }
        Poll::Ready(())
    }

    /// Reads and drops what still comes, for a while.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Inner { stream, linger, .. } = self;
        let linger = linger.get_or_insert_with(Linger::begin);
        while linger.bytes_left > 0 && linger.until.as_mut().poll(context).is_pending() {
            let mut piece = [0; READ_BYTES];
            let mut buffer = ReadBuf::new(&mut piece);
            match ready!(Pin::new(&mut *stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    linger.bytes_left = linger.bytes_left.saturating_sub(buffer.filled().len());
                }
                _ => break,
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        if !inner.ahead.is_empty() {
            let (first, _) = inner.ahead.as_slices();
            let count = first.len().min(buffer.remaining());
            buffer.put_slice(&first[..count]);
            inner.ahead.drain(..count);
            self.activity.record_received(inner.ahead_since);
            return Poll::Ready(Ok(()));
        }
        if let Some(end) = &mut inner.end {
            return Poll::Ready(match mem::replace(end, End::Closed) {
                End::Closed => Ok(()),
                End::Broken(error) => Err(error),
            });
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut inner.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.activity.record_received(Instant::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        if inner.linger.is_none() {
            self.activity.enter(Phase::Closing);
            ready!(Pin::new(&mut inner.stream).poll_shutdown(context))?;
        }
        inner.poll_linger(context).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().stream.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_write_vectored(context, pieces)
    }
}

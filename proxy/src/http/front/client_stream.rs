//! A client's connection: reads it into bounded memory, and notices whether the client is still there while its request
//! waits.
//!
//! The HTTP library reads a connection only as far as it has a use for the bytes. Behind an unanswered request it has
//! none, so that a client that sent anything more and then closed would go unseen. Here the connection is read ahead,
//! within a bound, for as long as a response is owed.

use super::activity::{Activity, Phase};
use super::input::Input;
use super::socket::Socket;
use super::throttle::{ConnectionThrottle, Throttle};
use crate::http::{ClientProbe, ClientStatus};
use crate::memory::{MemoryPool, ShedHandle, MAX_READ_BYTES};
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::{self, MaybeUninit};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::{sleep, sleep_until, timeout, Instant, Sleep};

/// Most bytes that are read ahead of an open request. Clients send one request at a time: whoever sends more than this
/// behind an unanswered one is none.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// How long a connection that is being closed is still read, and how much: a close over unread bytes would reset it,
/// and take the answer along that is still on its way.
const LINGER_TIME: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 << 10;
/// What a client is told that has stopped in the middle of a request.
pub(super) const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// What a client is told whose request is shed before its head is complete.
pub(super) const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.250\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

#[derive(Debug)]
struct Inner<S> {
    stream: S,
    /// What was read, and the library does not have yet.
    input: Input,
    /// What came behind the last byte, if anything has.
    end: Option<End>,
    linger: Option<Linger>,
    output: Output,
    throttle: ConnectionThrottle,
    /// The pause that the throttle demands.
    pause: Option<Pin<Box<Sleep>>>,
}

/// What is known of the bytes to the client.
#[derive(Debug, Default)]
struct Output {
    /// All that the library has written is out.
    flushed: bool,
    /// The response that is being written.
    response: Option<ShedHandle>,
}

impl Output {
    /// A response that its client does not read may be shed.
    fn record_write<T>(&mut self, written: &Poll<T>) {
        self.flushed = false;
        if let Some(response) = &self.response {
            response.set_sheddable(written.is_pending());
        }
    }
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

impl<S: Socket> ClientStream<S> {
    /// Wraps a connection, which reads into this pool.
    pub fn new(
        stream: S,
        activity: Rc<Activity>,
        pool: &MemoryPool,
        throttle: Rc<Throttle>,
    ) -> ClientStream<S> {
        let input = Input::new(pool.clone());
        let output = Output { flushed: true, response: None };
        let throttle = ConnectionThrottle::new(throttle);
        let inner = Inner { stream, input, end: None, linger: None, output, throttle, pause: None };
        ClientStream { inner: Rc::new(RefCell::new(inner)), activity }
    }

    /// Done once the client has gone, or behaves as no client does. Called only while its answer is owed.
    pub fn poll_disconnected(&self, context: &mut Context<'_>) -> Poll<()> {
        self.inner.borrow_mut().poll_ahead(context)
    }

    /// Whether bytes were read that the library would take.
    pub fn has_read_ahead(&self) -> bool {
        self.inner.borrow().input.is_ready()
    }

    /// Whether nothing of a further request is here: neither in hand nor waiting to be read.
    pub fn is_quiet(&self, context: &mut Context<'_>) -> bool {
        let mut inner = self.inner.borrow_mut();
        if !matches!(self.activity.phase(), Phase::New | Phase::Idle) || inner.end.is_some() {
            return false;
        }
        // Also where there is no memory to spare: what has come is not left unread.
        let read = inner.poll_piece(context, MAX_READ_BYTES, |input, bytes| input.add(bytes));
        read.is_pending() && inner.input.is_empty()
    }

    /// The library has a request's head.
    pub fn end_head(&self) {
        self.inner.borrow_mut().input.end_head();
    }

    /// A request has its response, with a handle to the memory that the response takes.
    pub fn end_request(&self, response: Option<ShedHandle>) {
        let mut inner = self.inner.borrow_mut();
        inner.input.begin_head();
        inner.output.response = response;
    }

    /// Counts a response that no host has worked for.
    pub fn record_local_response(&self) {
        self.inner.borrow_mut().throttle.record(Instant::now());
    }

    /// Whether the connection holds memory that others need, so that it is not to be kept open.
    pub fn holds_needed_memory(&self) -> bool {
        self.inner.borrow().input.holds_needed_memory()
    }

    /// Ready once the connection is to be shed.
    pub fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        let inner = self.inner.borrow();
        let response = inner.output.response.as_ref();
        if response.is_some_and(|response| response.poll_shed(context).is_ready()) {
            return Poll::Ready(());
        }
        inner.input.poll_shed(context)
    }

    /// Closes the connection, with a last answer to a request that has not come whole.
    pub async fn close_with(mut self, last_answer: Option<&[u8]>) {
        // The library, with its buffer, is gone.
        self.inner.borrow_mut().input.clear();
        let closing = async {
            // Within a response it would be taken for a part of it.
            let is_flushed = self.inner.borrow().output.flushed;
            if let Some(answer) = last_answer.filter(|_| is_flushed) {
                self.write_all(answer).await?;
            }
            self.shutdown().await
        };
        // Whoever does not read it gets the close alone.
        let _ = timeout(LINGER_TIME * 2, closing).await;
    }
}

impl<S: Socket> ClientProbe for ClientStream<S> {
    fn status(&self) -> ClientStatus {
        // The connection is in use only by those that would notice its end themselves.
        let Ok(inner) = self.inner.try_borrow() else { return ClientStatus::Connected };
        match inner.end {
            Some(_) => ClientStatus::Left,
            None => inner.stream.status(),
        }
    }
}

impl<S: Socket> Inner<S> {
    /// Reads ahead all that is there, as far as there is memory; done at the connection's end, or past the bound.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.end.is_none() && self.input.len() < MAX_READ_AHEAD_BYTES {
            // Without it the client's close is noticed before an attempt begins.
            if !self.input.try_room_ahead() {
                return Poll::Pending;
            }
            let read = self.poll_piece(context, MAX_READ_BYTES, |input, bytes| input.add(bytes));
            if read.is_pending() {
                self.input.release_surplus();
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }

    /// Reads a piece of at most so many bytes, or the connection's end.
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
        most: usize,
        take: impl FnOnce(&mut Input, &[u8]),
    ) -> Poll<()> {
        let mut piece = [MaybeUninit::uninit(); MAX_READ_BYTES];
        let mut piece = ReadBuf::uninit(&mut piece[..most.min(MAX_READ_BYTES)]);
        match ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece)) {
            Ok(()) if piece.filled().is_empty() => self.end = Some(End::Closed),
            Ok(()) => take(&mut self.input, piece.filled()),
            Err(error) => self.end = Some(End::Broken(error)),
        }
        Poll::Ready(())
    }

    /// Reads until something can be passed on, and passes it on.
    fn poll_input(&mut self, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        while self.end.is_none() && !self.input.is_ready() {
            ready!(self.poll_pause(context));
            ready!(self.input.poll_room(context));
            let mut is_passed = false;
            let read = self.poll_piece(context, buffer.remaining(), |input, bytes| {
                let bytes = input.without_empty_lines(bytes);
                is_passed = !bytes.is_empty() && input.is_passed_at_once(bytes);
                if is_passed {
                    buffer.put_slice(bytes);
                    input.record_passed(bytes);
                } else if !bytes.is_empty() {
                    input.add(bytes);
                }
            });
            if read.is_ready() && !is_passed && self.input.is_empty() && self.end.is_none() {
                // Empty lines and nothing else.
                self.throttle.record(Instant::now());
            }
            if is_passed || read.is_pending() {
                self.input.release_surplus();
                return read.map(Ok);
            }
        }
        if !self.input.is_empty() {
            self.input.pass(buffer.remaining(), |bytes| buffer.put_slice(bytes));
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(match self.end.as_mut().map(|end| mem::replace(end, End::Closed)) {
            Some(End::Broken(error)) => Err(error),
            Some(End::Closed) | None => Ok(()),
        })
    }

    /// Ready once the connection may be read again. A request that has begun is read on.
    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let now = Instant::now();
        let until = self.throttle.paused_until(now).filter(|_| self.input.is_between_requests());
        if let Some(until) = until {
            let pause = self.pause.get_or_insert_with(|| Box::pin(sleep_until(until)));
            pause.as_mut().reset(until);
            ready!(pause.as_mut().poll(context));
        }
        self.pause = None;
        Poll::Ready(())
    }

    /// Reads and drops what still comes, for a while.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Inner { stream, linger, .. } = self;
        let linger = linger.get_or_insert_with(Linger::begin);
        while linger.bytes_left > 0 && linger.until.as_mut().poll(context).is_pending() {
            let mut piece = [0; MAX_READ_BYTES];
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

impl<S: Socket> AsyncRead for ClientStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        let was_gathered = !inner.input.is_empty();
        let since = inner.input.since();
        let (before, gathered_before) = (buffer.filled().len(), inner.input.len());
        let read = inner.poll_input(context, buffer);
        let came_at = if was_gathered { since } else { Instant::now() };
        if buffer.filled().len() > before || inner.input.len() > gathered_before {
            self.activity.record_received(came_at);
        }
        read
    }
}

impl<S: Socket> AsyncWrite for ClientStream<S> {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let inner = &mut *self.inner.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write(context, bytes);
        inner.output.record_write(&written);
        written
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let inner = &mut *self.inner.borrow_mut();
        let flushed = Pin::new(&mut inner.stream).poll_flush(context);
        if flushed.is_ready() {
            inner.output.flushed = true;
        }
        flushed
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
        let inner = &mut *self.inner.borrow_mut();
        let written = Pin::new(&mut inner.stream).poll_write_vectored(context, pieces);
        inner.output.record_write(&written);
        written
    }
}

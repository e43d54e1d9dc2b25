//! Connections to hosts, and one exchange on one of them.

use super::surplus::HostSurplus;
use flaxhead_engine::{spawn, BoxError, Task, WriteMeter};
use flaxhead_policy::{LoadReport, Outcome};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Most bytes of a body, either way.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Most bytes of a head that are kept.
pub const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for the rest of an answer that is not passed on; past it the connection is given up instead.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);

/// Opens a TCP connection without Nagle's delay.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A connection to a host. It is closed when this is dropped, also with a request out on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    state: Rc<ConnectionState>,
    _task: Task,
    _slot: Rc<()>,
}

/// What a connection's stream shares with the exchanges on it.
#[derive(Debug)]
struct ConnectionState {
    /// Where the bytes of the attempt that has the connection now are counted.
    meter: RefCell<WriteMeter>,
    /// Since when no request is outstanding; `None` while one is.
    idle_since: Cell<Option<Instant>>,
    surplus: HostSurplus,
}

impl Connection {
    /// Opens a connection; `slot` is held for as long as it is open.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        slot: Rc<()>,
        surplus: HostSurplus,
    ) -> Result<Connection, BoxError> {
        let stream = timeout(limit, dial(address)).await??;
        let state = Rc::new(ConnectionState {
            meter: RefCell::default(),
            idle_since: Cell::new(Some(Instant::now())),
            surplus,
        });
        let io = Metered { io: TokioIo::new(stream), state: state.clone() };
        let (sender, connection) = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await?;
        Ok(Connection { sender, state, _task: spawn(connection), _slot: slot })
    }

    /// Whether a request can be written to it now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// How an exchange ended.
#[derive(Debug)]
pub struct Exchanged {
    /// How.
    pub outcome: Outcome,
    /// The host's report on its load.
    pub load: LoadReport,
    /// The answer to pass on, where it served.
    pub response: Option<Response<Bytes>>,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

impl Exchanged {
    /// One without an answer.
    pub fn without_response(outcome: Outcome) -> Exchanged {
        Exchanged { outcome, load: LoadReport::default(), response: None, connection: None }
    }
}

/// Sends a request on a connection and reads the whole answer. `None`: the connection was found closed before
/// any of the request was written.
pub async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    meter: &WriteMeter,
) -> Option<Exchanged> {
    connection.state.meter.replace(meter.clone());
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.bytes_written() == 0 => return None,
        Err(error) => return Some(Exchanged::without_response(outcome_of_error(&error))),
    };
    let (head, body) = response.into_parts();
    let load = head
        .headers
        .get("x-load-report")
        .and_then(|v| v.to_str().ok())
        .map(flaxhead_settings::parse_load_report)
        .unwrap_or_default();
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let (outcome, response, whole) = if head.status == StatusCode::OK {
        match body.await {
            Ok(body) => (Outcome::Served, Some(Response::from_parts(head, body.to_bytes())), true),
            // It has run, and what it said is lost.
            Err(error) => match error.downcast_ref::<hyper::Error>() {
                Some(error) => (outcome_of_error(error), None, false),
                None => (Outcome::Unknown, None, false),
            },
        }
    } else {
        // The outcome is known: a rest that breaks or stalls must not change it.
        let whole = matches!(timeout(DRAIN_TIMEOUT, body).await, Ok(Ok(_)));
        (outcome_of_status(head.status, &head.headers), None, whole)
    };
    // Ready again before the outcome is told: else the next request would find no idle connection.
    let again = whole && matches!(timeout(DRAIN_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
    connection.state.idle_since.set(Some(Instant::now()));
    Some(Exchanged { outcome, load, response, connection: again.then_some(connection) })
}

/// What an exchange proves that broke after writing. An answer that cannot be read is no reset, but the request
/// may have run as well.
fn outcome_of_error(error: &hyper::Error) -> Outcome {
    if error.is_parse() {
        Outcome::Unknown
    } else {
        Outcome::Reset
    }
}

/// What an answer other than 200 proves.
fn outcome_of_status(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get("x-rejected").is_some_and(|v| v == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        _ => Outcome::Unknown,
    }
}

/// Starts of a response by which a host may announce that it closes an idle connection (RFC 9110, 15.5.9).
const REQUEST_TIMEOUTS: [&[u8]; 2] = [b"HTTP/1.1 408", b"HTTP/1.0 408"];

/// Whether nothing stands to be read on a connection, neither bytes nor its end, by the system's word of this moment. A
/// connection that is broken shows when it is written to.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_err()
}

/// A stream that counts what is written to it, and notices what comes on it without a request.
struct Metered {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
}

impl Metered {
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

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.notice_surplus(context);
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl Write for Metered {
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

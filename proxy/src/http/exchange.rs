//! Connections to hosts, and one exchange on one of them.

use super::client_probe::ClientProbe;
use super::stream::{ConnectionState, HostStream};
use super::surplus::HostSurplus;
use crate::memory::{collect, compact_headers, CollectError, MemoryPool, Reserve};
use flaxhead_engine::{spawn, BoxError, Task, WriteMeter};
use flaxhead_policy::{LoadReport, Outcome};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

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

impl Connection {
    /// Opens a connection; `slot` is held for as long as it is open.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        slot: Rc<()>,
        surplus: HostSurplus,
        pool: &MemoryPool,
    ) -> Result<Connection, BoxError> {
        let stream = timeout(limit, dial(address)).await??;
        let state = Rc::new(ConnectionState::new(surplus, pool));
        let io = HostStream::new(stream, state.clone());
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
    client: Rc<dyn ClientProbe>,
    pool: &MemoryPool,
) -> Option<Exchanged> {
    connection.state.begin(meter, client);
    let response = match connection.sender.send_request(request).await {
        Ok(response) => response,
        Err(_) if meter.bytes_written() == 0 => return None,
        Err(error) => return Some(Exchanged::without_response(outcome_of_error(&error))),
    };
    connection.state.end_head();
    let (head, body) = response.into_parts();
    let load = head
        .headers
        .get("x-load-report")
        .and_then(|report| report.to_str().ok())
        .map(flaxhead_settings::parse_load_report)
        .unwrap_or_default();
    let (outcome, response, whole) = if head.status == StatusCode::OK {
        match read_response(head, body, pool).await {
            Ok(response) => (Outcome::Served, Some(response), true),
            // It has run, and what it said is lost.
            Err(CollectError::Broken(error)) => (outcome_of_error(&error), None, false),
            Err(_) => (Outcome::Unknown, None, false),
        }
    } else {
        // The outcome is known: a rest that breaks or stalls must not change it.
        let whole = matches!(timeout(DRAIN_TIMEOUT, drain(body)).await, Ok(true));
        (outcome_of_status(head.status, &head.headers), None, whole)
    };
    // Ready again before the outcome is told: else the next request would find no idle connection.
    // A buffer that has grown stays as it is while the connection lasts.
    let reusable = whole && (!connection.state.has_grown() || pool.has_spare());
    let again = reusable && matches!(timeout(DRAIN_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
    connection.state.end();
    Some(Exchanged { outcome, load, response, connection: again.then_some(connection) })
}

/// Reads a response whole, into memory that is reserved for it.
async fn read_response(
    mut head: Parts,
    body: Incoming,
    pool: &MemoryPool,
) -> Result<Response<Bytes>, CollectError> {
    head.headers = compact_headers(&head.headers, pool.reservation()).await?;
    let reservation = pool.reservation();
    // For whoever writes it: a response that its client does not read may be shed.
    head.extensions.insert(reservation.handle());
    let body = collect(body, MAX_BODY_BYTES, Reserve::Announced, reservation).await?;
    Ok(Response::from_parts(head, body))
}

/// Reads the rest of a body and drops it. Returns whether it has ended within its limit.
async fn drain(mut body: Incoming) -> bool {
    let mut left = MAX_BODY_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let length = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(length) else { return false };
        left = rest;
    }
    true
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
    let unseen = headers.get("x-rejected").is_some_and(|value| value == "1");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => Outcome::Error,
        _ => Outcome::Unknown,
    }
}

//! The transport: drives a [`Subchannel`] for each host, and one exchange on a stream of one of its connections.

use super::connection::{open, News, Opened, Orders};
use super::subchannel::{ConnectionId, Do, Scaling, Subchannel, Ticket};
use crate::grpc::{self, Answer, Code};
use bytes::{Bytes, BytesMut};
use flaxhead_engine::{AttemptResult, AttemptTarget, Transport, WriteMeter};
use flaxhead_policy::{LoadReport, Micros, Outcome, ServerId};
use h2::client::SendRequest;
use h2::{Reason, RecvStream};
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{HeaderMap, Method, Request, Uri, Version};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Times that a call may find that the connection it was given takes nothing new. Each time it was not sent.
const TURNS: usize = 8;

/// A call as hosts get it.
#[derive(Debug)]
pub struct Forward {
    /// `/package.Service/Method`.
    pub path: PathAndQuery,
    /// Its metadata, without what belongs to a connection or an attempt.
    pub headers: HeaderMap,
    /// Its messages, framed.
    pub body: Bytes,
    /// Statuses after which it may go again; `None`: those that tell of trouble.
    pub retryable: Option<Arc<[Code]>>,
    /// Times it has been sent, by layers above and here.
    pub tries: Cell<u32>,
    /// The last answer that was not passed on.
    pub last: Rc<RefCell<Option<Answer>>>,
}

/// Bounds of the transport.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Of the connections to each host.
    pub scaling: Scaling,
    /// When a connection must be up.
    pub connect_timeout: Duration,
    /// Most bytes of an answer.
    pub answer_most: usize,
}

/// Connections to hosts over HTTP/2.
#[derive(Clone, Debug)]
pub struct Http2(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    spec: Spec,
    start: Instant,
    seats: HashMap<ServerId, Seat>,
    next: Ticket,
    counts: Counts,
}

/// Figures for the log.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    opened: u64,
    open_failed: u64,
    refused_streams: u64,
    gone_away: u64,
}

#[derive(Debug)]
struct Seat {
    dial: Option<SocketAddr>,
    subchannel: Subchannel,
    connections: HashMap<ConnectionId, Wire>,
    waiting: HashMap<Ticket, oneshot::Sender<Lease>>,
}

/// A connection that takes new calls.
#[derive(Clone, Debug)]
struct Wire {
    sender: SendRequest<Bytes>,
    orders: Rc<Orders>,
}

/// A stream on a connection: counted until this is dropped.
#[derive(Debug)]
struct Lease {
    http2: Http2,
    server: ServerId,
    connection: ConnectionId,
    wire: Wire,
    /// When an exchange on it is overdue; `None`: none is out.
    due: Cell<Option<Instant>>,
}

impl Drop for Lease {
    fn drop(&mut self) {
        // One that is called off sooner says nothing of the connection.
        if self.due.get().is_some_and(|due| Instant::now() >= due) {
            self.wire.orders.suspect.notify_one();
        }
        let connection = self.connection;
        self.http2.tell(self.server, |seat, now, out| seat.subchannel.finished(now, connection, out));
    }
}

/// A call that waits for a stream: dropped, it waits no longer.
struct Place {
    http2: Http2,
    server: ServerId,
    ticket: Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.http2.tell(self.server, |seat, _, _| {
            seat.waiting.remove(&ticket);
            seat.subchannel.leave(ticket);
        });
    }
}

impl Http2 {
    /// Without a connection.
    pub fn new(spec: Spec) -> Http2 {
        let (seats, counts) = (HashMap::new(), Counts::default());
        Http2(Rc::new(RefCell::new(State { spec, start: Instant::now(), seats, next: 0, counts })))
    }

    /// Tells a host's subchannel something, and does what it says.
    fn tell(&self, server: ServerId, what: impl FnOnce(&mut Seat, Micros, &mut Vec<Do>)) {
        let mut out = Vec::new();
        {
            let state = &mut *self.0.borrow_mut();
            let now = state.start.elapsed().as_micros() as Micros;
            let Some(seat) = state.seats.get_mut(&server) else { return };
            what(seat, now, &mut out);
        }
        // Nothing is borrowed here: whatever a step drops may come back to `tell`.
        for step in out {
            self.carry_out(server, step);
        }
    }

    fn carry_out(&self, server: ServerId, step: Do) {
        match step {
            Do::Start { ticket, connection } => {
                let found = {
                    let mut state = self.0.borrow_mut();
                    state.seats.get_mut(&server).and_then(|seat| {
                        Some((seat.waiting.remove(&ticket), seat.connections.get(&connection)?.clone()))
                    })
                };
                let Some((waiting, wire)) = found else { return };
                let lease = Lease { http2: self.clone(), server, connection, wire, due: Cell::new(None) };
                // One that has just gone gives its stream back.
                if let Some(waiting) = waiting {
                    drop(waiting.send(lease));
                }
            }
            Do::Fail { ticket } => {
                let mut state = self.0.borrow_mut();
                let waiting = state.seats.get_mut(&server).and_then(|seat| seat.waiting.remove(&ticket));
                drop(state);
                drop(waiting);
            }
            Do::Connect { connection } => {
                let (address, limit) = {
                    let state = self.0.borrow();
                    let dial = state.seats.get(&server).and_then(|seat| seat.dial);
                    (dial, state.spec.connect_timeout)
                };
                let Some(address) = address else { return };
                let http2 = self.clone();
                spawn_local(async move { http2.connect(server, connection, address, limit).await });
            }
            Do::WakeAt(at) => {
                let (http2, start) = (self.clone(), self.0.borrow().start);
                spawn_local(async move {
                    sleep_until(start + Duration::from_micros(at)).await;
                    http2.tell(server, |seat, now, out| seat.subchannel.tick(now, out));
                });
            }
        }
    }

    /// Opens a connection and serves it until it ends.
    async fn connect(self, server: ServerId, id: ConnectionId, address: SocketAddr, limit: Duration) {
        let opened = match open(address, limit).await {
            Ok(opened) => opened,
            Err(error) => {
                tracing::info!("server {}: {error}", server.0);
                self.0.borrow_mut().counts.open_failed += 1;
                let spread = rand::random();
                return self.tell(server, |seat, now, out| seat.subchannel.failed(now, id, spread, out));
            }
        };
        self.0.borrow_mut().counts.opened += 1;
        let orders = Rc::new(Orders::default());
        let (wire, streams) =
            (Wire { sender: opened.sender.clone(), orders: orders.clone() }, opened.limit());
        let wanted = Rc::new(Cell::new(false));
        let told = wanted.clone();
        self.tell(server, move |seat, now, out| {
            // It is there before a call is started on it.
            seat.connections.insert(id, wire);
            told.set(seat.subchannel.connected(now, id, streams, out));
            if !told.get() {
                seat.connections.remove(&id);
            }
        });
        if wanted.get() {
            self.serve(server, id, opened, orders, limit).await;
        }
    }

    async fn serve(
        &self,
        server: ServerId,
        id: ConnectionId,
        opened: Opened,
        orders: Rc<Orders>,
        limit: Duration,
    ) {
        let tell = |news| {
            self.tell(server, |seat, now, out| match news {
                News::Limit(streams) => seat.subchannel.limit(now, id, streams, out),
                News::Lost => {
                    seat.connections.remove(&id);
                    seat.subchannel.lost(now, id, out);
                }
            });
        };
        opened.serve(orders, limit, tell).await;
    }

    /// Has a call wait for a stream.
    fn queue(&self, server: ServerId) -> (Place, oneshot::Receiver<Lease>) {
        let (sender, lease) = oneshot::channel();
        let ticket = {
            let mut state = self.0.borrow_mut();
            state.next += 1;
            state.next
        };
        self.tell(server, |seat, now, out| {
            seat.waiting.insert(ticket, sender);
            seat.subchannel.call(now, ticket, out);
        });
        (Place { http2: self.clone(), server, ticket }, lease)
    }

    async fn attempt(
        self,
        target: AttemptTarget,
        mut queued: (Place, oneshot::Receiver<Lease>),
        forward: Rc<Forward>,
        meter: WriteMeter,
    ) -> AttemptResult<Answer> {
        for _ in 0..TURNS {
            // Without a lease there is no connection, and none is coming.
            let Ok(lease) = (&mut queued.1).await else { break };
            if meter.is_withdrawn() {
                return AttemptResult::without_response(Outcome::NotSent);
            }
            let mut sender = lease.wire.sender.clone();
            let Ok(request) = forward.request(&target) else {
                return AttemptResult::without_response(Outcome::NotSent);
            };
            // Written to a buffer here, and to the socket in this same step or a later one.
            meter.set_bytes_written(1);
            match sender.send_request(request, forward.body.is_empty()) {
                Ok((response, mut stream)) => {
                    forward.tries.set(forward.tries.get() + 1);
                    lease.due.set(Some(target.deadline));
                    if !forward.body.is_empty() {
                        // Where the stream has been reset, the response says so.
                        let _ = stream.send_data(forward.body.clone(), true);
                    }
                    drop(sender);
                    return self.exchange(&forward, lease, response).await;
                }
                Err(_) => {
                    // It takes nothing new, and nothing was written.
                    meter.set_bytes_written(0);
                    let connection = lease.connection;
                    self.tell(target.server, |seat, now, out| {
                        seat.connections.remove(&connection);
                        seat.subchannel.lost(now, connection, out);
                    });
                    drop(lease);
                    queued = self.queue(target.server);
                }
            }
        }
        AttemptResult::without_response(Outcome::NoConnection)
    }

    async fn exchange(
        &self,
        forward: &Forward,
        lease: Lease,
        response: h2::client::ResponseFuture,
    ) -> AttemptResult<Answer> {
        let (parts, body) = match response.await {
            Ok(response) => response.into_parts(),
            Err(error) => {
                lease.due.set(None);
                return AttemptResult::without_response(self.broken(&error, true));
            }
        };
        let most = self.0.borrow().spec.answer_most;
        let (body, trailers) = match read(body, most).await {
            Ok(read) => read,
            Err(error) => {
                lease.due.set(None);
                let outcome = error.map_or(Outcome::Unknown, |error| self.broken(&error, false));
                return AttemptResult::without_response(outcome);
            }
        };
        lease.due.set(None);
        let mut answer = Answer { headers: parts.headers, body, trailers };
        let load = report(&answer);
        let (outcome, last) = grpc::verdict(parts.status, &mut answer, forward.retryable.as_deref());
        let response = if last { Some(answer) } else { forward.last.replace(Some(answer)).and(None) };
        AttemptResult { outcome, load, response }
    }

    /// What a broken exchange proves. That it never ran a peer says by REFUSED_STREAM, or by a GOAWAY with a last
    /// stream below (RFC 9113, sections 8.7 and 6.8); once it has begun to answer, neither can be true.
    fn broken(&self, error: &h2::Error, unanswered: bool) -> Outcome {
        let counts = &mut self.0.borrow_mut().counts;
        // A stream ends by a remote GOAWAY only where it is above the last one that the peer took.
        if unanswered && error.is_remote() && error.is_go_away() {
            counts.gone_away += 1;
            Outcome::Rejected
        } else if unanswered && error.is_remote() && error.reason() == Some(Reason::REFUSED_STREAM) {
            counts.refused_streams += 1;
            Outcome::Rejected
        } else if error.is_io() || error.is_reset() {
            Outcome::Reset
        } else {
            Outcome::Unknown
        }
    }
}

/// The host's word on its load, in its headers or trailers.
fn report(answer: &Answer) -> LoadReport {
    let field = answer.field(&http::HeaderName::from_static("x-load-report"));
    field.and_then(|value| value.to_str().ok()).map(flaxhead_settings::parse_load_report).unwrap_or_default()
}

/// Reads an answer whole. `Err(None)`: it is too long.
async fn read(mut body: RecvStream, most: usize) -> Result<(Bytes, Option<HeaderMap>), Option<h2::Error>> {
    let mut whole = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        if whole.len() + data.len() > most {
            return Err(None);
        }
        whole.extend_from_slice(&data);
        // Fails only where the stream has ended.
        let _ = body.flow_control().release_capacity(data.len());
    }
    Ok((whole.freeze(), body.trailers().await?))
}

impl Forward {
    /// The head for one attempt.
    fn request(&self, target: &AttemptTarget) -> Result<Request<()>, http::Error> {
        let authority = Authority::try_from(target.address.to_string())?;
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(authority)
            .path_and_query(self.path.clone())
            .build()?;
        let mut request =
            Request::builder().method(Method::POST).uri(uri).version(Version::HTTP_2).body(())?;
        let mut headers = self.headers.clone();
        let left = target.deadline.saturating_duration_since(Instant::now());
        headers.insert(grpc::TIMEOUT, grpc::timeout_value(left));
        match self.tries.get() {
            0 => drop(headers.remove(grpc::PREVIOUS_ATTEMPTS)),
            tries => drop(headers.insert(grpc::PREVIOUS_ATTEMPTS, tries.into())),
        }
        *request.headers_mut() = headers;
        Ok(request)
    }
}

impl Transport for Http2 {
    type Request = Forward;
    type Response = Answer;

    fn set_endpoint(&self, server: ServerId, dial: Option<SocketAddr>, restarted: bool) {
        let mut state = self.0.borrow_mut();
        let scaling = state.spec.scaling;
        let seat = state.seats.entry(server).or_insert_with(|| Seat {
            dial: None,
            subchannel: Subchannel::new(scaling),
            connections: HashMap::new(),
            waiting: HashMap::new(),
        });
        if dial.is_none() || restarted {
            for id in seat.subchannel.retire() {
                if let Some(wire) = seat.connections.remove(&id) {
                    wire.orders.retire.notify_one();
                }
            }
        }
        seat.dial = dial;
    }

    fn remove_endpoint(&self, server: ServerId) {
        self.set_endpoint(server, None, true);
        let seat = self.0.borrow_mut().seats.remove(&server);
        drop(seat);
    }

    fn send(
        &self,
        target: AttemptTarget,
        forward: &Rc<Forward>,
        meter: &WriteMeter,
    ) -> impl Future<Output = AttemptResult<Answer>> + use<> + 'static {
        let queued = self.queue(target.server);
        self.clone().attempt(target, queued, forward.clone(), meter.clone())
    }

    fn stats(&self) -> impl Debug {
        let state = self.0.borrow();
        let (mut connections, mut streams, mut waiting) = (0, 0, 0);
        for (c, s, w) in state.seats.values().map(|seat| seat.subchannel.figures()) {
            (connections, streams, waiting) = (connections + c, streams + s, waiting + w);
        }
        Figures { connections, streams, waiting, counts: state.counts }
    }
}

/// Connections, as the log shows them.
#[derive(Debug)]
#[expect(dead_code, reason = "read by Debug")]
struct Figures {
    connections: usize,
    streams: usize,
    waiting: usize,
    counts: Counts,
}

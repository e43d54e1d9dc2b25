//! One client's connection, from its first byte to its end.

use super::abandoned::{must_run_once, GuardedCall, IdHash};
use super::activity::{Activity, Phase};
use super::answer::{failed, plain, rejected, served, shed, Answer, HostWork};
use super::client_stream::{ClientStream, REFUSAL, REQUEST_TIMEOUT};
use super::request::read_request;
use super::socket::Socket;
use super::Driver;
use crate::features::access::{self, Admitted};
use crate::http::exchange::MAX_HEAD_BYTES;
use crate::http::{code, Forward, Reply};
use flaxhead_engine::{CallPermit, CallSpec};
use flaxhead_policy::Access;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at, Instant};

/// Time for a further request's head, from the last answer: a client that says nothing more is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a request may stop in its middle: a peer that sends no whole one is owed an error or a close within 3 s.
const STALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How far the proxy's stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownStage {
    /// It has not begun.
    Serving,
    /// Connections without a request are closed.
    Closing,
    /// All that was open has been answered: what still comes whole is refused.
    Answered,
}

/// How a client's connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// It is closed, or is to be.
    Closed,
    /// Its memory is needed by others: what has come of a request is to be refused.
    Shed,
    /// Its client has stopped in the middle of a request.
    Stalled,
}

/// A client's connection as the HTTP library serves it.
type Connection<'a, S, A> = Pin<&'a mut http1::Connection<TokioIo<ClientStream<S>>, A>>;

/// What a client's connection needs to be served.
pub(super) struct ClientConnection {
    pub(super) driver: Driver,
    /// What the connection does, for those that decide about it.
    pub(super) activity: Rc<Activity>,
    /// How far the proxy's stop has come.
    pub(super) stage: watch::Receiver<ShutdownStage>,
    /// When its first request must have come, whole.
    pub(super) first_due: Instant,
}

impl ClientConnection {
    /// Serves a connection if it may come.
    pub(super) async fn admit(self, access: &Access, stream: TcpStream, peer: IpAddr) {
        match timeout_at(self.first_due, access::admit(access, stream, peer)).await {
            Ok(Ok(Admitted { client, stream })) => {
                tracing::info!(client = %client, "connected from {peer}");
                self.serve(stream).await;
            }
            Ok(Err((client, reason))) => tracing::info!(client = %client, "closed: {reason}"),
            Err(_) => tracing::info!(client = %peer, "closed: it did not begin in time"),
        }
    }

    /// Answers what comes on a connection, until it ends.
    pub(super) async fn serve(self, stream: impl Socket) {
        let stream = ClientStream::new(
            stream,
            self.activity.clone(),
            &self.driver.memory.requests,
            self.driver.throttle.clone(),
        );
        // What the library holds of the connection is gone before a refusal is written.
        let end = self.serve_requests(&stream).await;
        let last_answer = match end {
            ConnectionEnd::Closed => return,
            ConnectionEnd::Shed if self.activity.phase() != Phase::Reading => None,
            ConnectionEnd::Shed => Some(REFUSAL),
            ConnectionEnd::Stalled => Some(REQUEST_TIMEOUT),
        };
        self.activity.enter(Phase::Closing);
        stream.close_with(last_answer).await;
    }

    async fn serve_requests<S: Socket>(&self, stream: &ClientStream<S>) -> ConnectionEnd {
        let service =
            service_fn(|request| async { Ok::<_, Infallible>(self.respond(request, stream).await) });
        let connection = pin!(http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service));
        let mut ended = pin!(self.until_ended(connection, stream));
        match timeout_at(self.first_due, &mut ended).await {
            Ok(end) => end,
            Err(_) if self.activity.has_had_request() => ended.await,
            Err(_) => ConnectionEnd::Closed,
        }
    }

    /// Drives a connection until it ends, or its client goes while an answer is owed.
    async fn until_ended<S, A>(
        &self,
        mut connection: Connection<'_, S, A>,
        stream: &ClientStream<S>,
    ) -> ConnectionEnd
    where
        S: Socket,
        A: Service<Request<Incoming>, Response = Answer, Error = Infallible>,
    {
        let mut stage = self.stage.clone();
        let mut stop = pin!(async move {
            // Nobody is left to say it once the whole proxy has ended.
            let _ = stage.wait_for(|stage| *stage != ShutdownStage::Serving).await;
        });
        let mut stall = pin!(self.stalled());
        let (mut stops, mut ends_soon) = (false, false);
        let waits = || self.activity.phase() == Phase::Responding;
        let ended = poll_fn(|context| {
            stops = stops || stop.as_mut().poll(context).is_ready();
            // Once more where the library is not woken: for what was read ahead of it, or for a stop.
            for _ in 0..2 {
                // What has come by then is read and answered: only a connection without any of a request is closed.
                if stops && !ends_soon && (waits() || stream.is_quiet(context)) {
                    connection.as_mut().graceful_shutdown();
                    ends_soon = true;
                }
                if connection.as_mut().poll(context).is_ready() {
                    return Poll::Ready(ConnectionEnd::Closed);
                }
                if waits() || !stream.has_read_ahead() && (ends_soon || !stops) {
                    break;
                }
            }
            // A connection that ends here ends its request's waiting, which tells the module.
            if waits() && stream.poll_disconnected(context).is_ready() {
                return Poll::Ready(ConnectionEnd::Closed);
            }
            if stall.as_mut().poll(context).is_ready() {
                return Poll::Ready(ConnectionEnd::Stalled);
            }
            stream.poll_shed(context).map(|()| ConnectionEnd::Shed)
        });
        ended.await
    }

    /// Waits until the client has stopped in the middle of a request.
    async fn stalled(&self) {
        loop {
            let age = match self.activity.phase() {
                Phase::Reading => self.activity.age(),
                _ => Duration::ZERO,
            };
            match STALL_TIMEOUT.checked_sub(age).filter(|left| !left.is_zero()) {
                Some(left) => sleep(left).await,
                None => return,
            }
        }
    }

    /// Answers a request, and notes what the connection does meanwhile.
    async fn respond<S: Socket>(&self, request: Request<Incoming>, stream: &ClientStream<S>) -> Answer {
        self.activity.enter(Phase::Reading);
        stream.end_head();
        let mut answer = self.answer(request, stream).await;
        if stream.holds_needed_memory() {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let host_work = answer.extensions_mut().remove::<HostWork>();
        if host_work.is_none() {
            stream.record_local_response();
        }
        stream.end_request(host_work.and_then(|work| work.memory));
        self.activity.enter(Phase::Idle);
        answer
    }

    async fn answer<S: Socket>(&self, request: Request<Incoming>, stream: &ClientStream<S>) -> Answer {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/_health") => self.health(),
            (_, "/_health") => plain(StatusCode::METHOD_NOT_ALLOWED),
            // Boxed: a connection without a request does not have it.
            (_, "/api") => Box::pin(self.call(request, stream)).await,
            _ => plain(StatusCode::NOT_FOUND),
        }
    }

    fn health(&self) -> Answer {
        self.activity.record_request();
        plain(match self.driver.engine.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    }

    /// Hands a call to the engine, and tells its client what became of it.
    async fn call<S: Socket>(&self, request: Request<Incoming>, stream: &ClientStream<S>) -> Answer {
        let arrived = self.activity.received();
        let (ask, forward) = match read_request(&self.driver, request, arrived, Rc::new(stream.clone())).await
        {
            Ok(taken) => taken,
            Err(StatusCode::SERVICE_UNAVAILABLE) => return shed(),
            Err(status) => return plain(status),
        };
        self.activity.record_request();
        self.activity.enter(Phase::Responding);
        let guarded_id =
            must_run_once(&self.driver, ask.class).then(|| self.driver.abandoned.hash(call_id(&forward)));
        if guarded_id.is_some_and(|id| self.driver.abandoned.contains(id)) {
            tracing::info!("failed: a call came again whose client had left, and a host may have run it");
            return plain(StatusCode::BAD_GATEWAY);
        }
        // A client that goes meanwhile leaves its queue.
        let ticket = match &self.driver.queues {
            None => None,
            Some(queues) => match queues.admit(&ask).await {
                Ok(ticket) => Some(ticket),
                Err(after) => return rejected(StatusCode::SERVICE_UNAVAILABLE, after),
            },
        };
        // Also where it was admitted just before: the engine completes nothing that comes later.
        if *self.stage.borrow() == ShutdownStage::Answered {
            return rejected(StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO);
        }
        let reply = self.reply(ask, forward, ticket, guarded_id).await;
        match (code(&reply), reply) {
            (_, Reply::Served(answer)) => served(answer),
            (code, Reply::Rejected(after)) => rejected(code, after),
            (code, Reply::Failed) => failed(code),
        }
    }

    /// Waits for a call's reply. Where its client leaves meanwhile, a call that must run once is remembered.
    async fn reply(
        &self,
        ask: CallSpec,
        forward: Forward,
        ticket: Option<Box<dyn CallPermit>>,
        guarded_id: Option<IdHash>,
    ) -> Reply {
        let pending = self.driver.engine.request(ask, forward, ticket);
        match guarded_id {
            Some(id) => GuardedCall::new(pending, id, self.driver.abandoned.clone()).reply().await,
            None => pending.reply().await,
        }
    }
}

fn call_id(forward: &Forward) -> &[u8] {
    forward.headers.get("x-call-id").map_or(&[], HeaderValue::as_bytes)
}

//! One client's connection, from its first byte to its end.

use super::answer::{plain, refused, served, Answer};
use super::presence::{Activity, ClientStream, Phase};
use super::request::take_in;
use super::Driver;
use crate::features::access::{self, Admitted};
use crate::http::exchange::HEAD_MOST;
use crate::http::{code, Reply};
use flaxhead_policy::Access;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

/// Time for a further request's head, from the last answer: a client that says nothing more is closed.
const HEAD_TIME: Duration = Duration::from_secs(60);

/// How far the proxy's stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It has not begun.
    Serving,
    /// Connections without a request are closed.
    Closing,
    /// All that was open has been answered: what still comes whole is refused.
    Answered,
}

/// What a client's connection needs to be served.
pub(super) struct Conversation {
    pub(super) driver: Driver,
    /// What the connection does, for those that decide about it.
    pub(super) activity: Rc<Activity>,
    /// How far the proxy's stop has come.
    pub(super) stage: watch::Receiver<Stage>,
    /// When its first request must have come, whole.
    pub(super) first_due: Instant,
}

impl Conversation {
    /// Serves a connection if it may come.
    pub(super) async fn begin(self, access: &Access, stream: TcpStream, peer: IpAddr) {
        match timeout_at(self.first_due, access::admit(access, stream, peer)).await {
            Ok(Ok(Admitted { client, stream })) => {
                tracing::info!(client = %client, "connected from {peer}");
                self.hold(stream).await;
            }
            Ok(Err((client, reason))) => tracing::info!(client = %client, "closed: {reason}"),
            Err(_) => tracing::info!(client = %peer, "closed: it did not begin in time"),
        }
    }

    /// Answers what comes on a connection, until it ends.
    pub(super) async fn hold(self, stream: impl AsyncRead + AsyncWrite + Unpin + 'static) {
        let Conversation { driver, activity, mut stage, first_due } = self;
        let stream = ClientStream::new(stream, activity.clone());
        let proper = Rc::new(Cell::new(false));
        let service = service_fn({
            let (activity, proper, stage) = (activity.clone(), proper.clone(), stage.clone());
            move |request| {
                let (driver, activity, proper) = (driver.clone(), activity.clone(), proper.clone());
                let stage = stage.clone();
                async move {
                    activity.enter(Phase::Reading);
                    let answer = answer(driver, request, &activity, &proper, &stage).await;
                    activity.enter(Phase::Resting);
                    Ok::<_, Infallible>(answer)
                }
            }
        });
        let mut connection = pin!(hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream.clone()), service));
        let mut stop = pin!(async move {
            // Nobody is left to say it once the whole proxy has ended.
            let _ = stage.wait_for(|stage| *stage != Stage::Serving).await;
        });
        let (mut stops, mut ends_soon) = (false, false);
        let mut held = pin!(poll_fn(|context| {
            stops = stops || stop.as_mut().poll(context).is_ready();
            // Once more where the library is not woken: for what was read ahead of it, or for a stop.
            for _ in 0..2 {
                let waits = activity.phase() == Phase::Waiting;
                // What has come by then is read and answered: only a connection without any of a request is closed.
                if stops && !ends_soon && (waits || stream.is_quiet(context)) {
                    connection.as_mut().graceful_shutdown();
                    ends_soon = true;
                }
                if connection.as_mut().poll(context).is_ready() {
                    return Poll::Ready(());
                }
                let waits = activity.phase() == Phase::Waiting;
                if waits || !stream.has_ahead() && (ends_soon || !stops) {
                    break;
                }
            }
            // A connection that ends here ends its request's waiting, which tells the module.
            match activity.phase() {
                Phase::Waiting => stream.poll_departed(context),
                _ => Poll::Pending,
            }
        }));
        if timeout_at(first_due, &mut held).await.is_err() && proper.get() {
            held.await;
        }
    }
}

/// Answers a request; `proper` is set once one has come whole.
async fn answer(
    driver: Driver,
    request: Request<Incoming>,
    activity: &Activity,
    proper: &Cell<bool>,
    stage: &watch::Receiver<Stage>,
) -> Answer {
    let arrived = activity.received();
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_health") => {
            proper.set(true);
            plain(if driver.engine.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        (_, "/_health") => plain(StatusCode::METHOD_NOT_ALLOWED),
        (_, "/api") => match take_in(&driver, request, arrived).await {
            Ok((ask, forward)) => {
                proper.set(true);
                activity.enter(Phase::Waiting);
                if *stage.borrow() == Stage::Answered {
                    return refused(StatusCode::SERVICE_UNAVAILABLE, Duration::ZERO);
                }
                // A client that goes meanwhile leaves its line.
                let ticket = match &driver.lines {
                    None => None,
                    Some(lines) => match lines.enter(&ask).await {
                        Ok(ticket) => Some(ticket),
                        Err(after) => return refused(StatusCode::SERVICE_UNAVAILABLE, after),
                    },
                };
                let reply = driver.engine.request(ask, forward, ticket).reply().await;
                match (code(&reply), reply) {
                    (_, Reply::Served(answer)) => served(answer),
                    (code, Reply::Refused(after)) => refused(code, after),
                    (code, Reply::Failed) => plain(code),
                }
            }
            Err(status) => plain(status),
        },
        _ => plain(StatusCode::NOT_FOUND),
    }
}

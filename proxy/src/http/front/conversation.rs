//! One client's connection, from its first byte to its end.

use super::answer::{plain, refused, served, Answer};
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
use hyper_util::server::graceful::Watcher;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Time for a further request's head, from the last answer: a client that says nothing more is closed.
const HEAD_TIME: Duration = Duration::from_secs(60);

/// What a client's connection needs to be served.
pub(super) struct Conversation {
    pub(super) driver: Driver,
    pub(super) idle: Rc<Cell<Option<Instant>>>,
    pub(super) watcher: Watcher,
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
        let Conversation { driver, idle, watcher, first_due } = self;
        let proper = Rc::new(Cell::new(false));
        let first = proper.clone();
        let service = service_fn(move |request| {
            let (driver, state, first) = (driver.clone(), idle.clone(), first.clone());
            async move {
                state.set(None);
                let answer = answer(driver, request, &first).await;
                state.set(Some(Instant::now()));
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(HEAD_MOST)
            .serve_connection(TokioIo::new(stream), service);
        // A connection that breaks ends its request's waiting, which tells the module.
        let mut connection = pin!(watcher.watch(connection));
        if timeout_at(first_due, &mut connection).await.is_err() && proper.get() {
            let _ = connection.await;
        }
    }
}

/// Answers a request; `proper` is set once one has come whole.
async fn answer(driver: Driver, request: Request<Incoming>, proper: &Cell<bool>) -> Answer {
    let arrived = Instant::now();
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/_health") => {
            proper.set(true);
            plain(if driver.engine.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        (_, "/_health") => plain(StatusCode::METHOD_NOT_ALLOWED),
        (_, "/api") => match take_in(&driver, request, arrived).await {
            Ok((ask, forward)) => {
                proper.set(true);
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

//! PollSet of discovery that wait for their response. One that is slow may still be answered, and one that was lost never
//! will be: the next goes out beside those that wait, and the first response counts.

use crate::error::WatchError;
use flaxhead_engine::{spawn, Task};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Most polls that wait at a time: the oldest is given up for a further one.
const MAX_PENDING: usize = 3;

/// A poll that was answered.
pub(crate) struct PollResponse {
    /// The response's body, on which lists come.
    pub(crate) body: Incoming,
    /// Its connection, which is open for as long as this is kept.
    pub(crate) _connection: Task,
}

type PendingPoll = Pin<Box<dyn Future<Output = Result<PollResponse, WatchError>>>>;

/// The polls of one watch.
pub(crate) struct PollSet {
    discovery: SocketAddr,
    pending: VecDeque<PendingPoll>,
}

impl PollSet {
    /// None so far.
    pub(crate) fn new(discovery: SocketAddr) -> PollSet {
        PollSet { discovery, pending: VecDeque::new() }
    }

    /// PollSet once more, beside those that wait, and waits at most so long for a response to any. After one, good or bad,
    /// none waits any more.
    pub(crate) async fn poll(
        &mut self,
        since: Option<u64>,
        response_timeout: Duration,
    ) -> Result<PollResponse, WatchError> {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Box::pin(request_list(self.discovery, since)));
        let first = poll_fn(|context| {
            let mut results = self.pending.iter_mut().map(|pending| pending.as_mut().poll(context));
            results.find(Poll::is_ready).unwrap_or(Poll::Pending)
        });
        let first = timeout(response_timeout, first).await;
        let first = first.map_err(|_| WatchError::ResponseTimeout(response_timeout))?;
        self.pending.clear();
        first
    }
}

async fn request_list(discovery: SocketAddr, since: Option<u64>) -> Result<PollResponse, WatchError> {
    let stream = TcpStream::connect(discovery).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = spawn(connection);
    let since = since.map(|seq| format!("&since={seq}")).unwrap_or_default();
    let request = Request::get(format!("/catalog/members?follow=1{since}"))
        .header(header::HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())?;
    let response: Response<Incoming> = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(PollResponse { body: response.into_body(), _connection: connection }),
        status => Err(WatchError::Status(status)),
    }
}

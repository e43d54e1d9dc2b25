//! Polls of the discovery server that are waiting for a response. A poll that timed out may be slow rather
//! than lost, so it stays pending in parallel with the next one; the first response of any is used.

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

/// Maximum number of polls in parallel; a further poll replaces the oldest.
const MAX_PENDING_POLLS: usize = 3;

/// Maximum size of the read buffer of a poll's connection.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// List stream of the first poll that succeeded.
pub(crate) struct PollResponse {
    /// Response body, from which the lists are read.
    pub(crate) body: Incoming,
    /// Task that drives the connection; dropping it closes the connection.
    pub(crate) _connection: Task,
}

type PendingPoll = Pin<Box<dyn Future<Output = Result<PollResponse, WatchError>>>>;

/// Pending polls of one watch.
pub(crate) struct PollSet {
    discovery: SocketAddr,
    pending: VecDeque<PendingPoll>,
}

impl PollSet {
    /// Creates an empty set for the discovery server at this address.
    pub(crate) fn new(discovery: SocketAddr) -> PollSet {
        PollSet { discovery, pending: VecDeque::new() }
    }

    /// Sends another poll and waits up to `response_timeout` for the first result of any pending poll, which
    /// also ends all others. After a timeout the polls stay pending. `since` is the version of the list to
    /// continue from; `None` requests the full list.
    pub(crate) async fn poll(
        &mut self,
        since: Option<u64>,
        response_timeout: Duration,
    ) -> Result<PollResponse, WatchError> {
        if self.pending.len() == MAX_PENDING_POLLS {
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
    let builder = http1::Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).clone();
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
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

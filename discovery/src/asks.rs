//! Calls to discovery that wait for their answer. One that is slow may still be answered, and one that was lost never
//! will be: the next goes out beside those that wait, and the first answer counts.

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

/// Calls that wait at a time: the oldest is given up for a further one.
const WAITING_MOST: usize = 3;

/// A call that was answered.
pub(crate) struct Answered {
    /// What comes on it.
    pub body: Incoming,
    /// Its connection, for as long as this is kept.
    pub _connection: Task,
}

type Ask = Pin<Box<dyn Future<Output = Result<Answered, WatchError>>>>;

/// The calls of one watch.
pub(crate) struct Asks {
    discovery: SocketAddr,
    waiting: VecDeque<Ask>,
}

impl Asks {
    /// None so far.
    pub fn new(discovery: SocketAddr) -> Asks {
        Asks { discovery, waiting: VecDeque::new() }
    }

    /// Calls once more, beside those that wait, and waits so long for an answer to any. After one, good or bad, none
    /// waits any more.
    pub async fn once_more(
        &mut self,
        since: Option<u64>,
        patience: Duration,
    ) -> Result<Answered, WatchError> {
        if self.waiting.len() == WAITING_MOST {
            self.waiting.pop_front();
        }
        self.waiting.push_back(Box::pin(ask(self.discovery, since)));
        let first = poll_fn(|context| {
            let mut ends = self.waiting.iter_mut().map(|ask| ask.as_mut().poll(context));
            ends.find(Poll::is_ready).unwrap_or(Poll::Pending)
        });
        let first = timeout(patience, first).await.map_err(|_| WatchError::Unanswered(patience))?;
        self.waiting.clear();
        first
    }
}

async fn ask(discovery: SocketAddr, since: Option<u64>) -> Result<Answered, WatchError> {
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
        StatusCode::OK => Ok(Answered { body: response.into_body(), _connection: connection }),
        status => Err(WatchError::Status(status)),
    }
}

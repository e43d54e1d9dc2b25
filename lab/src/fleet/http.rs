//! Requests as nodes and discovery read them: bounded, byte by byte if need be.

use crate::model::node::Micros;
use crate::Epoch;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Most bytes of a head, and of a body.
const MOST: usize = 64 << 10;
/// Most headers.
const HEADERS: usize = 64;

/// A request that was read whole.
#[derive(Debug, Default)]
pub struct Request {
    /// Its path and query.
    pub target: String,
    /// Its id.
    pub call: Option<String>,
    /// Its key.
    pub key: Option<String>,
    /// When its first byte came, and its last.
    pub first_byte: Micros,
    /// When its last byte came.
    pub whole: Micros,
}

impl Request {
    /// A figure of its query.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .find_map(|(_, value)| value.parse().ok())
            .filter(|f: &f64| f.is_finite())
    }
}

/// What came before a request was whole.
#[derive(Debug, PartialEq, Eq)]
pub enum Unread {
    /// The other side ended, or the connection broke.
    Ended,
    /// It is no request.
    Bad,
}

/// Reads requests off a stream.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
    epoch: Epoch,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    pub fn new(stream: R, epoch: Epoch) -> Self {
        Reader { stream, buffer: Vec::new(), epoch }
    }

    /// Waits until the first byte of a request is there, and tells when it came.
    pub async fn begins(&mut self) -> Result<Micros, Unread> {
        while self.buffer.is_empty() {
            self.more().await?;
        }
        Ok(self.epoch.now())
    }

    /// Reads on, also past the end of a request: until the other side ends.
    pub async fn ends(&mut self) {
        // What is sent ahead of an answer is kept for the next request, within bounds.
        while self.buffer.len() < 2 * MOST && self.more().await.is_ok() {}
    }

    async fn more(&mut self) -> Result<(), Unread> {
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(count) if count > 0 => Ok(()),
            _ => Err(Unread::Ended),
        }
    }

    /// The rest of a request whose first byte came then.
    pub async fn rest(&mut self, first_byte: Micros) -> Result<Request, Unread> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(&self.buffer) {
                Ok(httparse::Status::Complete(length)) => {
                    let header = |name: &str| {
                        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
                        std::str::from_utf8(found.value).ok().map(str::to_owned)
                    };
                    let body: usize = match header("content-length").map(|v| v.trim().parse()) {
                        None => 0,
                        Some(Ok(body)) if body <= MOST => body,
                        Some(_) => return Err(Unread::Bad),
                    };
                    let (call, key) = (header("x-call-id"), header("idempotency-key"));
                    let target = head.path.unwrap_or("/").to_owned();
                    while self.buffer.len() < length + body {
                        self.more().await?;
                    }
                    self.buffer.drain(..length + body);
                    return Ok(Request { target, call, key, first_byte, whole: self.epoch.now() });
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= MOST => self.more().await?,
                Ok(httparse::Status::Partial) | Err(_) => return Err(Unread::Bad),
            }
        }
    }
}

/// An answer's bytes.
pub fn answer(status: u16, more: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        500 => "Internal Server Error",
        _ => "Service Unavailable",
    };
    let mut text =
        format!("HTTP/1.1 {status} {reason}\r\n{more}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    text.extend_from_slice(body);
    text
}

//! A client's connection: it writes one request at a time and reads answers as they come, so that a second one, a
//! cut one or garbage is seen for what it is.

use crate::ledger::{digest, Ending};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Most bytes of an answer that are read.
const MOST: usize = 256 << 10;
/// Most headers of an answer.
const HEADERS: usize = 64;

/// A connection to a proxy.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// It has carried a request before.
    pub used: bool,
    /// Place of the last try in the ledger.
    pub last: usize,
}

/// What reading an answer came to.
#[derive(Debug)]
pub enum Read {
    /// An ending, and whether the connection can be used again.
    Ended(Ending, bool),
    /// The connection ended before the first byte of an answer.
    Unanswered,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new(), used: false, last: 0 })
    }

    /// Writes a request.
    pub async fn write(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request).await
    }

    /// Looks at what has come while no request was out. `None`: the connection has ended. `Some(true)`: there is
    /// something, which nobody asked for.
    pub fn idle(&mut self) -> Option<bool> {
        if !self.buffer.is_empty() {
            return Some(true);
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => None,
            Ok(_) => Some(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Some(false),
            Err(_) => None,
        }
    }

    /// Reads one answer.
    pub async fn read(&mut self) -> Read {
        self.used = true;
        loop {
            if !self.buffer.is_empty() {
                match parse(&self.buffer) {
                    Parsed::Whole { length, ending, keep } => {
                        self.buffer.drain(..length);
                        return Read::Ended(ending, keep);
                    }
                    Parsed::Bad => return Read::Ended(Ending::Unreadable, false),
                    Parsed::Partial if self.buffer.len() > MOST => {
                        return Read::Ended(Ending::Unreadable, false)
                    }
                    Parsed::Partial => {}
                }
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(count) if count > 0 => {}
                _ if self.buffer.is_empty() => return Read::Unanswered,
                _ => return Read::Ended(Ending::Broken, false),
            }
        }
    }
}

enum Parsed {
    Whole { length: usize, ending: Ending, keep: bool },
    Partial,
    Bad,
}

/// An answer with a length or in chunks. One that says neither has no end that a client could tell from a break.
fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Bad,
    };
    let header = |name: &str| {
        let found = head.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.value).ok().map(str::trim)
    };
    let status = head.code.unwrap_or(0);
    let (length, body) = if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        match chunks(&bytes[start..]) {
            Ok(Some((length, body))) => (start + length, body),
            Ok(None) => return Parsed::Partial,
            Err(()) => return Parsed::Bad,
        }
    } else {
        let Some(body) = header("content-length").and_then(|v| v.parse::<usize>().ok()) else {
            return Parsed::Bad;
        };
        let Some(end) = start.checked_add(body).filter(|end| *end <= bytes.len()) else {
            return Parsed::Partial;
        };
        (end, bytes[start..end].to_vec())
    };
    let seconds = header("retry-after").and_then(|v| v.parse::<f64>().ok());
    let retry_after = seconds.filter(|s| s.is_finite() && *s >= 0.0).map(|s| (s * 1e6) as u64);
    let keep = !header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
    let ending = Ending::Answer { status, body: digest(&body), retry_after };
    Parsed::Whole { length, ending, keep }
}

/// The length of a chunked body and what it holds.
fn chunks(bytes: &[u8]) -> Result<Option<(usize, Vec<u8>)>, ()> {
    let (mut at, mut body) = (0, Vec::new());
    loop {
        let (skip, size) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(()),
        };
        let size = usize::try_from(size).map_err(|_| ())?;
        let begin = at + skip;
        let Some(end) = begin.checked_add(size).filter(|end| end + 2 <= bytes.len()) else { return Ok(None) };
        body.extend_from_slice(&bytes[begin..end]);
        at = end + 2;
        if size == 0 {
            return Ok(Some((at, body)));
        }
    }
}

#[cfg(test)]
mod tests;

//! Why a watch ended.

use hyper::StatusCode;
use std::io;
use std::time::Duration;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The connection cannot be opened.
    #[error("no connection: {0}; check that discovery runs at the configuration's address")]
    Connect(#[from] io::Error),
    /// There was no connection, or no response, in time.
    #[error("no answer within {0:?}; discovery is down or cut off, and the list in hand goes on")]
    ResponseTimeout(Duration),
    /// The connection broke, or what came is not HTTP.
    #[error("the watch broke: {0}; it is opened again")]
    Connection(#[from] hyper::Error),
    /// The address cannot be named in a request.
    #[error("the request cannot be made: {0}; check the configuration's discovery")]
    Request(#[from] hyper::http::Error),
    /// The response has a status other than 200.
    #[error("discovery answered {0}; it is asked again later")]
    Status(StatusCode),
    /// Nothing came on the watch for this time.
    #[error("the watch fell silent for {0:?}; it is opened again")]
    IdleTimeout(Duration),
    /// The other side ended the watch.
    #[error("the watch ended; it is opened again")]
    Ended,
    /// What came is not a list.
    #[error("a list cannot be read: {0}; the list in hand stays")]
    List(#[from] ListError),
}

/// Why a list cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is longer than the list of any fleet that one proxy serves.
    #[error("it passes {0} bytes; no fleet that one proxy serves has so long a list")]
    TooLong(usize),
    /// Something stands where an object should begin.
    #[error("byte {0:#04x} stands where an object should begin")]
    UnexpectedByte(u8),
    /// A line ends within a string, or an empty one comes within an object: a piece is missing.
    #[error("it breaks off")]
    Truncated,
    /// It is not JSON, or not a list.
    #[error("{0}")]
    Invalid(#[from] serde_json::Error),
}

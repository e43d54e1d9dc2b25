//! Errors of a list stream and of its data.

use hyper::StatusCode;
use std::io;
use std::time::Duration;

/// Failure of a poll or of its list stream.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// Failure to open the connection.
    #[error("cannot connect: {0}; check that the discovery server runs at the configured address")]
    Connect(#[from] io::Error),
    /// No response within this time, including the time to connect.
    #[error(
        "no response within {0:?}; the server is down or unreachable; the last endpoint list stays in use"
    )]
    ResponseTimeout(Duration),
    /// Failure of the connection, or a response that is not HTTP.
    #[error("connection failed: {0}; the discovery server will be polled again")]
    Connection(#[from] hyper::Error),
    /// Failure to build the request, as for an address that is not valid in it.
    #[error("cannot build the request: {0}; check the configured discovery address")]
    Request(#[from] hyper::http::Error),
    /// Response with a status other than 200.
    #[error("the discovery server responded with status {0}; it will be polled again")]
    Status(StatusCode),
    /// No list, change or keep-alive on the list stream for this time.
    #[error("no data or keep-alive for {0:?}; the discovery server will be polled again")]
    IdleTimeout(Duration),
    /// End of the list stream by the discovery server.
    #[error("the discovery server ended the response; it will be polled again")]
    Ended,
    /// Data that is not an endpoint list.
    #[error("invalid endpoint list: {0}; the last valid list stays in use")]
    List(#[from] ListError),
}

/// Reason for which an endpoint list is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// List longer than this number of bytes.
    #[error("it is longer than the limit of {0} bytes")]
    TooLong(usize),
    /// Byte in place of the start of a JSON object.
    #[error("found byte {0:#04x} in place of the start of a JSON object")]
    UnexpectedByte(u8),
    /// Line that ends within a string, or empty line within an object, which means that data was lost.
    #[error("a JSON object is incomplete")]
    Truncated,
    /// Invalid JSON, or JSON of another form.
    #[error("{0}")]
    Invalid(#[from] serde_json::Error),
}

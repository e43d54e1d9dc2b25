//! Asks a running proxy's side port, for the commands that show and change what it settles.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::StatusCode;
use ureq::{Agent, Body};

/// How long the side port may take to connect, to take what is said, and to send an answer that it has begun.
pub const TIMEOUT: Duration = Duration::from_secs(3);
/// Longest answer that is read: thousands of members.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// What the side port at an address answers: to a look at `path`, or to what is `said` there, as JSON. The answer may
/// take `patience` to begin.
///
/// # Errors
///
/// Where no proxy is reached or answers in time, where it has no such path (`off` says why), or does not understand.
pub fn request(
    at: SocketAddr,
    path: &str,
    said: Option<&str>,
    patience: Duration,
    off: &str,
) -> io::Result<String> {
    let agent = Agent::config_builder()
        // The environment's proxies are for the way out, not for a side port.
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .timeout_connect(Some(TIMEOUT))
        .timeout_send_request(Some(TIMEOUT))
        .timeout_send_body(Some(TIMEOUT))
        .timeout_recv_response(Some(patience))
        .timeout_recv_body(Some(TIMEOUT))
        .build()
        .new_agent();
    let url = format!("http://{at}{path}");
    let answer = match said {
        None => agent.get(url).call(),
        Some(said) => agent.post(url).content_type("application/json").send(said),
    };
    let (head, mut body) = answer.map_err(ureq::Error::into_io)?.into_parts();
    let read = |body: &mut Body| body.with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
    let body = read(&mut body).map_err(ureq::Error::into_io)?;
    match head.status {
        StatusCode::OK => Ok(body),
        StatusCode::NOT_FOUND => Err(io::Error::other(off.to_owned())),
        StatusCode::BAD_REQUEST => Err(io::Error::other(format!("it does not understand: {body}"))),
        status => Err(io::Error::other(format!("it answered {status}"))),
    }
}

#[cfg(test)]
mod tests;

//! gRPC over HTTP/2: statuses, time-outs, framing, and what an answer proves of its attempt.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use flaxhead_policy::Outcome;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use percent_encoding::{percent_decode, utf8_percent_encode, AsciiSet, CONTROLS};
use std::fmt;
use std::time::Duration;

/// How long a client still waits.
pub const TIMEOUT: HeaderName = HeaderName::from_static("grpc-timeout");
/// How often it has tried before (gRFC A6).
pub const PREVIOUS_ATTEMPTS: HeaderName = HeaderName::from_static("grpc-previous-rpc-attempts");
/// When it may come again, in milliseconds; below 0: it must not (gRFC A6).
pub const PUSHBACK: HeaderName = HeaderName::from_static("grpc-retry-pushback-ms");
const STATUS: HeaderName = HeaderName::from_static("grpc-status");
const MESSAGE: HeaderName = HeaderName::from_static("grpc-message");
/// A host turned a request away unseen, as over HTTP/1.1.
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// What a refusal or failure of the plug-in's own says of the call: `never-ran` or `may-have-run`.
pub const OUTCOME: HeaderName = HeaderName::from_static("flaxhead-outcome");
/// Bytes of a message's frame before it.
pub const PREFIX: usize = 5;

/// A gRPC status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
#[allow(missing_docs, reason = "the names are gRPC's")]
pub enum Code {
    Ok = 0,
    Cancelled,
    Unknown,
    InvalidArgument,
    DeadlineExceeded,
    NotFound,
    AlreadyExists,
    PermissionDenied,
    ResourceExhausted,
    FailedPrecondition,
    Aborted,
    OutOfRange,
    Unimplemented,
    Internal,
    Unavailable,
    DataLoss,
    Unauthenticated,
}

const CODES: [(Code, &str); 17] = [
    (Code::Ok, "OK"),
    (Code::Cancelled, "CANCELLED"),
    (Code::Unknown, "UNKNOWN"),
    (Code::InvalidArgument, "INVALID_ARGUMENT"),
    (Code::DeadlineExceeded, "DEADLINE_EXCEEDED"),
    (Code::NotFound, "NOT_FOUND"),
    (Code::AlreadyExists, "ALREADY_EXISTS"),
    (Code::PermissionDenied, "PERMISSION_DENIED"),
    (Code::ResourceExhausted, "RESOURCE_EXHAUSTED"),
    (Code::FailedPrecondition, "FAILED_PRECONDITION"),
    (Code::Aborted, "ABORTED"),
    (Code::OutOfRange, "OUT_OF_RANGE"),
    (Code::Unimplemented, "UNIMPLEMENTED"),
    (Code::Internal, "INTERNAL"),
    (Code::Unavailable, "UNAVAILABLE"),
    (Code::DataLoss, "DATA_LOSS"),
    (Code::Unauthenticated, "UNAUTHENTICATED"),
];

impl Code {
    /// By its number; `None`: it is none of gRPC's.
    pub fn from_number(number: u8) -> Option<Code> {
        CODES.get(usize::from(number)).map(|(code, _)| *code)
    }

    /// By its name, in any case, as in a service config.
    pub fn from_name(name: &str) -> Option<Code> {
        CODES.iter().find(|(_, known)| known.eq_ignore_ascii_case(name)).map(|(code, _)| *code)
    }

    /// Those that tell of trouble at a host, or on the way, rather than of the request: such a call may go again
    /// where its class allows, unless its method names others.
    pub fn is_trouble(self) -> bool {
        use Code::{Cancelled, DeadlineExceeded, Internal, ResourceExhausted, Unavailable, Unknown};
        matches!(self, Cancelled | DeadlineExceeded | Internal | ResourceExhausted | Unavailable | Unknown)
    }

    /// What the decision module is told of an attempt that ended so.
    fn outcome(self) -> Outcome {
        match self {
            Code::Internal | Code::Unavailable | Code::Unknown | Code::DataLoss => Outcome::Error,
            Code::DeadlineExceeded => Outcome::TimedOut,
            Code::Cancelled | Code::ResourceExhausted => Outcome::Unknown,
            // The host has served: what it says is about the request.
            _ => Outcome::Served,
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(CODES[*self as usize].1)
    }
}

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its messages, framed.
    pub body: Bytes,
    /// Its trailers; where there are none, the headers hold the status (`Trailers-Only`).
    pub trailers: Option<HeaderMap>,
}

impl Answer {
    /// An answer of the plug-in's own: a status without a message. `pushback` says when the client may come again:
    /// `None`: that it must not.
    pub fn of(code: Code, message: &str, ran: Option<&'static str>, pushback: Pushback) -> Answer {
        /// What must be escaped in a message, as gRPC's protocol has it.
        const ESCAPED: &AsciiSet = &CONTROLS.add(b'%');
        let mut headers = HeaderMap::new();
        headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
        headers.insert(STATUS, HeaderValue::from(code as u8 as u16));
        let message = utf8_percent_encode(message, ESCAPED).to_string();
        if let Ok(message) = HeaderValue::try_from(message) {
            headers.insert(MESSAGE, message);
        }
        if let Some(ran) = ran {
            headers.insert(OUTCOME, HeaderValue::from_static(ran));
        }
        match pushback {
            Pushback::Unsaid => {}
            Pushback::Never => drop(headers.insert(PUSHBACK, HeaderValue::from_static("-1"))),
            Pushback::After(after) => {
                let ms = u64::try_from(after.as_micros().div_ceil(1_000)).unwrap_or(u64::MAX);
                headers.insert(PUSHBACK, HeaderValue::from(ms));
            }
        }
        Answer { headers, body: Bytes::new(), trailers: None }
    }

    fn last(&self) -> &HeaderMap {
        self.trailers.as_ref().unwrap_or(&self.headers)
    }

    /// Its status; `None`: it has none.
    pub fn code(&self) -> Option<Code> {
        Code::from_number(self.last().get(STATUS)?.to_str().ok()?.parse().ok()?)
    }

    /// What its status says in words.
    pub fn message(&self) -> String {
        let raw = self.last().get(MESSAGE).map(HeaderValue::as_bytes).unwrap_or_default();
        percent_decode(raw).decode_utf8_lossy().into_owned()
    }

    /// A field of its headers or trailers.
    pub fn field(&self, name: &HeaderName) -> Option<&HeaderValue> {
        self.trailers.as_ref().and_then(|trailers| trailers.get(name)).or_else(|| self.headers.get(name))
    }

    /// When it says that the client may come again.
    pub fn pushback(&self) -> Pushback {
        match self.field(&PUSHBACK).map(|value| value.to_str().map(str::parse::<i64>)) {
            None => Pushback::Unsaid,
            // What cannot be read says no (A6).
            Some(Ok(Ok(ms))) if ms >= 0 => Pushback::After(Duration::from_millis(ms.unsigned_abs())),
            Some(_) => Pushback::Never,
        }
    }

    /// Its messages without their frames; `None`: one is cut off, or compressed.
    pub fn messages(&self) -> Option<Vec<Bytes>> {
        let (mut rest, mut messages) = (self.body.clone(), Vec::new());
        while !rest.is_empty() {
            if rest.len() < PREFIX || rest.get_u8() != 0 {
                return None;
            }
            let length = rest.get_u32() as usize;
            if rest.len() < length {
                return None;
            }
            messages.push(rest.split_to(length));
        }
        Some(messages)
    }
}

/// When a client may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// Nothing is said.
    Unsaid,
    /// It must not.
    Never,
    /// After this.
    After(Duration),
}

/// A message in its frame.
pub fn framed(message: &[u8]) -> Bytes {
    let mut framed = BytesMut::with_capacity(PREFIX + message.len());
    framed.put_u8(0);
    framed.put_u32(message.len() as u32);
    framed.put_slice(message);
    framed.freeze()
}

/// What a whole answer proves, and whether it is the call's last word. `retryable` names the statuses after which its
/// method may go again; `None`: those that tell of trouble.
pub fn verdict(http: StatusCode, answer: &mut Answer, retryable: Option<&[Code]>) -> (Outcome, bool) {
    let code = match answer.code() {
        Some(code) => code,
        None if http == StatusCode::OK => {
            // It has run, and how it ended is lost.
            *answer = Answer::of(Code::Unknown, "the host's answer has no status", None, Pushback::Unsaid);
            return (Outcome::Unknown, false);
        }
        None => {
            let code = from_http(http);
            let message = format!("the host answered {http} without a gRPC status");
            let rejected = answer.headers.remove(REJECTED);
            *answer = Answer::of(code, &message, None, Pushback::Unsaid);
            answer.headers.extend(rejected.map(|value| (REJECTED, value)));
            code
        }
    };
    let unseen = matches!(code, Code::Unavailable | Code::ResourceExhausted)
        && answer.field(&REJECTED).is_some_and(|value| value == "1");
    if unseen {
        return (Outcome::Rejected, answer.pushback() == Pushback::Never);
    }
    let again = code != Code::Ok && retryable.map_or(code.is_trouble(), |codes| codes.contains(&code));
    let outcome = match code.outcome() {
        // Its method says that this one is trouble.
        Outcome::Served if again => Outcome::Error,
        outcome => outcome,
    };
    (outcome, !again || answer.pushback() == Pushback::Never)
}

/// The status for an answer that has none, as gRPC maps HTTP's.
fn from_http(status: StatusCode) -> Code {
    match status.as_u16() {
        400 => Code::Internal,
        401 => Code::Unauthenticated,
        403 => Code::PermissionDenied,
        404 => Code::Unimplemented,
        429 | 502 | 503 | 504 => Code::Unavailable,
        _ => Code::Unknown,
    }
}

/// Reads a `grpc-timeout`: up to eight digits and a unit.
pub fn timeout(value: &HeaderValue) -> Option<Duration> {
    let (digits, unit) = value.to_str().ok()?.split_at_checked(value.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let count: u64 = digits.parse().ok()?;
    match unit {
        "H" => Some(Duration::from_secs(count * 3_600)),
        "M" => Some(Duration::from_secs(count * 60)),
        "S" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_millis(count)),
        "u" => Some(Duration::from_micros(count)),
        "n" => Some(Duration::from_nanos(count)),
        _ => None,
    }
}

/// Writes one, in the finest unit that holds it; never 0.
pub fn timeout_value(left: Duration) -> HeaderValue {
    let micros = left.as_micros().max(1);
    let (count, unit) = match micros {
        ..100_000_000 => (micros, 'u'),
        100_000_000..100_000_000_000 => (micros / 1_000, 'm'),
        _ => ((micros / 1_000_000).min(99_999_999), 'S'),
    };
    // Digits and a letter are a header's value.
    HeaderValue::try_from(format!("{count}{unit}")).unwrap_or(HeaderValue::from_static("1u"))
}

#[cfg(test)]
mod tests;

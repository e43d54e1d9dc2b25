//! What clients are answered.

use super::request::end_to_end;
use crate::memory::ShedHandle;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// When a client whose request was shed may try again.
const SHED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// An answer to a client.
pub(super) type Answer = Response<Full<Bytes>>;

/// Marks an answer that a host may have worked for.
#[derive(Clone, Debug)]
pub(super) struct HostWork {
    /// The memory that its body takes.
    pub(super) memory: Option<ShedHandle>,
}

pub(super) fn served(answer: Response<Bytes>) -> Answer {
    let (mut head, body) = answer.into_parts();
    let memory = head.extensions.remove::<ShedHandle>();
    head.extensions.insert(HostWork { memory });
    head.headers = end_to_end(head.headers);
    Response::from_parts(head, Full::new(body))
}

pub(super) fn rejected(code: StatusCode, after: Duration) -> Answer {
    let mut answer = plain(code);
    let seconds = format!("{:.3}", after.as_secs_f64());
    answer
        .headers_mut()
        .extend(HeaderValue::try_from(seconds).ok().map(|value| (header::RETRY_AFTER, value)));
    answer
}

/// A call that no host has served, though one may have run it.
pub(super) fn failed(code: StatusCode) -> Answer {
    let mut answer = plain(code);
    answer.extensions_mut().insert(HostWork { memory: None });
    answer
}

/// A request for which there is no memory. The rest of it is not read.
pub(super) fn shed() -> Answer {
    let mut answer = rejected(StatusCode::SERVICE_UNAVAILABLE, SHED_RETRY_DELAY);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

pub(super) fn plain(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

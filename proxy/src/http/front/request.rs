//! What clients ask, read and checked: what is unusable never reaches the module.

use super::Driver;
use crate::config::Config;
use crate::http::exchange::MAX_BODY_BYTES;
use crate::http::{ClientProbe, Forward};
use crate::memory::{collect, compact_request_head, CollectError, Reserve};
use flaxhead_engine::CallSpec;
use flaxhead_policy::{ClassId, Idempotency, TenantId};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The part of a client's time that is kept for the answer's way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Reads a request whole. What cannot be used is turned away with a status; the module never sees it.
pub(super) async fn read_request(
    driver: &Driver,
    request: Request<Incoming>,
    arrived: Instant,
    client: Rc<dyn ClientProbe>,
) -> Result<(CallSpec, Forward), StatusCode> {
    let (head, body) = request.into_parts();
    let (mut ask, budget) =
        call_spec(&driver.config, &head.method, &head.headers).ok_or(StatusCode::BAD_REQUEST)?;
    ask.deadline = arrived + budget.saturating_sub(RESPONSE_MARGIN);
    let pool = &driver.memory.requests;
    let reading = async {
        let target = head.uri.path_and_query().map_or("", PathAndQuery::as_str);
        let (target, headers) =
            compact_request_head(target, &end_to_end(head.headers), pool.reservation()).await?;
        let body = collect(body, MAX_BODY_BYTES, Reserve::AsItComes, pool.reservation()).await?;
        Ok(Forward { method: head.method, target, headers, body, client })
    };
    match timeout_at(arrived + budget, reading).await {
        Ok(read) => read.map(|forward| (ask, forward)).map_err(|error| status_of(&error)),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// What a client is told whose request could not be read.
fn status_of(error: &CollectError) -> StatusCode {
    match error {
        CollectError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        CollectError::Shed => StatusCode::SERVICE_UNAVAILABLE,
        CollectError::Broken(_) => StatusCode::BAD_REQUEST,
    }
}

/// What the head says of a request; `None` if its id, class or budget is missing, double or unusable, or its method
/// is not the class's: no client sends that, and a host would meet a request that is nobody's.
fn call_spec(config: &Config, method: &Method, headers: &HeaderMap) -> Option<(CallSpec, Duration)> {
    single_value(headers, "x-call-id").filter(|id| !id.is_empty())?;
    let class = position(&config.classes, single_value(headers, "x-call-class")?)?;
    let spec = config.settings.classes.get(class)?;
    let wanted = if spec.idempotency == Idempotency::Idempotent { Method::GET } else { Method::POST };
    if *method != wanted {
        return None;
    }
    // Without its key a keyed request would run again wherever it is sent again.
    if matches!(spec.idempotency, Idempotency::Keyed { .. }) {
        single_value(headers, "idempotency-key").filter(|key| !key.is_empty())?;
    }
    let budget = single_value(headers, "x-budget-ms")?.parse::<u32>().ok().filter(|ms| *ms > 0)?;
    // No client waits longer than its class: more would let a body that never ends keep its place for weeks.
    let budget = Duration::from_millis(budget.into()).min(Duration::from_micros(spec.deadline));
    let tenant =
        single_value(headers, "x-caller").and_then(|name| position(&config.tenants, name)).map(TenantId);
    let resent = single_value(headers, "x-again").is_some_and(|value| value == "1");
    let ask = CallSpec {
        class: ClassId(class),
        tenant,
        deadline: Instant::now(),
        resent,
        max_attempts: CallSpec::UNBOUNDED,
    };
    Some((ask, budget))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Headers that go on to the other side: all but those of this connection and its framing.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named.flat_map(|v| v.split(',')).map(|name| name.trim().to_owned()).collect();
    let fixed = ["connection", "content-length", "expect", "keep-alive", "proxy-connection", "te", "trailer"];
    let more = ["transfer-encoding", "upgrade"];
    for name in named.iter().map(String::as_str).chain(fixed).chain(more) {
        headers.remove(name);
    }
    headers
}

//! What clients ask, read and checked: what is unusable never reaches the module.

use super::Driver;
use crate::config::Config;
use crate::http::exchange::MAX_BODY_BYTES;
use crate::http::Forward;
use flaxhead_engine::CallSpec;
use flaxhead_policy::{ClassId, Idempotency, TenantId};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode, Uri};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The part of a client's time that is kept for the answer's way back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// Reads a request whole. What cannot be used is turned away with a status; the module never sees it.
pub(super) async fn read_request(
    driver: &Driver,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<(CallSpec, Forward), StatusCode> {
    let (head, body) = request.into_parts();
    let (mut ask, budget) =
        call_spec(&driver.config, &head.method, &head.headers).ok_or(StatusCode::BAD_REQUEST)?;
    ask.deadline = arrived + budget.saturating_sub(RESPONSE_MARGIN);
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = match timeout_at(arrived + budget, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => return Err(StatusCode::BAD_REQUEST),
        Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
    };
    let target = head.uri.path_and_query().cloned().map(Uri::from).unwrap_or_default();
    let forward = Forward { method: head.method, target, headers: end_to_end(head.headers), body };
    Ok((ask, forward))
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

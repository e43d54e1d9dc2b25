//! Copies of heads that keep nothing else alive.
//!
//! The HTTP library hands header values and targets out as parts of its read buffer, and headers in a map that may
//! have room for many more.

use super::owned::owned;
use super::reservation::Reservation;
use super::CollectError;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Uri;
use std::ops::Range;

/// A field's place in a map and its name, beside the value.
const FIELD_BYTES: usize = 160;

/// Copies the target and the headers of a request into memory that is reserved for them, which the copies hold.
///
/// # Errors
///
/// Where there is no memory for them.
pub async fn compact_request_head(
    target: &str,
    headers: &HeaderMap,
    reservation: Reservation,
) -> Result<(Uri, HeaderMap), CollectError> {
    let copy = HeadCopy::new(target, headers, reservation).await?;
    // A copy of a good target is good.
    let target = Uri::from_maybe_shared(copy.target()).unwrap_or_default();
    Ok((target, copy.headers()))
}

/// Copies the headers of a response in the same way.
///
/// # Errors
///
/// Where there is no memory for them.
pub async fn compact_headers(
    headers: &HeaderMap,
    reservation: Reservation,
) -> Result<HeaderMap, CollectError> {
    HeadCopy::new("", headers, reservation).await.map(|copy| copy.headers())
}

/// A head's bytes in one block: the target, then the values.
struct HeadCopy {
    bytes: Bytes,
    target_length: usize,
    fields: Vec<(HeaderName, Range<usize>)>,
}

impl HeadCopy {
    async fn new(
        target: &str,
        headers: &HeaderMap,
        reservation: Reservation,
    ) -> Result<HeadCopy, CollectError> {
        let length = target.len() + headers.values().map(HeaderValue::len).sum::<usize>();
        reservation.resize(length + headers.len() * FIELD_BYTES).await?;
        reservation.settle();
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(target.as_bytes());
        let mut fields = Vec::with_capacity(headers.len());
        for (name, value) in headers {
            let start = bytes.len();
            bytes.extend_from_slice(value.as_bytes());
            fields.push((name.clone(), start..bytes.len()));
        }
        Ok(HeadCopy { bytes: owned(bytes, reservation), target_length: target.len(), fields })
    }

    fn target(&self) -> Bytes {
        self.bytes.slice(..self.target_length)
    }

    fn headers(self) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.fields.len());
        for (name, range) in self.fields {
            // A copy of a good value is good.
            if let Ok(value) = HeaderValue::from_maybe_shared(self.bytes.slice(range)) {
                headers.append(name, value);
            }
        }
        headers
    }
}

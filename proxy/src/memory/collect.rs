//! Reading a body into memory that was reserved for it.
//!
//! The HTTP library hands a body out in frames that are parts of its read buffer: as long as one is kept, so is the
//! whole buffer, and the library takes another. Frames are therefore copied and dropped.

use super::owned::owned;
use super::reservation::{Reservation, Shed};
use super::MAX_READ_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum CollectError {
    /// It is longer than bodies may be.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// There is no memory for it.
    #[error("no memory for it")]
    Shed,
    /// Its connection broke, or it is no proper message.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

impl From<Shed> for CollectError {
    fn from(Shed: Shed) -> CollectError {
        CollectError::Shed
    }
}

/// When bytes are reserved for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reserve {
    /// As the body comes: a sender that announces much and sends little holds little.
    AsItComes,
    /// All that is announced, before any of it is read: what has been begun can be finished.
    Announced,
}

/// Reads a body of at most `max_bytes` whole. What is returned holds the reservation, which is settled then.
///
/// # Errors
///
/// Where the body is too long, cannot be read, or is shed.
pub async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    reserve: Reserve,
    reservation: Reservation,
) -> Result<Bytes, CollectError> {
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(CollectError::TooLong(max_bytes));
    }
    let mut bytes = Vec::new();
    if reserve == Reserve::Announced && announced > 0 {
        grow(&mut bytes, announced, &reservation).await?;
    }
    while !body.is_end_stream() {
        // Room first: a frame that waited for it would keep the library's buffer.
        let room = length_with_room(bytes.len(), announced, max_bytes);
        grow(&mut bytes, room, &reservation).await?;
        let Some(frame) = next_frame(&mut body, &reservation).await else { break };
        let Ok(data) = frame?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(CollectError::TooLong(max_bytes));
        }
        grow(&mut bytes, length, &reservation).await?;
        bytes.extend_from_slice(&data);
    }
    reservation.settle();
    Ok(if bytes.is_empty() { Bytes::new() } else { owned(bytes, reservation) })
}

/// The length of a body with its next frame: no longer than is announced, or allowed.
fn length_with_room(length: usize, announced: usize, max_bytes: usize) -> usize {
    let most = if length < announced { announced } else { max_bytes };
    (length + MAX_READ_BYTES).min(most)
}

/// Lets the capacity be `length` or more, in steps that double it.
async fn grow(bytes: &mut Vec<u8>, length: usize, reservation: &Reservation) -> Result<(), CollectError> {
    if length > bytes.capacity() {
        let capacity = length.max(2 * bytes.capacity());
        reservation.resize(capacity).await?;
        bytes.reserve_exact(capacity - bytes.len());
    }
    Ok(())
}

/// The next frame of a body; an error too where the body is to be shed.
async fn next_frame(
    body: &mut Incoming,
    reservation: &Reservation,
) -> Option<Result<hyper::body::Frame<Bytes>, CollectError>> {
    let mut frame = body.frame();
    poll_fn(|context| match Pin::new(&mut frame).poll(context) {
        Poll::Ready(frame) => Poll::Ready(frame.map(|frame| frame.map_err(CollectError::Broken))),
        Poll::Pending => reservation.poll_shed(context).map(|()| Some(Err(CollectError::Shed))),
    })
    .await
}

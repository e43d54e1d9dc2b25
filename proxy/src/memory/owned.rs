//! Bytes that hold their reservation.

use super::reservation::Reservation;
use hyper::body::Bytes;

struct Owned {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Owned {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Shares bytes; their reservation ends with the last reference to them.
pub(super) fn owned(bytes: Vec<u8>, reservation: Reservation) -> Bytes {
    Bytes::from_owner(Owned { bytes, _reservation: reservation })
}

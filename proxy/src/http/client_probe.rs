//! Whether the client of a call is still there.

/// Whether a client is still there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientStatus {
    /// Its connection is open.
    Connected,
    /// It has closed its connection.
    Left,
}

/// Asks for a client's status at this moment.
///
/// The event queue tells of a close only once the process waits for events. A process that was paused may go on with
/// something else first, so this is asked right before the first byte of an attempt is written.
pub trait ClientProbe {
    /// Whether the client is there.
    fn status(&self) -> ClientStatus;
}

/// A client that never leaves.
impl ClientProbe for () {
    fn status(&self) -> ClientStatus {
        ClientStatus::Connected
    }
}

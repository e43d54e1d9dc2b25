//! Bytes of a client that were read from its connection and not yet handed to the HTTP library.
//!
//! A head that comes in pieces is gathered here until it is complete: the library parses an incomplete head anew with
//! each piece, and lets its buffer grow for it. Behind an open request the connection is read ahead.

use crate::memory::{HeadProgress, HeadScanner, MemoryPool, Reservation, MAX_READ_BYTES, READ_BUFFER_BYTES};
use std::mem;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// Smallest allocation.
const MIN_CAPACITY_BYTES: usize = 512;
/// What the library is about to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// A head.
    Head,
    /// The rest of a request whose head it has.
    Body,
}

/// Bytes that were read, with the memory that they and the library's buffer take.
#[derive(Debug)]
pub(super) struct Input {
    bytes: Vec<u8>,
    /// When a request that is among them counts as having come.
    since: Instant,
    /// The end of a head is among them.
    has_head_end: bool,
    /// Finds the end of a head behind them.
    scanner: HeadScanner,
    /// The library has had nothing yet.
    is_at_start: bool,
    /// What the library has of the head that is expected.
    passed: HeadProgress,
    expected: Expected,
    /// What the library's buffer takes beyond an idle connection's cost. It does not shrink.
    excess: usize,
    pool: MemoryPool,
    reservation: Reservation,
}

impl Input {
    /// Empty, at the start of a connection.
    pub fn new(pool: MemoryPool) -> Input {
        Input {
            bytes: Vec::new(),
            since: Instant::now(),
            has_head_end: false,
            scanner: HeadScanner::default(),
            is_at_start: true,
            passed: HeadProgress::default(),
            expected: Expected::Head,
            excess: 0,
            reservation: pool.reservation(),
            pool,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether nothing of a request is here, nor expected by the library.
    pub fn is_between_requests(&self) -> bool {
        self.bytes.is_empty() && self.gathers()
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// When a request that is among its bytes counts as having come: where it was read ahead, with the first of them.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Whether the connection holds memory, for the library's buffer has grown, that others need.
    pub fn holds_needed_memory(&self) -> bool {
        self.excess > 0 && !self.pool.has_spare()
    }

    /// The library has a head.
    pub fn end_head(&mut self) {
        self.expected = Expected::Body;
        self.reservation.settle();
    }

    /// A further head may come.
    pub fn begin_head(&mut self) {
        self.expected = Expected::Head;
        self.passed.restart();
        self.reservation.unsettle();
    }

    /// Bytes without the empty lines that a connection may begin with.
    pub fn without_empty_lines<'b>(&self, bytes: &'b [u8]) -> &'b [u8] {
        let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
        match self.is_at_start && self.bytes.is_empty() {
            true => &bytes[bytes.iter().take_while(|byte| is_line_end(byte)).count()..],
            false => bytes,
        }
    }

    /// Whether the library is to get bytes that have just come, rather than have them gathered.
    pub fn is_passed_at_once(&self, bytes: &[u8]) -> bool {
        self.bytes.is_empty() && (!self.gathers() || { self.scanner }.take(bytes))
    }

    /// Whether what was gathered is to be passed on.
    pub fn is_ready(&self) -> bool {
        match self.gathers() {
            true => self.has_head_end || self.bytes.len() >= READ_BUFFER_BYTES,
            false => !self.bytes.is_empty(),
        }
    }

    /// Whether a head is gathered before the library gets any of it.
    fn gathers(&self) -> bool {
        self.expected == Expected::Head && !self.passed.has_begun()
    }

    /// Ready once there is memory for another read. Pending: others release theirs, or this connection is to be shed.
    pub fn poll_room(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.expected == Expected::Head {
            self.excess = self.excess.max(self.passed.excess_buffer_bytes());
        }
        let gathered = if self.bytes.is_empty() { 0 } else { self.capacity_with(MAX_READ_BYTES) };
        self.reservation.poll_resize(self.excess + gathered, context)
    }

    /// Takes room for another read ahead, if there is some. Half of the memory is left to requests.
    pub fn try_room_ahead(&self) -> bool {
        self.pool.has_spare() && self.reservation.try_resize(self.excess + self.capacity_with(MAX_READ_BYTES))
    }

    /// Gives up all that was read.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
        self.excess = 0;
        self.reservation.settle();
        self.release_surplus();
    }

    /// Ready once the connection is to be shed.
    pub fn poll_shed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.reservation.poll_shed(context)
    }

    /// Adds bytes. The first read has no room yet: that is asked for before the next.
    pub fn add(&mut self, bytes: &[u8]) {
        if self.bytes.is_empty() || self.expected == Expected::Head {
            self.since = Instant::now();
        }
        let capacity = self.capacity_with(bytes.len());
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(bytes);
        self.has_head_end |= self.scanner.take(bytes);
        self.release_surplus();
    }

    /// Hands bytes over from the front.
    pub fn pass(&mut self, most: usize, take: impl FnOnce(&[u8])) {
        let count = self.bytes.len().min(most);
        let rest = self.bytes.split_off(count);
        let passed = mem::replace(&mut self.bytes, rest);
        take(&passed);
        self.record_passed(&passed);
        self.scanner = self.passed.scanner();
        self.has_head_end = self.scanner.take(&self.bytes);
        self.release_surplus();
    }

    /// The library was handed these bytes.
    pub fn record_passed(&mut self, bytes: &[u8]) {
        self.is_at_start = false;
        self.passed.record(bytes);
        self.scanner = self.passed.scanner();
    }

    /// Releases what was reserved for a read and is not needed.
    pub fn release_surplus(&self) {
        self.reservation.try_resize(self.excess + self.bytes.capacity());
    }

    /// The capacity that is needed for so many more bytes.
    fn capacity_with(&self, more: usize) -> usize {
        let length = self.bytes.len() + more;
        length.next_power_of_two().max(MIN_CAPACITY_BYTES).max(self.bytes.capacity())
    }
}

#[cfg(test)]
mod tests;

//! The memory budget: what the process may use for connections, requests, responses and endpoint lists, all derived
//! from the limits in the configuration.
//!
//! Requests and responses each have a pool. Bytes are reserved before they are read and released when the last
//! reference to them is dropped. Where a pool is exhausted, unfinished messages are shed, see [`MemoryPool`].

mod collect;
mod compact;
mod head;
mod owned;
mod plan;
mod pool;
mod reservation;

pub use collect::{collect, CollectError, Reserve};
pub use compact::{compact_headers, compact_request_head};
pub use head::{HeadProgress, HeadScanner};
pub use plan::MemoryPlan;
pub use pool::{MemoryPool, PoolStats, WhenFull};
pub use reservation::{Reservation, ShedHandle};

/// Buffer that the HTTP library keeps for each connection, which is part of the connection's own cost.
pub const READ_BUFFER_BYTES: usize = 8 << 10;
/// Most bytes of one read from a connection. After one that fills its buffer the library would take a larger one.
pub const MAX_READ_BYTES: usize = READ_BUFFER_BYTES / 2;

/// The pools of requests and of responses.
#[derive(Clone, Debug)]
pub struct Memory {
    /// Requests that are read, wait or are in flight, and what is read ahead of them.
    pub requests: MemoryPool,
    /// Responses of hosts, until their clients have them.
    pub responses: MemoryPool,
}

impl Memory {
    /// The pools of a plan.
    pub fn new(plan: &MemoryPlan) -> Memory {
        Memory {
            requests: MemoryPool::new(plan.request_bytes, WhenFull::Refuse),
            responses: MemoryPool::new(plan.response_bytes, WhenFull::Wait),
        }
    }
}

//! The budget: how the memory limit is divided.

/// The program, its runtime and its threads, without connections.
const PROGRAM_BYTES: usize = 6 << 20;
/// Divisor of the limit for the endpoint list: the text that is being received, the parsed list and the state of its
/// hosts.
const LIST_DIVISOR: usize = 8;
/// Divisor of the list's part for its text, which takes several times as much once it is parsed.
const LIST_TEXT_DIVISOR: usize = 3;
/// Longest endpoint list that is ever needed.
const MAX_LIST_TEXT_BYTES: usize = 4 << 20;
/// Divisor of the rest for what the allocator holds beyond the bytes in use.
const FRAGMENTATION_DIVISOR: usize = 4;
/// Divisor of what then remains, for requests and for responses each; connections get the rest.
const POOL_DIVISOR: usize = 8;
/// A connection to a client and one to a host, idle, with the buffers of the HTTP library.
const CONNECTION_PAIR_BYTES: usize = 32 << 10;
/// Fewest connections each way.
const MIN_CONNECTIONS: usize = 8;
/// Smallest pool: two messages of the largest size.
const MIN_POOL_BYTES: usize = 512 << 10;

/// How the memory limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Most connections to clients, and as many to hosts.
    pub connections_each_way: usize,
    /// Size of the pool of requests.
    pub request_bytes: usize,
    /// Size of the pool of responses.
    pub response_bytes: usize,
    /// Longest text of an endpoint list.
    pub list_text_bytes: usize,
}

impl MemoryPlan {
    /// Divides a limit, of which features use `feature_bytes` from the start.
    pub fn new(limit_bytes: usize, feature_bytes: usize) -> MemoryPlan {
        let list_bytes = limit_bytes / LIST_DIVISOR;
        let fixed = PROGRAM_BYTES + feature_bytes + list_bytes;
        let rest = limit_bytes.saturating_sub(fixed);
        let usable = rest - rest / FRAGMENTATION_DIVISOR;
        let pool_bytes = (usable / POOL_DIVISOR).max(MIN_POOL_BYTES);
        let connection_bytes = usable.saturating_sub(2 * pool_bytes);
        MemoryPlan {
            connections_each_way: (connection_bytes / CONNECTION_PAIR_BYTES).max(MIN_CONNECTIONS),
            request_bytes: pool_bytes,
            response_bytes: pool_bytes,
            list_text_bytes: (list_bytes / LIST_TEXT_DIVISOR).min(MAX_LIST_TEXT_BYTES),
        }
    }
}

#[cfg(test)]
mod tests;

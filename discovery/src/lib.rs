//! Client of the platform's discovery protocol, which delivers the endpoint list over HTTP.
//!
//! A poll is an HTTP request for the list. The discovery server keeps the response open as a list stream: it
//! sends a JSON object for each list or change, and an empty line every 2 s as a keep-alive. A watch
//! ([`ListSource::watch`]) reads one list stream after another. Proxies are required to follow a change of
//! the list within 6 s, so a watch closes a stream that is idle for too long and polls again within that
//! time, after a delay that is random for each proxy. If a poll has no response in time, the watch sends
//! another one in parallel.
//!
//! The handling of other failures depends on the discovery server. An agent on the proxy's own machine is
//! polled again within a fraction of a second. For a server that all proxies share, the watch ends with the
//! error, and the load balancing policy decides when to start the next one, so that proxies do not all poll
//! at the same time.

mod error;
mod json_stream;
mod poll_backoff;
mod poll_set;
mod watch;

pub use error::{ListError, WatchError};

use flaxhead_engine::{ListHandler, ListSource, WatchFuture};
use poll_backoff::PollBackoff;
use std::net::SocketAddr;

/// Maximum size of a list, unless the caller sets another.
const DEFAULT_MAX_LIST_BYTES: usize = 4 << 20;

/// Place of the discovery server, which determines the handling of failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deployment {
    /// Server that all proxies poll, so that their polls must be spread over time.
    Shared,
    /// Agent on the proxy's own machine, which only this proxy polls.
    LocalAgent,
}

/// Client of the discovery server at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discovery {
    address: SocketAddr,
    deployment: Deployment,
    seed: u64,
    max_list_bytes: usize,
}

impl Discovery {
    /// Creates a client of a discovery server that all proxies share. A watch ends with most failures, and
    /// the caller decides when to start the next one. `seed` must differ between proxies, to spread the polls
    /// of those whose list streams become idle at the same time.
    pub fn shared(address: SocketAddr, seed: u64) -> Discovery {
        Discovery { address, deployment: Deployment::Shared, seed, max_list_bytes: DEFAULT_MAX_LIST_BYTES }
    }

    /// Creates a client of an agent on the proxy's own machine. A watch polls again after any failure until
    /// it is dropped. `seed` must differ between proxies.
    pub fn local_agent(address: SocketAddr, seed: u64) -> Discovery {
        Discovery {
            address,
            deployment: Deployment::LocalAgent,
            seed,
            max_list_bytes: DEFAULT_MAX_LIST_BYTES,
        }
    }
}

impl Discovery {
    /// Limits the size of a list, to bound the memory that a faulty discovery server can use.
    #[must_use]
    pub fn with_max_list_bytes(self, max_list_bytes: usize) -> Discovery {
        Discovery { max_list_bytes, ..self }
    }
}

impl ListSource for Discovery {
    fn watch(&self, since: Option<u64>, mut handler: ListHandler) -> WatchFuture {
        let Discovery { address, deployment, seed, max_list_bytes } = *self;
        let backoff = PollBackoff::new(deployment, seed);
        Box::pin(
            async move { watch::watch(address, max_list_bytes, backoff, since, &mut handler).await.into() },
        )
    }
}

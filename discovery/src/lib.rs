//! Watches a fleet's endpoint list over the platform's HTTP protocol: one long response, a JSON object for each list.
//!
//! A watch that has fallen silent is broken, and what it misses counts as known to the proxy 6 s later: it is opened anew
//! before that, each proxy at a moment of its own. What else ends a watch depends on who serves the list. An agent on the
//! proxy's own machine, which pushes the list, is polled again within a fraction of a second, as what it has counts as known
//! to the proxy. Discovery that all proxies share is left to the decision module, which spreads their polls.

mod error;
mod json_stream;
mod poll_backoff;
mod poll_set;
mod watch;

pub use error::{ListError, WatchError};

use flaxhead_engine::{ListHandler, ListSource, WatchFuture};
use poll_backoff::PollBackoff;
use std::net::SocketAddr;

/// Who serves the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deployment {
    /// One server for all proxies.
    Shared,
    /// An agent on this proxy's own machine.
    LocalAgent,
}

/// Discovery at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discovery {
    address: SocketAddr,
    deployment: Deployment,
    seed: u64,
}

impl Discovery {
    /// Discovery that all proxies share: a watch that breaks ends, and the caller says when the next one begins. The seed,
    /// one for each proxy, keeps those whose watches fall silent together from polling together.
    pub fn shared(address: SocketAddr, seed: u64) -> Discovery {
        Discovery { address, deployment: Deployment::Shared, seed }
    }

    /// An agent on the proxy's own machine, to which lists are pushed: it responds at no cost, and a watch goes on until it
    /// is dropped, however often its connection breaks.
    pub fn local_agent(address: SocketAddr, seed: u64) -> Discovery {
        Discovery { address, deployment: Deployment::LocalAgent, seed }
    }
}

impl ListSource for Discovery {
    fn watch(&self, since: Option<u64>, mut handler: ListHandler) -> WatchFuture {
        let Discovery { address, deployment, seed } = *self;
        let backoff = PollBackoff::new(deployment, seed);
        Box::pin(async move { watch::watch(address, backoff, since, &mut handler).await.into() })
    }
}

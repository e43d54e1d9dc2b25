//! Watches a fleet's list of hosts over the platform's HTTP protocol: one long answer, a JSON object for each list.
//!
//! A watch that has fallen silent is broken, and what it misses counts as told 6 s later: it is opened anew before
//! that, each proxy at a moment of its own. What else ends a watch depends on who is asked. An agent on the proxy's
//! own machine, which pushes the list, is asked again within a fraction of a second, for what it has counts as told.
//! Discovery that all proxies ask in common is left to the decision module, which has them take turns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod asks;
mod error;
mod objects;
mod pace;
mod watch;

pub use error::{ListError, WatchError};

use flaxhead_engine::{News, Source, Watching};
use pace::Pace;
use std::net::SocketAddr;

/// Who keeps the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keeper {
    /// One for all proxies.
    Common,
    /// An agent of this proxy's own machine.
    Agent,
}

/// Discovery at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Discovery {
    address: SocketAddr,
    keeper: Keeper,
    seed: u64,
}

impl Discovery {
    /// Discovery that all proxies ask in common: a watch that breaks ends, and whoever watches says when the next one
    /// begins. The seed, one for each proxy, keeps those whose watches fall silent together from asking together.
    pub fn asked(address: SocketAddr, seed: u64) -> Discovery {
        Discovery { address, keeper: Keeper::Common, seed }
    }

    /// An agent on the proxy's own machine, to which lists are pushed: it answers at no cost, and a watch goes on until
    /// it is dropped, however often its connection breaks.
    pub fn pushed(address: SocketAddr, seed: u64) -> Discovery {
        Discovery { address, keeper: Keeper::Agent, seed }
    }
}

impl Source for Discovery {
    fn watch(&self, since: Option<u64>, mut news: News) -> Watching {
        let Discovery { address, keeper, seed } = *self;
        Box::pin(async move { watch::watch(address, Pace::new(keeper, seed), since, &mut news).await.into() })
    }
}

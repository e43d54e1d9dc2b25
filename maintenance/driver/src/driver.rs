//! The turns of one process, at their coordinator.

use crate::side::{Hosts, Sparing};
use flaxhead_coordination::{Coordinator, StateStore};
use flaxhead_lease::{Config, Voters};
use flaxhead_maintenance::{view, Answer, Order, Refusal, Rules, Turns, View};
use flaxhead_peers::{Channel, Peers};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// What `[work]` holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who grants leases.
    pub voters: Voters,
    /// Spans of the lease.
    pub config: Config,
    /// Spans and limits of the turns.
    pub rules: Rules,
}

/// One process's part in the turns, shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct Work(Coordinator<Turns>);

impl Work {
    /// Runs over these peers, and remembers on the disk, where there is one. `seed` is new with each start.
    pub fn start(settings: Settings, peers: Peers, seed: u64, disk: Option<StateStore<Turns>>) -> Work {
        let Settings { voters, config, rules } = settings;
        let (channel, application) = (Channel::MAINTENANCE, Turns::new(rules));
        Work(Coordinator::start(
            flaxhead_coordination::Settings { channel, voters, config, application },
            peers,
            seed,
            disk,
        ))
    }

    /// Tells when the process may send to hosts.
    pub fn open(&self) -> watch::Receiver<bool> {
        self.0.may_serve()
    }

    /// Takes part, with these hosts, until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self, hosts: Rc<dyn Hosts>) {
        self.0.serve(Rc::new(Sparing::new(hosts))).await;
    }

    /// What is shown.
    pub fn shown(&self) -> View {
        self.0.with_machine(view)
    }

    /// An operator's order, and what it led to.
    pub async fn order(&self, order: Order, patience: Duration) -> Result<Answer, Refusal> {
        self.0.submit(order, patience).await
    }
}

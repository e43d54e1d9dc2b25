//! The drains of one process, and their coordinator.

use crate::participant::{HostExclusion, Hosts};
use flaxhead_coordination::{Coordinator, StateStore};
use flaxhead_lease::{Config, Voters};
use flaxhead_maintenance::{
    view, Command, CommandResponse, Maintenance, MaintenanceView, Rejection, SchedulerConfig,
};
use flaxhead_peers::{Channel, Peers};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// What `[work]` configures.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Who grants leases.
    pub voters: Voters,
    /// The time spans of the lease.
    pub config: Config,
    /// The time spans and limits of drains.
    pub scheduler: SchedulerConfig,
}

/// One process's part in the drains, shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct MaintenanceService(Coordinator<Maintenance>);

impl MaintenanceService {
    /// Runs over these peers, with a store if there is one. `seed` is new with each start.
    pub fn start(
        settings: Settings,
        peers: Peers,
        seed: u64,
        store: Option<StateStore<Maintenance>>,
    ) -> MaintenanceService {
        let Settings { voters, config, scheduler } = settings;
        let settings = flaxhead_coordination::Settings {
            channel: Channel::MAINTENANCE,
            voters,
            config,
            application: Maintenance::new(scheduler),
        };
        MaintenanceService(Coordinator::start(settings, peers, seed, store))
    }

    /// Tells when the process may send to hosts.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve()
    }

    /// Takes part, with these hosts, until it is dropped. Runs inside a [`tokio::task::LocalSet`].
    pub async fn serve(&self, hosts: Rc<dyn Hosts>) {
        self.0.serve(Rc::new(HostExclusion::new(hosts))).await;
    }

    /// What operators see.
    pub fn view(&self) -> MaintenanceView {
        self.0.with_machine(view)
    }

    /// Submits an operator's command, and waits for its result, no longer than `timeout`.
    ///
    /// # Errors
    ///
    /// Why the command changed nothing.
    pub async fn submit(&self, command: Command, timeout: Duration) -> Result<CommandResponse, Rejection> {
        self.0.submit(command, timeout).await
    }
}

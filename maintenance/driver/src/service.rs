//! The maintenance service of one process.

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

/// Configuration of section `[work]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Voters of the lease.
    pub voters: Voters,
    /// Timing of the lease.
    pub config: Config,
    /// Time limits of drains, and limits on hosts out of service.
    pub scheduler: SchedulerConfig,
}

/// Maintenance at one process, shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct MaintenanceService(Coordinator<Maintenance>);

impl MaintenanceService {
    /// Creates the service over these peers. `seed` must differ at each start; `store` persists the state, if
    /// there is one.
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

    /// Returns a receiver of whether this process may send to hosts.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve()
    }

    /// Runs the service with these hosts until the future is dropped. Requires a [`tokio::task::LocalSet`].
    pub async fn serve(&self, hosts: Rc<dyn Hosts>) {
        self.0.serve(Rc::new(HostExclusion::new(hosts))).await;
    }

    /// Returns the state of maintenance for operators.
    pub fn view(&self) -> MaintenanceView {
        self.0.with_machine(view)
    }

    /// Submits an operator's command and waits up to `timeout` for its result.
    ///
    /// # Errors
    ///
    /// The command was rejected or not confirmed in time.
    pub async fn submit(&self, command: Command, timeout: Duration) -> Result<CommandResponse, Rejection> {
        self.0.submit(command, timeout).await
    }
}

//! Handle through which a process runs the maintenance protocol and submits commands.

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

/// Configuration of host maintenance, which the proxy reads from section `[work]` of its INI file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Processes whose majority grants the leader its lease.
    pub voters: Voters,
    /// Durations and timeouts of the lease protocol.
    pub config: Config,
    /// Time limits of drains, and limits on the number of hosts out of service.
    pub scheduler: SchedulerConfig,
}

/// Handle to host maintenance at one process, shared by the tasks of one thread.
#[derive(Clone, Debug)]
pub struct MaintenanceService(Coordinator<Maintenance>);

impl MaintenanceService {
    /// Creates the service, which exchanges messages with these peers. `seed` must differ at each start of
    /// the process; without a `store`, the schedule is not persisted.
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

    /// Returns a watch channel that turns true when this process is admitted, or gives up waiting for
    /// admission after a timeout: only then may it send calls to hosts.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve()
    }

    /// Runs the maintenance protocol with these hosts until the future is dropped. Requires a
    /// [`tokio::task::LocalSet`].
    pub async fn serve(&self, hosts: Rc<dyn Hosts>) {
        self.0.serve(Rc::new(HostExclusion::new(hosts))).await;
    }

    /// Returns the drains and the lease as this process knows them.
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

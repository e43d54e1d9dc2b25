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

/// Configuration of host maintenance. The proxy reads it from section `[work]` of the operators'
/// configuration file; the presence of that section switches host maintenance on.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Voters, of which a majority grants the leader its lease.
    pub voters: Voters,
    /// Durations and timeouts of the lease protocol.
    pub config: Config,
    /// Limits on the hosts out of service, and time limits of drains.
    pub scheduler: SchedulerConfig,
}

/// Handle to host maintenance at one process. Clones share one protocol state machine and stay on one thread.
#[derive(Clone, Debug)]
pub struct MaintenanceService(Coordinator<Maintenance>);

impl MaintenanceService {
    /// Creates the service, which exchanges messages with the other processes through `peers`. `seed` starts
    /// the random number generator and must differ at each start of the process and from the seeds of other
    /// [`flaxhead_coordination`] services. Without a `store`, the schedule is not persisted.
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

    /// Returns a watch channel whose value is true once this process may send calls to hosts: it has been
    /// admitted, or it serves without admission, for example because it waited for longer than the configured
    /// timeout.
    pub fn may_serve(&self) -> watch::Receiver<bool> {
        self.0.may_serve()
    }

    /// Runs the maintenance protocol with these hosts until the future is dropped. Requires a
    /// [`tokio::task::LocalSet`].
    pub async fn serve(&self, hosts: Rc<dyn Hosts>) {
        self.0.serve(Rc::new(HostExclusion::new(hosts))).await;
    }

    /// Returns the lease, the drains and, at the leader, the admitted processes (the roster), as this process
    /// knows them.
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

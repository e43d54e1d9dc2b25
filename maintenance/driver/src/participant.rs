//! The hosts of one process, as the drains see them.

use flaxhead_coordination::{Clock, Participant};
use flaxhead_lease::{Ballot, Machine};
use flaxhead_maintenance::{excluded_hosts, DrainEvent, ExcludedHost, HostFacts, HostUsage, Maintenance};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// A host that is excluded until the next notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedUntilNotice {
    /// Its name.
    pub host: String,
    /// From when on nothing new is sent to it.
    pub from: Instant,
}

/// The hosts, as the process knows and uses them.
pub trait Hosts {
    /// All hosts of the list, by name, and the zones in which this process reaches none.
    fn facts(&self) -> HostFacts;
    /// What is in flight now.
    fn usage(&self) -> HostUsage;
    /// Excludes these hosts, and no others.
    fn exclude(&self, hosts: Vec<ExcludedUntilNotice>);
    /// A drain has progressed. Called at the leader.
    fn event(&self, event: &DrainEvent);
}

/// Excludes hosts as the schedule says: before any other process hears that they are.
pub(crate) struct HostExclusion {
    hosts: Rc<dyn Hosts>,
    excluded: RefCell<Vec<ExcludedHost>>,
}

impl HostExclusion {
    pub(crate) fn new(hosts: Rc<dyn Hosts>) -> HostExclusion {
        HostExclusion { hosts, excluded: RefCell::default() }
    }
}

impl Participant<Maintenance> for HostExclusion {
    fn facts(&self) -> HostFacts {
        self.hosts.facts()
    }

    fn before_step(&self, application: &mut Maintenance) {
        application.set_usage(self.hosts.usage());
    }

    fn after_step(&self, machine: &Machine<Maintenance>, clock: Clock) {
        let excluded = excluded_hosts(machine);
        if *self.excluded.borrow() == excluded {
            return;
        }
        let until_notice = |excluded: &ExcludedHost| ExcludedUntilNotice {
            host: excluded.host.clone(),
            from: clock.to_instant(excluded.from),
        };
        self.hosts.exclude(excluded.iter().map(until_notice).collect());
        self.excluded.replace(excluded);
    }

    fn leadership_changed(&self, ballot: Option<&Ballot>) {
        match ballot {
            Some(ballot) => tracing::info!("work: this proxy hands out turns, as {ballot}"),
            None => tracing::info!("work: this proxy hands out turns no longer"),
        }
    }

    fn event(&self, event: DrainEvent) {
        let DrainEvent { drain, host, change, reason } = &event;
        tracing::info!("work: turn {drain} of {host}: {change}: {reason}");
        self.hosts.event(&event);
    }
}

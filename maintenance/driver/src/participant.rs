//! Trait [`Hosts`], by which the maintenance protocol reads the state of the hosts and excludes hosts from
//! new calls, and the [`Participant`] that calls it at each step of the protocol.

use flaxhead_coordination::{Clock, Participant};
use flaxhead_lease::{Ballot, Machine};
use flaxhead_maintenance::{excluded_hosts, DrainEvent, ExcludedHost, HostFacts, HostUsage, Maintenance};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// Host that this process sends no new calls to, from a given time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedExclusion {
    /// Name of the host in discovery's list.
    pub host: String,
    /// Time from which no new call is sent to the host.
    pub from: Instant,
}

/// Hosts that a process sends calls to. The proxy implements this trait: it reports the hosts' state to the
/// protocol and keeps new calls away from excluded hosts.
pub trait Hosts {
    /// Returns the state of all hosts that discovery lists, and the zones in which this process reaches no
    /// host.
    fn facts(&self) -> HostFacts;
    /// Returns the number of calls in flight at each host now, and the mean of their total over the last
    /// seconds.
    fn usage(&self) -> HostUsage;
    /// Excludes these hosts from new calls, each from its own time on. Replaces all earlier exclusions, so
    /// any host that is not named receives calls again.
    fn exclude(&self, hosts: Vec<TimedExclusion>);
    /// Records an event, such as a change of a drain, in the audit trail. Called only while this process is
    /// the leader.
    fn event(&self, event: &DrainEvent);
}

/// Excludes hosts by the schedule after each step of the protocol. This happens before the messages of that
/// step are sent, so that no process confirms an exclusion that is not in effect.
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
        let timed = |excluded: &ExcludedHost| TimedExclusion {
            host: excluded.host.clone(),
            from: clock.to_instant(excluded.from),
        };
        self.hosts.exclude(excluded.iter().map(timed).collect());
        self.excluded.replace(excluded);
    }

    fn leadership_changed(&self, ballot: Option<&Ballot>) {
        match ballot {
            Some(ballot) => tracing::info!("work: this proxy became the leader with ballot {ballot}"),
            None => tracing::info!("work: this proxy is no longer the leader"),
        }
    }

    fn event(&self, event: DrainEvent) {
        let DrainEvent { drain, host, change, reason } = &event;
        tracing::info!("work: drain {drain} of host {host}: {change}: {reason}");
        self.hosts.event(&event);
    }
}

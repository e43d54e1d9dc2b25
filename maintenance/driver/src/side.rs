//! The hosts of one process, as the turns go by them.

use flaxhead_coordination::{Clock, Participant};
use flaxhead_lease::{Ballot, Machine, Micros};
use flaxhead_maintenance::{spared, HostFacts, Step, Turns, Usage};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::time::Instant;

/// The hosts, as the process knows and uses them.
pub trait Hosts {
    /// All of the list, by name, and the zones that this process reaches no host of.
    fn facts(&self) -> HostFacts;
    /// What is in hand, now.
    fn usage(&self) -> Usage;
    /// Leaves these hosts alone, each from its moment on, and no others.
    fn spare(&self, hosts: Vec<(String, Instant)>);
    /// A step of a turn, at the proxy that hands them out.
    fn noted(&self, step: &Step);
}

/// What is left alone is left alone before anybody hears that it is.
pub(crate) struct Sparing {
    hosts: Rc<dyn Hosts>,
    spared: RefCell<Vec<(String, Micros)>>,
}

impl Sparing {
    pub(crate) fn new(hosts: Rc<dyn Hosts>) -> Sparing {
        Sparing { hosts, spared: RefCell::default() }
    }
}

impl Participant<Turns> for Sparing {
    fn facts(&self) -> HostFacts {
        self.hosts.facts()
    }

    fn before_step(&self, application: &mut Turns) {
        application.use_of_hosts(self.hosts.usage());
    }

    fn after_step(&self, machine: &Machine<Turns>, clock: Clock) {
        let spared = spared(machine);
        if *self.spared.borrow() != spared {
            self.hosts.spare(spared.iter().map(|(host, from)| (host.clone(), clock.moment(*from))).collect());
            self.spared.replace(spared);
        }
    }

    fn leadership_changed(&self, fence: Option<&Ballot>) {
        match fence {
            Some(fence) => tracing::info!("work: this proxy hands out turns, as {fence}"),
            None => tracing::info!("work: this proxy hands out turns no longer"),
        }
    }

    fn event(&self, step: Step) {
        let Step { turn, host, what, why } = &step;
        tracing::info!("work: turn {turn} of {host}: {what}: {why}");
        self.hosts.noted(&step);
    }
}

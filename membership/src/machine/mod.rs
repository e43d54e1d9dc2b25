//! The protocol: when a member is probed, suspected, declared dead and found again.

mod config;
mod contacts;
mod dissemination;
mod effect;
mod gossip;
mod leaving;
mod probing;
mod receive;
mod self_check;
mod suspicion;
mod view;

pub use config::Config;
pub use effect::{Change, CheckResult, Effect};

use crate::health::Health;
use crate::name::{Name, Stamp};
use crate::packet::{MemberRecord, Rejection};
use crate::probe::{Probe, Relay};
use crate::queue::Queue;
use crate::table::MemberTable;
use crate::view::Reach;
use crate::{CutOff, Micros};
use leaving::Leaving;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use suspicion::Suspicion;

/// When each regular action is next due.
#[derive(Clone, Debug)]
struct Timers {
    probe: Micros,
    gossip: Micros,
    sync: Micros,
    reconnect: Micros,
    join: Micros,
}

/// What this process alone knows of a member.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// When it was last received directly.
    received_at: Option<Micros>,
    /// When its state last changed.
    since: Micros,
    digest: Option<u32>,
    reach: Reach,
    via: Option<Name>,
    /// When this process last vouched for it.
    vouched_at: Micros,
    /// A probe of it failed and it has not been received since.
    is_silent: bool,
    suspicion: Option<Suspicion>,
}

/// One process's part in the membership.
#[derive(Clone, Debug)]
pub struct Machine {
    config: Config,
    table: MemberTable,
    peers: BTreeMap<Name, Peer>,
    random: Pcg32,
    started: Micros,
    /// When it was to be ticked next.
    due: Micros,
    timers: Timers,
    /// The other members in the order in which they are probed.
    ring: Vec<Name>,
    ring_position: usize,
    last_seq: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    /// When suspicions end, the earliest first.
    deadlines: BTreeSet<(Micros, Name)>,
    queue: Queue,
    health: Health,
    cut_off: Option<CutOff>,
    contacts: Vec<SocketAddr>,
    join_attempts: u32,
    unmet_attempts: u32,
    leaving: Option<Leaving>,
    is_displaced: bool,
    rejected: BTreeMap<Rejection, u64>,
    /// Counts the changes of the view.
    version: u64,
}

impl Machine {
    /// A process that starts at `now`, which others reach at `address`. All that is random comes from `seed`, its
    /// incarnation among it, which is new with each start. It asks the `contacts` for other members.
    pub fn new(
        name: Name,
        address: SocketAddr,
        contacts: Vec<SocketAddr>,
        config: Config,
        seed: u64,
        now: Micros,
    ) -> Machine {
        let mut random = Pcg32::seed_from_u64(seed);
        let stamp = Stamp::first(random.next_u64());
        let record = MemberRecord { name, address, stamp, uptime_ms: 0, cut_off: None };
        let mut machine = Machine {
            table: MemberTable::new(record),
            peers: BTreeMap::new(),
            random,
            started: now,
            due: now,
            timers: Timers { probe: now, gossip: now, sync: now, reconnect: now, join: now },
            ring: Vec::new(),
            ring_position: 0,
            last_seq: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queue: Queue::default(),
            health: Health::new(now, !config.is_plain_swim),
            cut_off: None,
            contacts: contacts.into_iter().filter(|contact| *contact != address).collect(),
            join_attempts: 0,
            unmet_attempts: 0,
            leaving: None,
            is_displaced: false,
            rejected: BTreeMap::new(),
            version: 0,
            config,
        };
        machine.spread_timers(now);
        machine
    }

    /// Processes that start together must not probe together.
    fn spread_timers(&mut self, now: Micros) {
        let Config { probe_interval, sync_interval, reconnect_interval, .. } = self.config;
        self.timers.probe = now + self.random_below(probe_interval);
        self.timers.sync = now + sync_interval + self.random_below(sync_interval);
        self.timers.reconnect = now + self.random_below(reconnect_interval);
    }

    /// What is known of members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// How this process finds itself cut off; `None`: it does not.
    pub fn cut_off(&self) -> Option<CutOff> {
        self.cut_off
    }

    /// Counts what was received and rejected.
    pub fn rejected(&self) -> &BTreeMap<Rejection, u64> {
        &self.rejected
    }

    /// Whether the process may take part in agreements.
    pub fn participates(&self) -> bool {
        self.cut_off.is_none() && !self.is_displaced && self.leaving.is_none()
    }

    /// When [`Machine::tick`] is wanted next.
    pub fn next_wake(&self) -> Micros {
        let Timers { probe, gossip, sync, reconnect, join } = self.timers;
        let gossip = if self.queue.is_empty() { Micros::MAX } else { gossip };
        let join = if self.wants_contact() { join } else { Micros::MAX };
        let probes = self.probes.values().map(|probe| probe.due).min().unwrap_or(Micros::MAX);
        let relays = self.relays.values().map(|relay| relay.due).min().unwrap_or(Micros::MAX);
        let deadline = self.deadlines.first().map_or(Micros::MAX, |(at, _)| *at);
        let leave = self.leaving.as_ref().map_or(Micros::MAX, |leaving| leaving.next_at);
        [probe, gossip, sync, reconnect, join, probes, relays, deadline, leave]
            .into_iter()
            .min()
            .unwrap_or(probe)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if self.is_displaced {
            return;
        }
        self.after_pause(now);
        self.handle_due_probes(now, effects);
        self.handle_due_relays(now, effects);
        self.handle_due_suspicions(now, effects);
        self.run_timers(now, effects);
        self.announce_leave(now, effects);
        self.assess_connectivity(now, effects);
        self.schedule(now);
    }

    fn run_timers(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        if now >= self.timers.probe {
            self.timers.probe = now + self.config.probe_interval * self.health.stretch();
            self.start_probe(now, effects);
        }
        if now >= self.timers.gossip && !self.queue.is_empty() {
            self.timers.gossip = now + self.config.gossip_interval;
            self.gossip(effects);
        }
        if now >= self.timers.sync {
            let interval = self.sync_interval();
            self.timers.sync = now + interval / 2 + self.random_below(interval);
            self.sync(now, effects);
        }
        if now >= self.timers.reconnect {
            self.timers.reconnect = now + self.config.reconnect_interval;
            self.reconnect(now, effects);
        }
        if self.wants_contact() && now >= self.timers.join {
            self.join(now, effects);
        }
    }

    /// Notes when it is to be ticked next: what was due before it was known to be is not late.
    fn schedule(&mut self, now: Micros) {
        self.due = self.next_wake().max(now);
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    /// A random number below `bound`, which counts as 32 bits at the most; 0 where that is 0.
    fn random_below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> u32::BITS
    }

    /// A random place in a list of so many; 0 where it is empty.
    fn random_index(&mut self, len: usize) -> usize {
        usize::try_from(self.random_below(len as u64)).unwrap_or(0)
    }
}

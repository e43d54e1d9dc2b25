//! The protocol: when a member is probed, suspected, taken for gone and found again.

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
    heard: Option<Micros>,
    since: Micros,
    digest: Option<u32>,
    reach: Reach,
    via: Option<Name>,
    vouched: Micros,
    /// A probe of it ended in nothing and it has not been heard since.
    silent: bool,
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
    due: Micros,
    timers: Timers,
    ring: Vec<Name>,
    ring_at: usize,
    seq: u32,
    probes: BTreeMap<u32, Probe>,
    relays: BTreeMap<u32, Relay>,
    deadlines: BTreeSet<(Micros, Name)>,
    queue: Queue,
    health: Health,
    cut_off: Option<CutOff>,
    contacts: Vec<SocketAddr>,
    join_tries: u32,
    unmet_tries: u32,
    leaving: Option<Leaving>,
    displaced: bool,
    rejected: BTreeMap<Rejection, u64>,
    /// Counts the changes of the view.
    version: u64,
}

impl Machine {
    /// A process that starts at `now`, reached at `at`. `seed` gives all that is drawn, its life among it, and is new
    /// with each start. It asks the `contacts` for who else there is.
    pub fn new(
        name: Name,
        at: SocketAddr,
        contacts: Vec<SocketAddr>,
        config: Config,
        seed: u64,
        now: Micros,
    ) -> Machine {
        let mut random = Pcg32::seed_from_u64(seed);
        let life = random.next_u64();
        let card = MemberRecord { name, address: at, stamp: Stamp::first(life), uptime_ms: 0, cut_off: None };
        let contacts = contacts.into_iter().filter(|contact| *contact != at).collect();
        let mut machine = Machine {
            table: MemberTable::new(card),
            peers: BTreeMap::new(),
            random,
            started: now,
            due: now,
            timers: Timers { probe: now, gossip: now, sync: now, reconnect: now, join: now },
            ring: Vec::new(),
            ring_at: 0,
            seq: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            queue: Queue::default(),
            health: Health::new(now, !config.is_plain_swim),
            cut_off: None,
            contacts,
            join_tries: 0,
            unmet_tries: 0,
            leaving: None,
            displaced: false,
            rejected: BTreeMap::new(),
            version: 0,
            config,
        };
        // Processes that start together do not probe together.
        machine.timers.probe = now + machine.below(machine.config.probe_interval);
        machine.timers.sync =
            now + machine.config.sync_interval + machine.below(machine.config.sync_interval);
        machine.timers.reconnect = now + machine.below(machine.config.reconnect_interval);
        machine
    }

    /// What is known.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// How this process finds itself cut off.
    pub fn cut_off(&self) -> Option<CutOff> {
        self.cut_off
    }

    /// Counts what came and was not taken.
    pub fn rejected(&self) -> &BTreeMap<Rejection, u64> {
        &self.rejected
    }

    /// Whether the process may take part in what is settled in common.
    pub fn participates(&self) -> bool {
        self.cut_off.is_none() && !self.displaced && self.leaving.is_none()
    }

    /// When [`Machine::tick`] is wanted next.
    pub fn next_wake(&self) -> Micros {
        let Timers { probe, gossip, sync, reconnect, join } = self.timers;
        let gossip = if self.queue.is_empty() { Micros::MAX } else { gossip };
        let join = if self.wants_contact() { join } else { Micros::MAX };
        let probes = self.probes.values().map(|p| p.due).min().unwrap_or(Micros::MAX);
        let relays = self.relays.values().map(|r| r.due).min().unwrap_or(Micros::MAX);
        let deadline = self.deadlines.first().map_or(Micros::MAX, |(at, _)| *at);
        let leave = self.leaving.as_ref().map_or(Micros::MAX, |l| l.next);
        [probe, gossip, sync, reconnect, join, probes, relays, deadline, leave]
            .into_iter()
            .min()
            .unwrap_or(probe)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Effect>) {
        if self.displaced {
            return;
        }
        self.after_pause(now);
        self.probes_due(now, out);
        self.relays_due(now, out);
        self.suspicions_due(now, out);
        if now >= self.timers.probe {
            self.timers.probe = now + self.config.probe_interval * self.health.stretch();
            self.start_probe(now, out);
        }
        if now >= self.timers.gossip && !self.queue.is_empty() {
            self.timers.gossip = now + self.config.gossip_interval;
            self.gossip(out);
        }
        if now >= self.timers.sync {
            let every = self.sync_every();
            self.timers.sync = now + every / 2 + self.below(every);
            self.sync(now, out);
        }
        if now >= self.timers.reconnect {
            self.timers.reconnect = now + self.config.reconnect_interval;
            self.reconnect(now, out);
        }
        if self.wants_contact() && now >= self.timers.join {
            self.join(now, out);
        }
        self.announce_leave(now, out);
        self.assess_connectivity(now, out);
        // What was due before it was known to be is not late.
        self.due = self.next_wake().max(now);
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}

//! Suspicions: how long each lasts, and how it ends.

use super::gossip::Forwarding;
use super::{Config, Effect, Machine};
use crate::liveness::{Cause, State, SuspicionReport};
use crate::name::Name;
use crate::packet::Update;
use crate::probe::{Probe, Stage};
use crate::table::Member;
use crate::Micros;

/// Time after a suspicion's end in which members that probed the suspect themselves may declare it dead, for one that did
/// not.
const HEARSAY_DELAY: Micros = 1_000_000;
/// Reports that nothing listens at an address, of different members, that end a suspicion at once.
const MIN_REFUSALS: usize = 2;
/// Probes through as many helpers as there are before a silent member is declared dead: one answer can be lost.
const MAX_FINAL_PROBES: u8 = 2;
/// Probe intervals after which a final probe counts as lost to a pause of this process, and the next one follows.
const FINAL_PROBE_INTERVALS: Micros = 6;

#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) since: Micros,
    pub(super) deadline: Micros,
    /// This process has probed the suspect in vain itself.
    pub(super) is_witness: bool,
    pub(super) final_probes: u8,
    /// A final probe is under way.
    pub(super) is_probing: bool,
}

impl Machine {
    pub(super) fn begin_suspicion(
        &mut self,
        now: Micros,
        name: &Name,
        is_witness: bool,
        effects: &mut Vec<Effect>,
    ) {
        if self.table.get(name).is_none_or(|member| member.state != State::Suspect) {
            return;
        }
        let Some(peer) = self.peers.get_mut(name) else { return };
        let suspicion = peer.suspicion.get_or_insert(Suspicion {
            since: now,
            deadline: now,
            is_witness,
            final_probes: 0,
            is_probing: false,
        });
        suspicion.is_witness |= is_witness;
        self.update_deadline(now, name, effects);
    }

    pub(super) fn end_suspicion(&mut self, name: &Name) {
        if let Some(ended) = self.peers.get_mut(name).and_then(|peer| peer.suspicion.take()) {
            self.deadlines.remove(&(ended.deadline, name.clone()));
        }
    }

    fn suspicion_mut(&mut self, name: &Name) -> Option<&mut Suspicion> {
        self.peers.get_mut(name)?.suspicion.as_mut()
    }

    fn set_deadline(&mut self, name: &Name, deadline: Micros) {
        let Some(suspicion) = self.suspicion_mut(name) else { return };
        let previous = std::mem::replace(&mut suspicion.deadline, deadline);
        self.deadlines.remove(&(previous, name.clone()));
        self.deadlines.insert((deadline, name.clone()));
    }

    /// Some member receives the suspect: the suspicion starts anew.
    pub(super) fn restart_suspicion(&mut self, now: Micros, name: &Name) {
        let Some(suspicion) = self.suspicion_mut(name) else { return };
        suspicion.since = now;
        suspicion.final_probes = 0;
        suspicion.is_probing = false;
        self.set_deadline(name, now + self.config.min_suspicion);
    }

    /// Sets when a suspicion ends, by the reports that there are on it.
    pub(super) fn update_deadline(&mut self, now: Micros, name: &Name, effects: &mut Vec<Effect>) {
        let Some(member) = self.table.get(name) else { return };
        let duration = self.suspicion_duration(member);
        let is_refused = self.is_refused(member);
        let hearsay_delay = HEARSAY_DELAY + self.random_below(HEARSAY_DELAY);
        let Some(suspicion) = self.suspicion_mut(name) else { return };
        // Once a final probe is made, only that ends it.
        let deadline = if suspicion.final_probes > 0 {
            suspicion.deadline
        } else if suspicion.is_witness {
            suspicion.since + duration
        } else {
            suspicion.since + duration + hearsay_delay
        };
        self.set_deadline(name, deadline);
        if is_refused && !self.config.is_plain_swim {
            self.declare_dead(now, name, Cause::Refused, effects);
        }
    }

    /// Whether so many members report that nothing listens at a member's address that it is dead. With one other member
    /// there is one report at the most.
    fn is_refused(&self, member: &Member) -> bool {
        let refusals = member.suspicions.iter().filter(|report| report.cause == Cause::Refused).count();
        let is_other = |other: &&Member| other.record.name != member.record.name;
        let witnesses = self.table.others().filter(is_other).count() + 1;
        refusals >= MIN_REFUSALS.min(witnesses)
    }

    /// How long a suspicion lasts: the shorter the more members confirm it (Lifeguard).
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a part of a span")]
    fn suspicion_duration(&self, member: &Member) -> Micros {
        let Config { min_suspicion, max_suspicion, is_plain_swim, .. } = self.config;
        if is_plain_swim {
            return min_suspicion;
        }
        // Its machine accepts connections for it: it is stopped, and comes back or is ended.
        if member.suspicions.iter().any(|report| report.cause == Cause::Stalled) {
            return max_suspicion;
        }
        let confirmations = u32::try_from(member.suspicions.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let full = f64::from(self.config.confirmations + 1).ln();
        let share = (f64::from(confirmations.saturating_add(1)).ln() / full).min(1.0);
        max_suspicion - ((max_suspicion - min_suspicion) as f64 * share) as Micros
    }

    /// A final probe has failed: the next one, or the end, is due.
    pub(super) fn final_probe_failed(&mut self, now: Micros, probe: &Probe) {
        let suspicion = self.suspicion_mut(&probe.name);
        let suspicion = suspicion.filter(|suspicion| probe.is_final && suspicion.is_probing);
        let Some(suspicion) = suspicion else { return };
        suspicion.is_probing = false;
        self.set_deadline(&probe.name, now);
    }

    pub(super) fn handle_due_suspicions(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some((_, name)) = self.deadlines.first().filter(|(at, _)| now >= *at).cloned() {
            self.deadlines.pop_first();
            self.handle_due_suspicion(now, &name, effects);
        }
    }

    fn handle_due_suspicion(&mut self, now: Micros, name: &Name, effects: &mut Vec<Effect>) {
        let Some(peer) = self.peers.get(name) else { return };
        let Some(suspicion) = &peer.suspicion else { return };
        let was_received = peer.received_at.is_some_and(|at| at > suspicion.since);
        let is_plain_swim = self.config.is_plain_swim;
        if was_received && !is_plain_swim {
            self.restart_suspicion(now, name);
        } else if self.cut_off.is_some() {
            self.set_deadline(name, now + self.config.probe_interval);
        } else if suspicion.final_probes >= MAX_FINAL_PROBES || is_plain_swim {
            let member = self.table.get(name);
            let causes = member.and_then(|member| member.suspicions.iter().map(|s| s.cause).max());
            self.declare_dead(now, name, causes.unwrap_or(Cause::Silent), effects);
        } else {
            self.begin_final_probe(now, name, effects);
        }
    }

    fn begin_final_probe(&mut self, now: Micros, name: &Name, effects: &mut Vec<Effect>) {
        let wait = FINAL_PROBE_INTERVALS * self.config.probe_interval * self.health.stretch();
        let Some(suspicion) = self.suspicion_mut(name) else { return };
        suspicion.final_probes += 1;
        suspicion.is_probing = true;
        self.set_deadline(name, now + wait);
        self.probe(now, name, Stage::Direct, true, effects);
    }

    fn declare_dead(&mut self, now: Micros, name: &Name, cause: Cause, effects: &mut Vec<Effect>) {
        let Some(member) = self.table.get(name) else { return };
        let by = SuspicionReport { by: self.table.me().name.clone(), cause };
        let update = Update { record: member.record.clone(), state: State::Dead, by: Some(by) };
        let result = self.table.merge(&update, self.uptime_ms(now));
        self.apply_merge(now, update, &result, Forwarding::Gossip, effects);
    }
}

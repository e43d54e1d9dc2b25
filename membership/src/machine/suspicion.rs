//! Suspicions: how long each lasts, and how it ends.

use super::{Config, Effect, Machine};
use crate::name::Name;
use crate::packet::Update;
use crate::probe::{Probe, Stage};
use crate::table::{Cause, State, SuspicionReport};
use crate::Micros;

/// Time after a suspicion's end in which others that saw it with their own eyes may settle it, for one that did not.
const HEARSAY_DELAY: Micros = 1_000_000;
/// Words that nothing listens at an address, of different members, that settle a death at once.
const MIN_REFUSALS: usize = 2;
/// Probes through as many as can be asked before a death by silence is settled: one answer can be lost.
const MAX_FINAL_PROBES: u8 = 2;

#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    pub(super) since: Micros,
    pub(super) deadline: Micros,
    /// This process has probed it in vain itself.
    pub(super) witness: bool,
    /// Last calls so far, and whether one is out.
    pub(super) calls: u8,
    pub(super) calling: bool,
}

impl Machine {
    pub(super) fn begin_suspicion(&mut self, now: Micros, name: &Name, witness: bool, out: &mut Vec<Effect>) {
        if self.table.get(name).is_none_or(|m| m.state != State::Suspect) {
            return;
        }
        let Some(peer) = self.peers.get_mut(name) else { return };
        let new = Suspicion { since: now, deadline: now, witness, calls: 0, calling: false };
        let suspicion = peer.suspicion.get_or_insert(new);
        suspicion.witness |= witness;
        self.update_deadline(now, name, out);
    }

    pub(super) fn end_suspicion(&mut self, name: &Name) {
        if let Some(old) = self.peers.get_mut(name).and_then(|peer| peer.suspicion.take()) {
            self.deadlines.remove(&(old.deadline, name.clone()));
        }
    }

    /// It was heard, by whomever: the suspicion begins anew.
    pub(super) fn restart_suspicion(&mut self, now: Micros, name: &Name) {
        let Some(suspicion) = self.peers.get_mut(name).and_then(|peer| peer.suspicion.as_mut()) else {
            return;
        };
        (suspicion.since, suspicion.calls, suspicion.calling) = (now, 0, false);
        let deadline = now + self.config.min_suspicion;
        let old = std::mem::replace(&mut suspicion.deadline, deadline);
        self.deadlines.remove(&(old, name.clone()));
        self.deadlines.insert((deadline, name.clone()));
    }

    /// When a suspicion ends, by the words there are on it.
    pub(super) fn update_deadline(&mut self, now: Micros, name: &Name, out: &mut Vec<Effect>) {
        let Some(member) = self.table.get(name) else { return };
        let refusals = member.suspicions.iter().filter(|word| word.cause == Cause::Refused).count();
        let stalled = member.suspicions.iter().any(|word| word.cause == Cause::Stalled);
        let confirmations = member.suspicions.len().saturating_sub(1) as u32;
        // With one other member there is one word at the most.
        let enough = MIN_REFUSALS.min(self.table.others().filter(|m| m.record.name != *name).count() + 1);
        let Config { min_suspicion: least, max_suspicion: most, .. } = self.config;
        let span = match self.config.is_plain_swim {
            true => least,
            // Its machine takes connections for it: it is stopped, and comes back or is ended.
            false if stalled => most,
            false => {
                let all = f64::from(self.config.confirmations + 1).ln();
                let share = (f64::from(confirmations + 1).ln() / all).min(1.0);
                most - ((most - least) as f64 * share) as Micros
            }
        };
        let hearsay = HEARSAY_DELAY + self.below(HEARSAY_DELAY);
        let Some(suspicion) = self.peers.get_mut(name).and_then(|peer| peer.suspicion.as_mut()) else {
            return;
        };
        let old = suspicion.deadline;
        // Once it is asked for the last time, only that ends it.
        if suspicion.calls == 0 {
            suspicion.deadline = suspicion.since + span + if suspicion.witness { 0 } else { hearsay };
        }
        let deadline = suspicion.deadline;
        self.deadlines.remove(&(old, name.clone()));
        self.deadlines.insert((deadline, name.clone()));
        if refusals >= enough && !self.config.is_plain_swim {
            self.declare_dead(now, name, Cause::Refused, out);
        }
    }

    /// A last call is over: the next one, or the end, is due.
    pub(super) fn final_probe_failed(&mut self, now: Micros, probe: &Probe) {
        let suspicion = self.peers.get_mut(&probe.name).and_then(|peer| peer.suspicion.as_mut());
        let Some(suspicion) = suspicion.filter(|suspicion| probe.last_call && suspicion.calling) else {
            return;
        };
        suspicion.calling = false;
        let old = std::mem::replace(&mut suspicion.deadline, now);
        self.deadlines.remove(&(old, probe.name.clone()));
        self.deadlines.insert((now, probe.name.clone()));
    }

    pub(super) fn suspicions_due(&mut self, now: Micros, out: &mut Vec<Effect>) {
        while let Some((_, name)) = self.deadlines.first().filter(|(at, _)| now >= *at).cloned() {
            self.deadlines.pop_first();
            let Some(peer) = self.peers.get_mut(&name) else { continue };
            let heard = peer.heard;
            let Some(suspicion) = peer.suspicion.as_mut() else { continue };
            if heard.is_some_and(|at| at > suspicion.since) && !self.config.is_plain_swim {
                self.restart_suspicion(now, &name);
            } else if self.cut_off.is_some() {
                suspicion.deadline = now + self.config.probe_interval;
                self.deadlines.insert((suspicion.deadline, name));
            } else if suspicion.calls >= MAX_FINAL_PROBES || self.config.is_plain_swim {
                let cause = self.table.get(&name).and_then(|m| m.suspicions.iter().map(|w| w.cause).max());
                self.declare_dead(now, &name, cause.unwrap_or(Cause::Silent), out);
            } else {
                suspicion.calls += 1;
                suspicion.calling = true;
                // Where the call itself is lost to a pause of this process, the next one follows.
                suspicion.deadline = now + 6 * self.config.probe_interval * self.health.stretch();
                self.deadlines.insert((suspicion.deadline, name.clone()));
                self.probe(now, &name, Stage::Direct, true, out);
            }
        }
    }

    pub(super) fn declare_dead(&mut self, now: Micros, name: &Name, cause: Cause, out: &mut Vec<Effect>) {
        let Some(card) = self.table.get(name).map(|m| m.record.clone()) else { return };
        let by = Some(SuspicionReport { by: self.table.me().name.clone(), cause });
        let update = Update { record: card, state: State::Dead, by };
        let merge = self.table.merge(&update, self.uptime_ms(now));
        self.apply_merge(now, update, merge, true, out);
    }
}

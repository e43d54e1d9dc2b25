//! What a process finds out about itself: that it was stopped, that it is cut off.

use super::{Change, Effect, Machine};
use crate::view::ms_ago;
use crate::Micros;

impl Machine {
    /// A process that was stopped or starved looks at its own clock first: what was not received meanwhile was received by
    /// nobody.
    pub(super) fn after_pause(&mut self, now: Micros) {
        let late = now.saturating_sub(self.due);
        let probe_interval = self.config.probe_interval;
        if self.config.is_plain_swim || late < probe_interval / 2 {
            return;
        }
        self.due = now;
        self.health.paused(now);
        self.probes.clear();
        self.relays.clear();
        for (_, name) in std::mem::take(&mut self.deadlines) {
            let suspicion = self.peers.get_mut(&name).and_then(|peer| peer.suspicion.as_mut());
            if let Some(suspicion) = suspicion {
                suspicion.since += late;
                suspicion.deadline = suspicion.deadline.max(now) + probe_interval;
                self.deadlines.insert((suspicion.deadline, name));
            }
        }
    }

    /// Finds out whether the process is cut off, and announces where that has changed.
    pub(super) fn assess_connectivity(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let cut_off = self.health.cut_off(now, self.config.probe_interval);
        if cut_off != self.cut_off && self.leaving.is_none() {
            self.cut_off = cut_off;
            self.version += 1;
            self.table.announce(self.uptime_ms(now), |record| record.cut_off = cut_off);
            self.announce_self();
            effects.push(Effect::Changed(Change::CutOff(cut_off)));
        }
    }

    pub(super) fn uptime_ms(&self, now: Micros) -> u32 {
        u32::try_from(ms_ago(now, self.started)).unwrap_or(u32::MAX)
    }
}

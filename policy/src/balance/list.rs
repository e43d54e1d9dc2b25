//! The list of servers, and when it is asked for.

use super::balancer::*;

/// Time over which balancers that lose the list together ask for it again.
fn ask_spread(settings: &Settings) -> Micros {
    (ASK_EACH * Micros::from(settings.balancer_count.saturating_sub(1))).min(ASK_APART)
}

impl Balancer {
    pub(super) fn started(&mut self, now: Micros) {
        self.earned_at = now;
        // All may start in the same instant: one that has a list takes its turn to ask for changes.
        if self.settings.subscribe {
            self.ask_at = now + self.below(ask_spread(&self.settings));
        }
    }

    /// How long discovery is left alone after a call that failed, or a watch that broke. Jitter keeps those
    /// that lost the list together from asking together again. Discovery has so much to do for each that
    /// longer pauses let it come to all, but in none does a change count as told before it is asked for.
    fn ask_pause(&mut self, now: Micros) -> Micros {
        let first = (self.settings.safety.max_poll_interval / 32).max(ask_spread(&self.settings));
        let wait = first << self.ask_failures.min(ASK_DOUBLINGS);
        let drawn = wait / 2 + self.below(wait);
        let since_asked = now.saturating_sub(self.asked_at);
        let most = if since_asked < ASK_APART { ASK_APART - since_asked } else { ASK_BROKEN };
        if drawn > most {
            return most - self.below(most * 3 / 5);
        }
        drawn
    }

    pub(super) fn members(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            if self.settings.subscribe {
                self.ask_at = now + self.ask_pause(now);
            }
            self.ask_failures += 1;
            return;
        }
        self.ask_failures *= u32::from(kind == ListKind::Cached);
        if self.settings.subscribe && kind == ListKind::Cached && entries.is_empty() {
            self.ask_at = now;
        }
        self.servers.iter_mut().for_each(|s| s.listed &= kind == ListKind::Delta);
        for entry in entries {
            let found = self.servers.binary_search_by_key(&entry.server, |s| s.id);
            let place = found.unwrap_or_else(|place| place);
            // A restart under the same number is a new, cold process: nothing learned of the old one holds.
            if found.is_err() || entry.started_at > self.servers[place].started_at {
                let mut server = Server::new(entry, self.settings.balancer_count);
                server.kept_busy(self.longest_usual(), self.sends, 1.0);
                // Balancers hear of a cold server together: its first turn comes to each at another time.
                if server.warmth(now, &self.settings.safety) < 1.0 {
                    server.turns = self.below(TURN_PARTS) as f64 / TURN_PARTS as f64;
                }
                self.servers.splice(place..place + usize::from(found.is_ok()), [server]);
            }
            let server = &mut self.servers[place];
            server.listed = entry.state == State::Ready;
            (server.zone, server.cell) = (entry.zone, entry.cell);
            server.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.servers.retain(|s| s.listed || s.in_flight > 0);
        self.count();
    }
}

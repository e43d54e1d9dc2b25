//! Updates of the endpoint list, and when to subscribe to it.

use super::balancer::*;

/// Period over which balancers that lose the endpoint list together spread their new subscriptions.
fn subscribe_spread(settings: &Settings) -> Micros {
    (SUBSCRIBE_SLOT_US * Micros::from(settings.balancer_count.saturating_sub(1))).min(SUBSCRIBE_GAP_US)
}

impl Balancer {
    pub(super) fn start(&mut self, now: Micros) {
        self.credits_updated_at = now;
        // Balancers may start together, so each delays its first subscription by a random time of its own.
        if self.settings.subscribe {
            self.subscribe_at = now + self.random_below(subscribe_spread(&self.settings));
        }
    }

    /// Delay after a failed subscription: exponential backoff with jitter, but changes must arrive in 6 s.
    fn subscribe_delay(&mut self, now: Micros) -> Micros {
        let initial = (self.settings.safety.max_poll_interval / 32).max(subscribe_spread(&self.settings));
        let backoff = initial << self.subscribe_failures.min(MAX_SUBSCRIBE_DOUBLINGS);
        let jittered = backoff / 2 + self.random_below(backoff);
        let waited = now.saturating_sub(self.last_subscribe_at);
        let limit = if waited < SUBSCRIBE_GAP_US { SUBSCRIBE_GAP_US - waited } else { RESUBSCRIBE_DELAY_US };
        if jittered > limit {
            return limit - self.random_below(limit * 3 / 5);
        }
        jittered
    }

    pub(super) fn update_servers(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            if self.settings.subscribe {
                self.subscribe_at = now + self.subscribe_delay(now);
            }
            self.subscribe_failures += 1;
            return;
        }
        self.subscribe_failures *= u32::from(kind == ListKind::Cached);
        if self.settings.subscribe && kind == ListKind::Cached && entries.is_empty() {
            self.subscribe_at = now;
        }
        self.servers.iter_mut().for_each(|s| s.listed &= kind == ListKind::Delta);
        for entry in entries {
            let found = self.servers.binary_search_by_key(&entry.server, |s| s.id);
            let index = found.unwrap_or_else(|index| index);
            // A restarted server is a new process: the estimates of the old one no longer apply.
            if found.is_err() || entry.started_at > self.servers[index].started_at {
                let mut server = Server::new(entry, self.settings.balancer_count);
                server.record_busy_time(self.max_mean_latency(), self.send_count, 1.0);
                // A random first credit keeps balancers from calling a new server all at once.
                if server.warmup_ratio(now, &self.settings.safety) < 1.0 {
                    server.send_credits = self.random_below(CREDIT_PARTS) as f64 / CREDIT_PARTS as f64;
                }
                self.servers.splice(index..index + usize::from(found.is_ok()), [server]);
            }
            let server = &mut self.servers[index];
            server.listed = entry.state == State::Ready;
            (server.zone, server.cell) = (entry.zone, entry.cell);
            server.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.servers.retain(|s| s.listed || s.in_flight > 0);
        self.update_counts();
    }
}

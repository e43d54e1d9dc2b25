//! Slow start: limits the calls that a recently started server is sent.

use super::balancer::*;

impl Balancer {
    /// Adds send credits to warming servers: for each call served by any server, the warming server's part of
    /// the fleet's capacity. Rejections add nothing. Elapsed time adds at most one credit per longest
    /// objective over all balancers.
    pub(super) fn earn_send_credits(&mut self, now: Micros, is_answer: bool) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.credits_updated_at, now)) as f64;
        if now >= self.all_warm_at {
            return;
        }
        let (safety, models) = (&self.settings.safety, &self.models);
        let capacity = |s: &Server| {
            let log_ratio = models.get(&s.model).map_or(0.0, |model| model.log_ratio);
            s.weight * s.warmup_ratio(now, safety) * (-log_ratio).exp()
        };
        // Only a served call needs the capacity of the fleet; other events skip the sum.
        let total = is_answer.then(|| self.servers.iter().filter(|s| s.listed).map(capacity).sum::<f64>());
        let round = self.max_objective() * f64::from(self.settings.balancer_count);
        let in_large_group = self.large_group.is_some();
        let boost = (safety.overload_multiple * BOOST_OVERLOAD_RATIO).clamp(1.0, MAX_BOOST_RATIO);
        for server in self.servers.iter_mut().filter(|s| s.listed) {
            let warmup_ratio = server.warmup_ratio(now, safety);
            if warmup_ratio < 1.0 {
                let credits =
                    total.map_or(0.0, |total| capacity(server) / total) + elapsed * warmup_ratio / round;
                // A server that keeps up earns more, but not in a large group: it sees an overload too late.
                let keeps_up = !in_large_group && server.last_served_at > 0 && server.latency_ratio <= 1.0;
                let credits = if keeps_up { credits * boost } else { credits };
                // Capped at two credits, so that a server without recent calls is not sent a burst.
                server.send_credits = (server.send_credits + credits).min(2.0);
            }
        }
    }
}

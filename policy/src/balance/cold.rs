//! How much a server that has just started_at is sent.

use super::balancer::*;

impl Balancer {
    /// Earns cold servers their turns, by their stated share of what warm ones do: any number of balancers
    /// keep them safe so, and fast refusals earn nothing. A share grows with its server's warmth; turns are
    /// earned bit by bit: far between, as for each of many balancers, they would else come at the pace of the
    /// coldest. Without answers time earns a server less than one call in flight from all.
    pub(super) fn earn_turns(&mut self, now: Micros, answered: bool) {
        let span = now.saturating_sub(std::mem::replace(&mut self.earned_at, now)) as f64;
        if now >= self.warm_from {
            return;
        }
        let (safety, models) = (&self.settings.safety, &self.models);
        let can = |s: &Server| {
            let model = models.get(&s.model).map_or(0.0, |model| model.log);
            s.weight * s.warmth(now, safety) * (-model).exp()
        };
        // Only an answer is shared out: most events need no sum over the fleet.
        let all = answered.then(|| self.servers.iter().filter(|s| s.listed).map(can).sum::<f64>());
        let round = self.longest_aim() * f64::from(self.settings.balancer_count);
        let seldom = self.thin.is_some();
        let seen = (safety.overload_multiple * COLD_SEEN_OF_FALL).clamp(1.0, COLD_SEEN);
        for server in self.servers.iter_mut().filter(|s| s.listed) {
            let warmth = server.warmth(now, safety);
            if warmth < 1.0 {
                let part = all.map_or(0.0, |all| can(server) / all) + span * warmth / round;
                // A thin balancer meets it too seldom to see in time that it is too much.
                let in_time = !seldom && server.answered > 0 && server.strain <= 1.0;
                let part = if in_time { part * seen } else { part };
                // One that came late is made up for, one at the most: the part is kept on the mean.
                server.turns = (server.turns + part).min(2.0);
            }
        }
    }
}

//! Server selection in five steps, each of which narrows the candidates of the step before.
//!
//! 1. Eligible: listed, not ejected or paused, in no zone that backs off, and allowed by idempotency.
//! 2. Slow start: a warming server with a send credit and no call in flight is preferred to all others.
//! 3. Subset: the next servers, by id, from this balancer's position, as many as its traffic needs.
//! 4. In time: servers that can answer in time, and among them those of the local zone while they are fast.
//! 5. Load: the better of two random servers below their budgets; if there is none, a trial beyond a budget.
//!
//! Steps 3 and 4 are preferences: they leave at least one candidate if step 1 does.

use super::balancer::*;

/// Inputs of one selection; `mean` is the mean latency of the call's class in microseconds.
struct PickContext<'a> {
    now: Micros,
    call: &'a Call,
    mean: f64,
    zones_in_backoff: Vec<ZoneId>,
}

/// Keeps the preferred candidates, or all if there are none.
fn prefer(candidates: &mut Vec<usize>, is_preferred: impl Fn(usize) -> bool) {
    if candidates.iter().any(|&index| is_preferred(index)) {
        candidates.retain(|&index| is_preferred(index));
    }
}

impl Balancer {
    /// Decides whether a call is sent, queued or rejected.
    pub(super) fn route(&mut self, now: Micros, id: CallId) -> Route {
        let call = &self.calls[&id];
        let mean = self.mean_latency(call.class_id, call.class.objective);
        let zones_in_backoff =
            self.zone_backoffs.iter().filter(|(_, backoff)| now < backoff.1).map(|(&zone, _)| zone).collect();
        let pick = PickContext { now, call, mean, zones_in_backoff };
        if let Some(server) = self.pick_warming_up(&pick) {
            return Route::Send { server, kind: SendKind::Regular };
        }
        let mut candidates = self.subset(&pick);
        self.prefer_in_time(&pick, &mut candidates);
        let safety = self.settings.safety;
        if let Some(server) = self.two_choices(now, mean, &candidates) {
            if !self.servers[server].is_full(now, &safety) {
                return Route::Send { server, kind: SendKind::Regular };
            }
        }
        let max_mean = self.max_mean_latency();
        let only = |keep: &dyn Fn(&Server) -> bool| -> Vec<usize> {
            candidates.iter().copied().filter(|&index| keep(&self.servers[index])).collect()
        };
        let (with_room, trials) =
            (only(&|s| !s.is_full(now, &safety)), only(&|s| s.may_take_trial(now, max_mean, &safety)));
        match (self.two_choices(now, mean, &with_room), self.two_choices(now, mean, &trials)) {
            (Some(server), _) => Route::Send { server, kind: SendKind::Regular },
            (None, Some(server)) => Route::Send { server, kind: SendKind::Trial },
            (None, None) => self.queue_or_reject(now),
        }
    }

    /// Queues the call; rejects it if servers are listed and all of them are ejected.
    fn queue_or_reject(&self, now: Micros) -> Route {
        let all = self.servers.iter().filter(|s| s.listed);
        let all_down = all.clone().all(|s| s.budget.steps == 0);
        let first_retry_at = all.map(|s| s.budget.backoff_until).min().filter(|_| all_down);
        first_retry_at.map_or(Route::Queue, |at| Route::Reject {
            retry_after: at.saturating_sub(now).max(self.initial_backoff()),
        })
    }

    /// Step 1. Whether the call may be sent to the server.
    fn is_eligible(&self, pick: &PickContext<'_>, server: &Server) -> bool {
        server.is_usable(pick.now, self.served_count, &self.settings.safety)
            && !pick.zones_in_backoff.contains(&server.zone)
            && pick.call.may_go_to(pick.now, server, self.settings.clock_tick)
    }

    /// Eligible servers on a ring in order of id, from this balancer's position on. The balancers' positions
    /// are evenly spaced, so that each server is in about the same number of subsets.
    fn ring<'a>(&'a self, pick: &'a PickContext<'a>) -> impl Iterator<Item = usize> + 'a {
        let len = self.servers.len();
        let balancer_count = self.settings.balancer_count.max(1) as usize;
        let start = (self.settings.balancer_index as usize * len / balancer_count) % len.max(1);
        (start..len).chain(0..start).filter(|&index| self.is_eligible(pick, &self.servers[index]))
    }

    /// Step 2. Picks the warming server with the most credits; random choice would give it too few calls.
    fn pick_warming_up(&self, pick: &PickContext<'_>) -> Option<usize> {
        let now = pick.now;
        if now >= self.all_warm_at || !pick.call.attempts.is_empty() {
            return None;
        }
        let is_due = |s: &Server| s.warmup_ratio(now, &self.settings.safety) < 1.0 && s.in_flight == 0;
        let send_credits = |index: &usize| self.servers[*index].send_credits;
        self.ring(pick)
            .filter(|&index| is_due(&self.servers[index]))
            .max_by(|a, b| send_credits(a).total_cmp(&send_credits(b)))
    }

    /// Step 3. Takes the first servers of the ring; for a retry, only those not tried yet, if there are any.
    fn subset(&self, pick: &PickContext<'_>) -> Vec<usize> {
        let is_untried = |index: usize| pick.call.is_untried(self.servers[index].id);
        let any_untried = self.ring(pick).any(is_untried);
        self.ring(pick).filter(|&index| !any_untried || is_untried(index)).take(self.subset_size()).collect()
    }

    /// Step 4. Prefers zones near enough to answer before the deadline, then the local zone. In a large group
    /// it also prefers servers whose expected latency is within the objective.
    fn prefer_in_time(&self, pick: &PickContext<'_>, candidates: &mut Vec<usize>) {
        let &PickContext { now, call, mean, .. } = pick;
        let has_room = |s: &Server| !s.is_full(now, &self.settings.safety);
        let reaches_in_time = |zone_us: f64| now as f64 + zone_us * LIMIT_ZONE_RATIO <= call.deadline as f64;
        let max_zone_latency = self.zones.values().filter_map(|latency| latency.min_us).fold(0.0, f64::max);
        let is_near = |index: usize| reaches_in_time(self.min_zone_us(self.servers[index].zone));
        if !reaches_in_time(max_zone_latency) && !candidates.iter().all(|&index| is_near(index)) {
            prefer(candidates, |index| is_near(index) && has_room(&self.servers[index]));
        }
        if self.large_group.is_some() {
            let objective = call.class.objective as f64;
            let is_preferred = |s: &Server| self.expected_us(now, s, mean) <= objective && has_room(s);
            prefer(candidates, |index| is_preferred(&self.servers[index]));
            // A late answer costs more than one from another zone, so local servers must be fast.
            let answers_early = |s: &Server| {
                s.in_flight == 0 && self.expected_us(now, s, mean) <= objective * LARGE_GROUP_LOCAL_RATIO
            };
            let is_local = |s: &Server| Some(s.zone) == self.settings.local_zone && answers_early(s);
            prefer(candidates, |index| is_local(&self.servers[index]));
        } else {
            let is_local = |s: &Server| {
                Some(s.zone) == self.settings.local_zone && s.latency_ratio <= LOCAL_RATIO && has_room(s)
            };
            prefer(candidates, |index| is_local(&self.servers[index]));
        }
    }

    fn min_zone_us(&self, zone: ZoneId) -> f64 {
        self.zones.get(&zone).and_then(|latency| latency.min_us).unwrap_or(0.0)
    }

    /// Expected latency in microseconds: the zone's network, and the class's mean scaled to the server.
    fn expected_us(&self, now: Micros, server: &Server, mean: f64) -> f64 {
        let model = self.models.get(&server.model).map_or(0.0, |model| model.log_ratio);
        self.min_zone_us(server.zone) + mean * (model + server.deviation(now)).exp()
    }

    /// Cost that decides between servers with equally many calls in flight; the lower is better. In a large
    /// group it is recent load times expected latency, otherwise the recent ratio of latency to its limit.
    fn cost(&self, now: Micros, mean: f64, server: &Server) -> f64 {
        match self.large_group {
            Some(_) => {
                let (send_count, subset_size) = (self.send_count as f64, self.subset_size() as f64);
                (server.recent_load(send_count, subset_size) + mean / server.weight)
                    * self.expected_us(now, server, mean)
            }
            None => server.recent_ratio(now, self.zones.get(&server.zone), self.max_objective()),
        }
    }

    /// Step 5. Picks the one of two random candidates with fewer calls in flight (power of two choices).
    fn two_choices(&mut self, now: Micros, mean: f64, candidates: &[usize]) -> Option<usize> {
        let len = candidates.len() as u64;
        let first = self.random_below(len);
        let a = *candidates.get(first as usize)?;
        let b = candidates[((first + 1 + self.random_below(len - 1)) % len) as usize];
        let (one, other) = (&self.servers[a], &self.servers[b]);
        let other_is_better = other.in_flight < one.in_flight
            || other.in_flight == one.in_flight
                && self.cost(now, mean, other) < self.cost(now, mean, one) * TIE_RATIO;
        Some(if other_is_better { b } else { a })
    }
}

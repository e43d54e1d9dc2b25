//! Where a call goes: a chain of steps, each of which narrows the servers that the one before it left.
//!
//! 1. *May go*: listed, up, rested, warm or at its turn, its zone not passed over, and open to this call.
//! 2. *Cold turn*: a cold server whose turn has come is sent to before all others.
//! 3. *Window*: as many, from this balancer's place on the ring on, as its traffic meets often.
//! 4. *In time*: the way there and back fits into the call's time; for a thin balancer the answer too, and
//!    its own zone comes first where the answer is expected early. For others it does where it has room and
//!    answers far from its limit.
//! 5. *Room*: two random ones of all, if the better has room; else two of those with room; else a trial.
//!
//! Steps 3 and 4 never leave nothing where the step before left something: a preference yields, a rule does
//! not.

use super::balancer::*;

/// What the steps of one pick share.
struct Pick<'a> {
    now: Micros,
    call: &'a Call,
    /// Usual answer time of the call's class.
    usual: f64,
    /// Zones that are passed over.
    cut: Vec<ZoneId>,
}

/// Keeps those that are good, unless none is.
fn prefer(places: &mut Vec<usize>, good: impl Fn(usize) -> bool) {
    if places.iter().any(|&place| good(place)) {
        places.retain(|&place| good(place));
    }
}

impl Balancer {
    /// Send, queue or refuse?
    pub(super) fn route(&mut self, now: Micros, id: CallId) -> Route {
        let call = &self.calls[&id];
        let usual = self.usual(call.class_id, call.class.objective);
        let cut = self.cut_off.iter().filter(|(_, cut)| now < cut.1).map(|(&zone, _)| zone).collect();
        let pick = Pick { now, call, usual, cut };
        if let Some(server) = self.cold_turn(&pick) {
            return Route::Send { server, trial: Trial::No };
        }
        let mut up = self.windowed(&pick);
        self.in_time(&pick, &mut up);
        let safety = self.settings.safety;
        if let Some(server) = self.two_choices(now, usual, &up) {
            if !self.servers[server].full(now, &safety) {
                return Route::Send { server, trial: Trial::No };
            }
        }
        let longest = self.longest_usual();
        let of = |keep: &dyn Fn(&Server) -> bool| -> Vec<usize> {
            up.iter().copied().filter(|&place| keep(&self.servers[place])).collect()
        };
        let (room, trials) =
            (of(&|s| !s.full(now, &safety)), of(&|s| s.may_take_trial(now, longest, &safety)));
        match (self.two_choices(now, usual, &room), self.two_choices(now, usual, &trials)) {
            (Some(server), _) => Route::Send { server, trial: Trial::No },
            (None, Some(server)) => Route::Send { server, trial: Trial::Server },
            (None, None) => self.queue_or_refuse(now),
        }
    }

    /// With no server up there is nothing to wait for until the first comes back.
    fn queue_or_refuse(&self, now: Micros) -> Route {
        let all = self.servers.iter().filter(|s| s.listed);
        let down = all.clone().all(|s| s.budget.steps == 0);
        let first = all.map(|s| s.budget.backoff_end).min().filter(|_| down);
        first.map_or(Route::Queue, |at| Route::Reject {
            retry_after: at.saturating_sub(now).max(self.first_backoff()),
        })
    }

    /// Step 1, for one server.
    fn may_go(&self, pick: &Pick<'_>, server: &Server) -> bool {
        server.usable(pick.now, self.served, &self.settings.safety)
            && !pick.cut.contains(&server.zone)
            && pick.call.may_go(pick.now, server, self.settings.clock_tick)
    }

    /// The servers that the call may go to, from this balancer's place on: windows begin at even distances on
    /// the ring of servers, so that each server is in as many as any other.
    fn ring<'a>(&'a self, pick: &'a Pick<'a>) -> impl Iterator<Item = usize> + 'a {
        let len = self.servers.len();
        let balancer_count = self.settings.balancer_count.max(1) as usize;
        let start = (self.settings.balancer_index as usize * len / balancer_count) % len.max(1);
        (start..len).chain(0..start).filter(|&place| self.may_go(pick, &self.servers[place]))
    }

    /// Step 2. A cold server has its part when its turn comes: left to chance among all, it would get far
    /// less.
    fn cold_turn(&self, pick: &Pick<'_>) -> Option<usize> {
        let now = pick.now;
        if now >= self.warm_from || !pick.call.attempts.is_empty() {
            return None;
        }
        let due = |s: &Server| s.warmth(now, &self.settings.safety) < 1.0 && s.in_flight == 0;
        let turns = |place: &usize| self.servers[*place].turns;
        self.ring(pick)
            .filter(|&place| due(&self.servers[place]))
            .max_by(|a, b| turns(a).total_cmp(&turns(b)))
    }

    /// Step 3. A further attempt goes to servers that the call has not been at, as long as there are any.
    fn windowed(&self, pick: &Pick<'_>) -> Vec<usize> {
        let untried = |place: usize| pick.call.untried(self.servers[place].id);
        let fresh = self.ring(pick).any(untried);
        self.ring(pick).filter(|&place| !fresh || untried(place)).take(self.window()).collect()
    }

    /// Step 4. A call with little time left is not sent where the way alone takes it, as long as others
    /// have room; and the less loaded of two jammed is jammed: where servers are seldom met, both choices
    /// come from those whose answer is expected within the aim, while any of them has room.
    fn in_time(&self, pick: &Pick<'_>, up: &mut Vec<usize>) {
        let &Pick { now, call, usual, .. } = pick;
        let room = |s: &Server| !s.full(now, &self.settings.safety);
        let soon = |way: f64| now as f64 + way * STRAIN_WAY <= call.deadline as f64;
        let furthest = self.ways.values().filter_map(|way| way.least).fold(0.0, f64::max);
        let near = |place: usize| soon(self.least_way(self.servers[place].zone));
        if !soon(furthest) && !up.iter().all(|&place| near(place)) {
            prefer(up, |place| near(place) && room(&self.servers[place]));
        }
        if self.thin.is_some() {
            let objective = call.class.objective as f64;
            let good = |s: &Server| self.expected(now, s, usual) <= objective && room(s);
            prefer(up, |place| good(&self.servers[place]));
            // Leaving the zone has a price, being late a higher one.
            let early = |s: &Server| s.in_flight == 0 && self.expected(now, s, usual) <= objective * HOME_AIM;
            let home = |s: &Server| Some(s.zone) == self.settings.local_zone && early(s);
            prefer(up, |place| home(&self.servers[place]));
        } else {
            let home =
                |s: &Server| Some(s.zone) == self.settings.local_zone && s.strain <= HOME_STRAIN && room(s);
            prefer(up, |place| home(&self.servers[place]));
        }
    }

    /// The least time that an answer from a zone has lately taken.
    fn least_way(&self, zone: ZoneId) -> f64 {
        self.ways.get(&zone).and_then(|way| way.least).unwrap_or(0.0)
    }

    /// The time that an answer to a call of usual time `usual` is likely to take from a server.
    fn expected(&self, now: Micros, server: &Server, usual: f64) -> f64 {
        let model = self.models.get(&server.model).map_or(0.0, |model| model.log);
        self.least_way(server.zone) + usual * (model + server.beside(now)).exp()
    }

    /// What tells two servers with as many calls in flight apart; less is better. A thin balancer has none in
    /// flight at most servers, and goes by what it has lately sent there and by what it may expect.
    fn tie(&self, now: Micros, usual: f64, server: &Server) -> f64 {
        match self.thin {
            Some(_) => {
                let (sends, per) = (self.sends as f64, self.window() as f64);
                (server.recent_load(sends, per) + usual / server.weight) * self.expected(now, server, usual)
            }
            None => server.recent_slowness(now, self.ways.get(&server.zone), self.longest_aim()),
        }
    }

    /// Step 5. The less loaded of two random ones by own calls in flight; what is known beside breaks ties.
    fn two_choices(&mut self, now: Micros, usual: f64, among: &[usize]) -> Option<usize> {
        let len = among.len() as u64;
        let first = self.below(len);
        let a = *among.get(first as usize)?;
        let b = among[((first + 1 + self.below(len - 1)) % len) as usize];
        let (one, other) = (&self.servers[a], &self.servers[b]);
        let better = other.in_flight < one.in_flight
            || other.in_flight == one.in_flight
                && self.tie(now, usual, other) < self.tie(now, usual, one) * ALIKE;
        Some(if better { b } else { a })
    }
}

//! Which calls wait, in what order, and how long.

use super::{balancer::*, times::shown_for};

impl Balancer {
    /// Lets a new call join the queue, unless it would wait too long there.
    pub(super) fn admit(&mut self, now: Micros, id: CallId, tenant: Option<TenantId>, actions: &mut Actions) {
        let over_share = tenant.is_some_and(|t| self.over_share(t));
        let waited = self.queue.front().map_or(0, |head| now.saturating_sub(self.calls[head].arrived));
        // Not even a usual answer would come before its client gives up: it would only add to the work.
        // A guess or old news is not held against it.
        let call = &self.calls[&id];
        let shown = shown_for(self.longest_aim());
        let lately = |p: &&Pace| p.seen > 8 && now.saturating_sub(p.at) as f64 <= shown;
        let usual = self.paces.get(call.class_id).filter(lately).map_or(0.0, |p| p.mean);
        if ((call.deadline - now) as f64) < usual.min(call.class.objective as f64) {
            self.give_up(id, self.first_backoff(), actions);
        } else if waited > self.wait_limit(id, over_share) {
            self.give_up(id, waited, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long may the queue's head have waited for this call to join? Without a bound all would be served
    /// late. Classes whose worth for their work outweighs the goal's part of the worst class wait longest.
    fn wait_limit(&self, id: CallId, over_share: bool) -> Micros {
        let call = &self.calls[&id];
        let usual = self.usual(call.class_id, call.class.objective);
        let objective = call.aim_at().saturating_sub(call.arrived) as f64;
        let limit = match over_share {
            true => objective * WAIT_AIM / 2.0,
            false if self.protected(call) => (objective * WAIT_AIM).max(objective - SPARE_TIMES * usual),
            false => objective * WAIT_AIM,
        };
        limit.min(objective - usual).max(0.0) as Micros
    }

    fn protected(&self, call: &Call) -> bool {
        let all = self.paces.iter().zip(&self.settings.classes);
        let (priority_weight, work) =
            all.fold((0.0, 0.0), |(w, t), (p, c)| (w + p.asked * c.priority_weight, t + p.asked * p.base));
        let base = self.paces.get(call.class_id).map_or(f64::MAX, |p| p.base);
        let density = call.class.priority_weight / base * work / priority_weight.max(f64::MIN_POSITIVE);
        let score_weights = &self.settings.score_weights;
        score_weights.overall * density > score_weights.overall + score_weights.worst_class
    }

    /// Counts a tenant's call and tells whether it asks for more than its share of this balancer's calls.
    fn over_share(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.share) else { return true };
        for (index, asked) in self.tenants.iter_mut().enumerate() {
            *asked += (if index == tenant.0 { 1.0 } else { 0.0 } - *asked) * SMOOTHING / 10.0;
        }
        let all: f64 = self.tenants.iter().sum();
        self.tenants[tenant.0] > all * share * 1.1
    }

    /// Puts a call into the queue; one that goes again is older than those waiting and goes to the front.
    pub(super) fn enqueue(&mut self, now: Micros, id: CallId, retried: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.queued = true;
        // Its way out: when a usual answer could not come in time, and always before the client gives up.
        let (class_id, objective, last) =
            (call.class_id, call.class.objective, call.deadline.saturating_sub(self.settings.clock_tick));
        let wake = call.aim_at().saturating_sub(self.usual(class_id, objective) as Micros).max(now + 1);
        self.set_wake(id, wake.min(last.max(now)).max(1));
        self.queue.insert(if retried { 0 } else { self.queue.len() }, id);
    }

    pub(super) fn drain_queue(&mut self, now: Micros, actions: &mut Actions) {
        let returning = if self.aside > 0 && !self.queue.is_empty() { self.servers.len() } else { 0 };
        for place in 0..returning {
            if self.servers[place].returning(now, self.served, &self.settings.safety) {
                // Only a call that never went: a bound one may go to some servers alone.
                let mut queued = self.queue.iter().take(LOOK_PAST);
                if let Some(index) = queued.position(|id| self.calls[id].attempts.is_empty()) {
                    let id = self.queue[index];
                    self.take(index);
                    self.send(now, id, place, Trial::Server, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.queue.get(index) {
            match self.route(now, id) {
                Route::Send { server, trial } => {
                    self.take(index);
                    self.send(now, id, server, trial, actions);
                }
                Route::Reject { retry_after } => self.give_up(id, retry_after, actions),
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Queue if self.calls[&id].binding().is_some() && index < LOOK_PAST => index += 1,
                Route::Queue => break,
            }
        }
    }

    fn take(&mut self, index: usize) {
        if let Some(call) = self.queue.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.queued = false;
        }
    }
}

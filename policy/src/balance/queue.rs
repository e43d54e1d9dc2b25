//! Queue of calls that no server has room for: admission, order and time limits.

use super::{balancer::*, latency::evidence_lifetime};

impl Balancer {
    /// Queues a new call; rejects it if it has too little time left or the queue's wait is too long.
    pub(super) fn admit(&mut self, now: Micros, id: CallId, tenant: Option<TenantId>, actions: &mut Actions) {
        let over_share = tenant.is_some_and(|tenant| self.over_share(tenant));
        let head_wait = self.queue.front().map_or(0, |head| now.saturating_sub(self.calls[head].arrived_at));
        // A call with less time left than its class's recent mean latency would only add load.
        let call = &self.calls[&id];
        let max_age = evidence_lifetime(self.max_objective());
        let is_recent =
            |c: &&ClassLatency| c.samples > 8 && now.saturating_sub(c.updated_at) as f64 <= max_age;
        let mean = self.latencies.get(call.class_id).filter(is_recent).map_or(0.0, |class| class.mean);
        if ((call.deadline - now) as f64) < mean.min(call.class.objective as f64) {
            self.reject_or_fail(id, self.initial_backoff(), actions);
        } else if head_wait > self.max_queue_wait(id, over_share) {
            self.reject_or_fail(id, head_wait, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// Longest wait of the queue's first call with which the new call `id` is still queued.
    fn max_queue_wait(&self, id: CallId, over_share: bool) -> Micros {
        let call = &self.calls[&id];
        let mean = self.mean_latency(call.class_id, call.class.objective);
        let useful_for = call.useful_until().saturating_sub(call.arrived_at) as f64;
        let limit = match over_share {
            true => useful_for * QUEUE_WAIT_RATIO / 2.0,
            false if self.is_protected(call) => {
                (useful_for * QUEUE_WAIT_RATIO).max(useful_for - SPARE_LATENCY_RATIO * mean)
            }
            false => useful_for * QUEUE_WAIT_RATIO,
        };
        limit.min(useful_for - mean).max(0.0) as Micros
    }

    /// Whether the call is protected and may queue longer: its class has so much priority weight per unit of
    /// work, relative to all calls, that the site's score gains by it.
    fn is_protected(&self, call: &Call) -> bool {
        let pairs = self.latencies.iter().zip(&self.settings.classes);
        let (total_weight, total_work) = pairs.fold((0.0, 0.0), |(weight, work), (c, spec)| {
            (weight + c.request_count * spec.priority_weight, work + c.request_count * c.base_us)
        });
        let base_us = self.latencies.get(call.class_id).map_or(f64::MAX, |class| class.base_us);
        let value = call.class.priority_weight / base_us * total_work / total_weight.max(f64::MIN_POSITIVE);
        let score_weights = &self.settings.score_weights;
        score_weights.overall * value > score_weights.overall + score_weights.worst_class
    }

    /// Counts a tenant's call; returns whether the tenant is a tenth over its share of the balancer's calls.
    fn over_share(&mut self, tenant: TenantId) -> bool {
        let Some(share) = self.settings.tenants.get(tenant.0).map(|t| t.share) else { return true };
        for (index, recent) in self.tenant_shares.iter_mut().enumerate() {
            *recent += (if index == tenant.0 { 1.0 } else { 0.0 } - *recent) * EMA_RATIO / 10.0;
        }
        let total_share: f64 = self.tenant_shares.iter().sum();
        self.tenant_shares[tenant.0] > total_share * share * 1.1
    }

    /// Queues a call: a new one at the end, a retried one, which arrived before the others, at the front.
    pub(super) fn enqueue(&mut self, now: Micros, id: CallId, retried: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.queued = true;
        // Ends the call once an answer of mean latency would be useless, or a clock tick before the deadline.
        let (class_id, objective, last_moment) =
            (call.class_id, call.class.objective, call.deadline.saturating_sub(self.settings.clock_tick));
        let due_at =
            call.useful_until().saturating_sub(self.mean_latency(class_id, objective) as Micros).max(now + 1);
        self.set_call_timer(id, due_at.min(last_moment.max(now)).max(1));
        self.queue.insert(if retried { 0 } else { self.queue.len() }, id);
    }

    pub(super) fn drain_queue(&mut self, now: Micros, actions: &mut Actions) {
        let scanned = if self.ejected_count > 0 && !self.queue.is_empty() { self.servers.len() } else { 0 };
        for server_index in 0..scanned {
            if self.servers[server_index].may_recover(now, self.served_count, &self.settings.safety) {
                // Tries the ejected server with a call not sent before: a retry may not be allowed there.
                let mut queued = self.queue.iter().take(MAX_SCAN_COUNT);
                if let Some(index) = queued.position(|id| self.calls[id].attempts.is_empty()) {
                    let id = self.queue[index];
                    self.dequeue(index);
                    self.send(now, id, server_index, SendKind::Trial, actions);
                }
            }
        }
        let mut index = 0;
        while let Some(&id) = self.queue.get(index) {
            match self.route(now, id) {
                Route::Send { server, kind } => {
                    self.dequeue(index);
                    self.send(now, id, server, kind, actions);
                }
                Route::Reject { retry_after } => self.reject_or_fail(id, retry_after, actions),
                // A retry that waits for the servers open to it does not block the calls behind it.
                Route::Queue if self.calls[&id].first_run().is_some() && index < MAX_SCAN_COUNT => index += 1,
                Route::Queue => break,
            }
        }
    }

    fn dequeue(&mut self, index: usize) {
        if let Some(call) = self.queue.remove(index).and_then(|id| self.calls.get_mut(&id)) {
            call.queued = false;
        }
    }
}

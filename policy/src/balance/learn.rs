//! Updates of latency estimates, budgets and ejections when an attempt ends.

use super::balancer::*;

impl Balancer {
    /// Records the load report of an attempt's server as a ratio that counts like latency over its limit: 1
    /// if as many requests are queued as run, or at a CPU utilization of `FULL_CPU_RATIO`.
    pub(super) fn record_load_report(&mut self, id: CallId, attempt: u32, load: LoadReport) {
        let Some(sent) = self.calls.get(&id).and_then(|c| c.attempts.get(attempt as usize)) else { return };
        let Ok(index) = self.servers.binary_search_by_key(&sent.server, |s| s.id) else { return };
        let reported_ratio = match load {
            LoadReport { active_requests: Some(active), queued_requests: Some(queued), .. } => {
                queued / (active - queued).max(1.0)
            }
            LoadReport { cpu_utilization: Some(cpu_utilization), .. } => cpu_utilization / FULL_CPU_RATIO,
            _ => return,
        };
        self.servers[index].reported_ratio =
            if reported_ratio.is_finite() { reported_ratio.clamp(0.0, 4.0) } else { 0.0 };
    }

    /// Updates all estimates and budgets after an attempt has ended; `took` is the proxy's measurement.
    pub(super) fn learn(&mut self, now: Micros, attempt: Attempt, took: Micros, actions: &mut Actions) {
        let Attempt { server: id, zone, started_at, class_id, sent_at, kind, outcome, .. } = attempt;
        let Some(outcome) = outcome else { return };
        let elapsed = took.max(now.saturating_sub(sent_at));
        let (initial_backoff, max_mean, max_objective) =
            (self.initial_backoff(), self.max_mean_latency(), self.max_objective());
        let subset_size = self.subset_size() as f64;
        let class_latency = self.latencies.get_mut(class_id);
        let objective = self.settings.classes.get(class_id).map_or(f64::MAX, |c| c.objective as f64);
        let base_us = class_latency.as_ref().map_or(f64::MAX, |class| class.base_us);
        let limit = (base_us * LIMIT_BASELINE_RATIO).min(objective * LIMIT_OBJECTIVE_RATIO).max(base_us);
        let zone_latency = self.zones.entry(zone).or_default();
        if outcome == Outcome::Served {
            zone_latency.record(now, elapsed as f64, (elapsed as f64 / limit).min(4.0));
        }
        let zone_limit = limit.max(
            (zone_latency.min_us.unwrap_or(0.0) * LIMIT_ZONE_RATIO)
                .min(objective * LIMIT_OBJECTIVE_RATIO * SEVERE_LATENCY_RATIO),
        );
        if let Some(large_group) = &mut self.large_group {
            if !matches!(outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::NoConnection) {
                large_group.record(now, elapsed as f64);
            }
        }
        // In a large group, connection failures make a balancer skip the zone, not only the server.
        let disconnected = matches!(outcome, Outcome::NoConnection | Outcome::Reset);
        let outage = self.zone_backoffs.entry(zone).or_default();
        if disconnected && self.large_group.is_some() {
            let doublings = outage.0.min(MAX_BACKOFF_DOUBLINGS + ZONE_DOUBLINGS);
            *outage = (outage.0.saturating_add(1), now + ((initial_backoff << doublings) >> ZONE_DOUBLINGS));
        } else if !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent) {
            *outage = (0, 0);
        }
        let Ok(index) = self.servers.binary_search_by_key(&id, |s| s.id) else { return };
        let zone_min_us = self.zones.get(&zone).and_then(|latency| latency.min_us).unwrap_or(0.0);
        let mean = class_latency.as_ref().map_or(f64::MAX, |class| class.mean);
        let server = &mut self.servers[index];
        // The attempt went to an earlier process of this server and tells nothing about the present one.
        if server.started_at != started_at {
            return;
        }
        server.in_flight = server.in_flight.saturating_sub(1);
        // An unserved attempt adds at least the longest objective: fast errors must not look like idleness.
        let min_cost = if outcome == Outcome::Served { 0.0 } else { max_objective };
        server.record_busy_time(min_cost.max(elapsed as f64), self.send_count, subset_size);
        let relative_to = |limit: f64| (elapsed as f64 / limit).min(4.0);
        let (latency_ratio, raw_ratio) = (relative_to(zone_limit), relative_to(limit));
        let failed = match outcome {
            Outcome::Served => false,
            // The server has served another call since this one was sent: it is slow, but has not failed.
            Outcome::TimedOut if server.last_served_at > sent_at => false,
            Outcome::Cancelled | Outcome::NotSent => {
                server.budget.trial_in_flight &= kind != SendKind::Trial;
                return;
            }
            _ => true,
        };
        // A timeout is weaker evidence of failure than an error, so it counts half.
        let failure_weight =
            if outcome == Outcome::TimedOut { FAILURE_EMA_RATIO / 2.0 } else { FAILURE_EMA_RATIO };
        server.failure_ratio += (if failed { 1.0 } else { 0.0 } - server.failure_ratio) * failure_weight;
        // The weight of an answer grows with the time since the last one, so that rare answers count.
        let silence_ratio = now.saturating_sub(server.last_end_at) as f64 / max_objective;
        let weight = EMA_RATIO.max(1.0 - (-silence_ratio).exp());
        // Servers of one model share a latency estimate: most answer too rarely for one of their own.
        let model_ratio =
            (elapsed as f64 - zone_min_us).max(min_cost).max(mean * (-MAX_LOG_DEVIATION).exp()) / mean;
        let model = self.models.entry(server.model).or_default();
        let deviation = (model_ratio.ln() - model.log_ratio).clamp(-MAX_LOG_DEVIATION, MAX_LOG_DEVIATION);
        server.deviation = server.deviation(now) + (deviation - server.deviation(now)) * DEVIATION_EMA_RATIO;
        if !failed && server.warmup_ratio(now, &self.settings.safety) >= 1.0 {
            model.record(deviation);
        }
        server.last_end_at = now;
        if !failed {
            server.latency_ratio +=
                (latency_ratio.max(server.reported_ratio) - server.latency_ratio) * weight;
            server.raw_ratio += (raw_ratio - server.raw_ratio) * weight;
            server.answers_since += 1;
        }
        // The class's mean latency includes timeouts longer than it; else it would cover only fast answers.
        let is_sample = if outcome == Outcome::TimedOut { elapsed as f64 > mean } else { !failed };
        class_latency.filter(|_| is_sample).into_iter().for_each(|class| class.record(now, elapsed as f64));
        if outcome == Outcome::Served {
            server.last_served_at = now;
            self.served_count += 1;
        }
        if outcome == Outcome::Rejected {
            server.budget.reduce(REJECTED_REMAINING_RATIO, true);
            // Fast rejections make a server look idle; the pause keeps it from attracting more calls.
            server.not_before = server.not_before.max(now + max_mean as Micros);
        } else if server.latency_ratio > 1.0 && server.has_settled(now, max_mean) {
            server.budget.reduce(1.0 / server.latency_ratio, server.latency_ratio > SEVERE_LATENCY_RATIO);
            // The next answers still show the old budget's overload, which must not reduce the budget again.
            server.latency_ratio = server.latency_ratio.sqrt();
            (server.answers_since, server.changed_at) = (0, now);
        }
        let (was_up, was_ejected) = (server.budget.steps > 0, server.is_ejected());
        let may_eject = (self.ejected_count + 1) * 2 <= self.listed_count;
        server.budget.steps -= u32::from(disconnected && (server.budget.steps > 1 || was_up && may_eject));
        // As in gRFC A105, a broken connection is reopened at once; only failures to connect back off.
        let was_reset =
            outcome == Outcome::Reset && kind != SendKind::Trial && server.failure_ratio <= EJECTION_RATIO;
        server.budget.trial_in_flight &= kind != SendKind::Trial;
        if kind == SendKind::Trial {
            if outcome != Outcome::Served {
                server.budget.start_backoff(now, initial_backoff);
            } else if was_up || server.failure_ratio <= EJECTION_RATIO {
                server.budget.record_served_trial();
                (server.answers_since, server.changed_at) = (0, now);
                if !was_up {
                    actions.push(Action::Log { text: format!("server {} reinstated", server.id.0) });
                }
            }
        }
        // Fast errors keep a server below its budget: only the failure ratio stops it from attracting calls.
        if was_up && server.failure_ratio > EJECTION_RATIO && may_eject {
            server.budget.steps = 0;
        }
        if was_up && server.budget.steps == 0 {
            if !was_reset {
                server.budget.start_backoff(now, initial_backoff);
            }
            server.latency_ratio = 1.0;
            actions.push(Action::Log { text: format!("server {} ejected", server.id.0) });
        }
        // With backoff by time alone, the balancers of a large group would together send too many trials.
        if self.large_group.is_some() && (outcome == Outcome::Rejected || server.budget.steps == 0) {
            server.resume_at_count = self.served_count + ((subset_size as u64) << server.budget.doublings);
        }
        self.ejected_count = self.ejected_count + usize::from(server.is_ejected()) - usize::from(was_ejected);
    }
}

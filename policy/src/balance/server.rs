//! Estimates that this balancer keeps of a server, and when the server may be sent calls.

use super::{budget::Budget, constants::*, latency::*};
use crate::api::*;
use crate::state::ZoneLatency;
use serde::{Deserialize, Serialize};

#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Server {
    pub(super) id: ServerId,
    pub(super) zone: ZoneId,
    pub(super) model: ModelId,
    pub(super) cell: CellId,
    pub(super) listed: bool,
    pub(super) started_at: Micros,
    pub(super) in_flight: u32,
    pub(super) budget: Budget,
    pub(super) weight: f64,
    /// Decaying sum of the durations of this balancer's calls to the server, as of its send `busy_at_send`.
    pub(super) busy_us: f64,
    pub(super) busy_at_send: u64,
    /// Moving average of the ratio of an answer's latency to the latency limit; above 1, an overload.
    pub(super) latency_ratio: f64,
    /// Natural logarithm of the server's latency relative to its model's, at `last_end_at`; decays to 0.
    pub(super) deviation: f64,
    /// As `latency_ratio`, but the latency limit makes no allowance for the zone's network latency.
    pub(super) raw_ratio: f64,
    pub(super) answers_since: u32,
    /// Load in the last load report, on the scale of `latency_ratio`: 1 for a fully loaded server.
    pub(super) reported_ratio: f64,
    /// Time of the last change of the budget; `answers_since` counts the answers since then.
    pub(super) changed_at: Micros,
    pub(super) last_end_at: Micros,
    pub(super) last_served_at: Micros,
    pub(super) failure_ratio: f64,
    /// Time until which the server is paused after a rejection.
    pub(super) not_before: Micros,
    /// In a large group: `Balancer::served_count` until which a rejection or ejection pauses the server.
    pub(super) resume_at_count: u64,
    /// Calls that a warming server may be sent; `earn_send_credits` adds to it, each call sent takes one.
    pub(super) send_credits: f64,
}

impl Server {
    pub(super) fn new(entry: &Entry, balancer_count: u32) -> Self {
        let &Entry { server: id, zone, model, cell, started_at, .. } = entry;
        Server {
            id,
            zone,
            model,
            cell,
            started_at,
            weight: 1.0,
            budget: Budget::new(balancer_count),
            ..Server::default()
        }
    }

    /// Busy time per weight, decayed to the balancer's send `sends`; compares servers with no call in flight.
    pub(super) fn recent_load(&self, sends: f64, subset_size: f64) -> f64 {
        self.busy_us * (-(sends - self.busy_at_send as f64) / (subset_size * BUSY_MEMORY_SENDS)).exp()
            / self.weight
    }

    pub(super) fn record_busy_time(&mut self, time: f64, sends: u64, subset_size: f64) {
        self.busy_us = self.recent_load(sends as f64, subset_size) * self.weight + time;
        self.busy_at_send = sends;
    }

    /// `raw_ratio`, but without recent answers at most the zone's lowest, so that the server is tried again.
    pub(super) fn recent_ratio(&self, now: Micros, latency: Option<&ZoneLatency>, max_objective: f64) -> f64 {
        let zone_ratio =
            latency.map_or(0.0, |latency| latency.min_ratio * (1.0 - drift_ratio(now, latency.updated_at)));
        let is_stale = now.saturating_sub(self.last_end_at) as f64 >= evidence_lifetime(max_objective);
        if is_stale {
            self.raw_ratio.min(zone_ratio)
        } else {
            self.raw_ratio
        }
    }

    /// Deviation from the model's latency, decayed until `now`, as a natural logarithm.
    pub(super) fn deviation(&self, now: Micros) -> f64 {
        self.deviation * (-(now.saturating_sub(self.last_end_at) as f64) / DEVIATION_MEMORY_US).exp()
    }

    /// Least fraction of its capacity that the server has by the slow start settings; 1 once it is warm.
    pub(super) fn warmup_ratio(&self, now: Micros, safety: &SafetyLimits) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= safety.slow_start_window {
            return 1.0;
        }
        safety.slow_start_ratio
            + (1.0 - safety.slow_start_ratio) * age as f64 / safety.slow_start_window as f64
    }

    pub(super) fn is_full(&self, now: Micros, safety: &SafetyLimits) -> bool {
        let budget = f64::from(self.budget.steps) * self.budget.concurrency * self.warmup_ratio(now, safety);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    /// Whether the server may be sent calls, whatever its budget: listed, not paused, warm or with credit.
    pub(super) fn is_open(&self, now: Micros, served_count: u64, safety: &SafetyLimits) -> bool {
        let is_paced = self.send_credits >= 1.0 || self.warmup_ratio(now, safety) >= 1.0;
        let has_rested = served_count >= self.resume_at_count
            || now.saturating_sub(self.last_end_at) as f64 >= 3.0 * RATE_MEMORY_US;
        self.listed && now >= self.not_before && is_paced && has_rested
    }

    pub(super) fn is_usable(&self, now: Micros, served_count: u64, safety: &SafetyLimits) -> bool {
        self.budget.steps > 0 && self.is_open(now, served_count, safety)
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.listed && self.budget.steps == 0
    }
}

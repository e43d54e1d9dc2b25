//! A server as this balancer sees it, and when it may be sent to.

use super::{budget::Budget, constants::*, times::*};
use crate::api::*;
use crate::state::Way;
use serde::{Deserialize, Serialize};

/// A server as this balancer sees it.
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
    /// Time that this balancer's calls lately spent there: it breaks the pick's ties.
    pub(super) busy: f64,
    pub(super) busy_at: u64,
    /// Answer times over what its classes and the way there allow; 1 is the limit.
    pub(super) strain: f64,
    /// What it lately took beside its model, as a logarithm; it fades.
    pub(super) beside: f64,
    /// The same without regard to the way there: it breaks the pick's ties.
    pub(super) slowness: f64,
    pub(super) answers_since: u32,
    /// Its last report, as strain.
    pub(super) crowding: f64,
    /// When its budget last changed, when an attempt there last ended, and when it last served.
    pub(super) changed: Micros,
    pub(super) heard: Micros,
    pub(super) answered: Micros,
    /// Recent share of failures.
    pub(super) failing: f64,
    /// It is sent nothing before this time and that many answers of this balancer: it has refused or failed.
    pub(super) not_before: Micros,
    pub(super) rest: u64,
    /// While cold: calls that have fallen due to it.
    pub(super) turns: f64,
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

    /// With few calls there are none in flight at most servers: recent past and listed size tell them apart.
    pub(super) fn recent_load(&self, sends: f64, per: f64) -> f64 {
        self.busy * (-(sends - self.busy_at as f64) / (per * BUSY_ROUNDS)).exp() / self.weight
    }

    pub(super) fn kept_busy(&mut self, time: f64, sends: u64, per: f64) {
        self.busy = self.recent_load(sends as f64, per) * self.weight + time;
        self.busy_at = sends;
    }

    /// What its answers lately showed; after a while without one only what its zone's show at the least, and
    /// that fades. Where nothing is in flight it alone decides: a server that is not tried shows nothing new.
    pub(super) fn recent_slowness(&self, now: Micros, way: Option<&Way>, longest_aim: f64) -> f64 {
        let way = way.map_or(0.0, |way| way.slowness * (1.0 - drift(now, way.at)));
        let old = now.saturating_sub(self.heard) as f64 >= shown_for(longest_aim);
        if old {
            self.slowness.min(way)
        } else {
            self.slowness
        }
    }

    /// What it takes beside its model, as far as that still holds.
    pub(super) fn beside(&self, now: Micros) -> f64 {
        self.beside * (-(now.saturating_sub(self.heard) as f64) / BESIDE_MEMORY).exp()
    }

    /// Share of its capacity that a server has at the least, by the rules' cold share and time.
    pub(super) fn warmth(&self, now: Micros, safety: &SafetyLimits) -> f64 {
        let age = now.saturating_sub(self.started_at);
        if self.started_at == 0 || age >= safety.slow_start_window {
            return 1.0;
        }
        safety.slow_start_ratio
            + (1.0 - safety.slow_start_ratio) * age as f64 / safety.slow_start_window as f64
    }

    pub(super) fn full(&self, now: Micros, safety: &SafetyLimits) -> bool {
        let budget = f64::from(self.budget.steps) * self.budget.concurrency * self.warmth(now, safety);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    pub(super) fn open(&self, now: Micros, served: u64, safety: &SafetyLimits) -> bool {
        let paced = self.turns >= 1.0 || self.warmth(now, safety) >= 1.0;
        let rested = served >= self.rest || now.saturating_sub(self.heard) as f64 >= 3.0 * RATE_MEMORY;
        self.listed && now >= self.not_before && paced && rested
    }

    pub(super) fn usable(&self, now: Micros, served: u64, safety: &SafetyLimits) -> bool {
        self.budget.steps > 0 && self.open(now, served, safety)
    }

    pub(super) fn aside(&self) -> bool {
        self.listed && self.budget.steps == 0
    }
}

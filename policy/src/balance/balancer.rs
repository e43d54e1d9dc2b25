//! State of a balancer and values derived from it.

pub(super) use super::{constants::*, server::Server, subset::*};
pub(super) use crate::{api::*, state::*};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(super) type Actions = Vec<Action>;

/// Load balancer of one client proxy: takes events and returns actions, without I/O or a clock.
#[derive(Debug, Serialize, Deserialize)]
pub struct Balancer {
    /// Not serialized; `Balancer::restore` sets the settings again.
    #[serde(skip)]
    pub(super) settings: Settings,
    pub(super) rng: Pcg32,
    pub(super) servers: Vec<Server>,
    pub(super) large_group: Option<LargeGroup>,
    /// For each zone: its consecutive connection failures, and the time until which it is skipped.
    pub(super) zone_backoffs: BTreeMap<ZoneId, (u32, Micros)>,
    pub(super) zones: BTreeMap<ZoneId, ZoneLatency>,
    /// For each server model: its latency relative to all models, without the network latency of zones.
    pub(super) models: BTreeMap<ModelId, ModelLatency>,
    pub(super) calls: BTreeMap<CallId, Call>,
    pub(super) queue: VecDeque<CallId>,
    pub(super) call_timers: BTreeSet<(Micros, CallId)>,
    pub(super) latencies: Vec<ClassLatency>,
    pub(super) tenant_shares: Vec<f64>,
    pub(super) retry_tokens: f64,
    pub(super) listed_count: usize,
    pub(super) ejected_count: usize,
    pub(super) send_count: u64,
    pub(super) served_count: u64,
    pub(super) timer_at: Micros,
    pub(super) subscribe_at: Micros,
    pub(super) last_subscribe_at: Micros,
    pub(super) subscribe_failures: u32,
    pub(super) credits_updated_at: Micros,
    /// Time from which no listed server is warming up.
    #[serde(skip)]
    pub(super) all_warm_at: Micros,
}

impl Balancer {
    /// Creates a balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let class_latency = |c: &Class| ClassLatency {
            mean: c.objective as f64 / 4.0,
            base_us: c.objective as f64 / 4.0,
            ..ClassLatency::default()
        };
        Balancer {
            rng: Pcg32::seed_from_u64(seed),
            latencies: settings.classes.iter().map(class_latency).collect(),
            tenant_shares: vec![0.0; settings.tenants.len()],
            large_group: LargeGroup::new(settings.balancer_count),
            settings,
            servers: Vec::new(),
            zone_backoffs: BTreeMap::new(),
            zones: BTreeMap::new(),
            models: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            call_timers: BTreeSet::new(),
            retry_tokens: MAX_RETRY_TOKENS,
            listed_count: 0,
            ejected_count: 0,
            send_count: 0,
            served_count: 0,
            timer_at: Micros::MAX,
            subscribe_at: Micros::MAX,
            last_subscribe_at: 0,
            subscribe_failures: 0,
            credits_updated_at: 0,
            all_warm_at: 0,
        }
    }

    pub(super) fn mean_latency(&self, class_id: usize, objective: Micros) -> f64 {
        self.latencies.get(class_id).map_or(objective as f64 / 4.0, |class| class.mean)
    }

    pub(super) fn update_counts(&mut self) {
        self.listed_count = self.servers.iter().filter(|s| s.listed).count();
        self.ejected_count = self.servers.iter().filter(|s| s.is_ejected()).count();
        let warm = |s: &Server| s.started_at.saturating_add(self.settings.safety.slow_start_window);
        self.all_warm_at = self.servers.iter().filter(|s| s.started_at > 0).map(warm).max().unwrap_or(0);
    }

    /// Number of servers over which this balancer spreads its calls.
    pub(super) fn subset_size(&self) -> usize {
        subset_size(self.large_group.as_ref(), self.servers.len())
    }

    pub(super) fn initial_backoff(&self) -> Micros {
        ((self.max_objective() * BACKOFF_RATIO) as Micros).max(1_000)
    }

    pub(super) fn max_objective(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.objective).max().unwrap_or(0).max(1) as f64
    }

    pub(super) fn max_mean_latency(&self) -> f64 {
        self.latencies.iter().map(|class| class.mean).fold(1.0, f64::max)
    }

    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        (u64::from(self.rng.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}

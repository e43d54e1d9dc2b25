//! What a balancer knows, and the figures that follow from it.

pub(super) use super::{constants::*, server::Server, windows::*};
pub(super) use crate::{api::*, state::*};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(super) type Actions = Vec<Action>;

/// Decides for one client proxy.
#[derive(Debug, Serialize, Deserialize)]
pub struct Balancer {
    /// Told anew where the rest is restored.
    #[serde(skip)]
    pub(super) settings: Settings,
    pub(super) random: Pcg32,
    pub(super) servers: Vec<Server>,
    pub(super) thin: Option<Thin>,
    /// By zone: connections that failed in a row, and until when it is passed over.
    pub(super) cut_off: BTreeMap<ZoneId, (u32, Micros)>,
    pub(super) ways: BTreeMap<ZoneId, Way>,
    /// Answer times of each model beside those of all, without the way there.
    pub(super) models: BTreeMap<ModelId, Model>,
    pub(super) calls: BTreeMap<CallId, Call>,
    pub(super) queue: VecDeque<CallId>,
    pub(super) wakes: BTreeSet<(Micros, CallId)>,
    pub(super) paces: Vec<Pace>,
    pub(super) tenants: Vec<f64>,
    pub(super) retries: f64,
    pub(super) listed: usize,
    pub(super) aside: usize,
    pub(super) sends: u64,
    pub(super) served: u64,
    pub(super) timer_at: Micros,
    pub(super) ask_at: Micros,
    /// When discovery was last asked.
    pub(super) asked_at: Micros,
    pub(super) ask_failures: u32,
    /// When cold servers last earned turns.
    pub(super) earned_at: Micros,
    /// From when on none of the list is cold, by the rules; it follows from the servers.
    #[serde(skip)]
    pub(super) warm_from: Micros,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        let pace = |c: &Class| Pace {
            mean: c.objective as f64 / 4.0,
            base: c.objective as f64 / 4.0,
            ..Pace::default()
        };
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            paces: settings.classes.iter().map(pace).collect(),
            tenants: vec![0.0; settings.tenants.len()],
            thin: Thin::new(settings.balancer_count),
            settings,
            servers: Vec::new(),
            cut_off: BTreeMap::new(),
            ways: BTreeMap::new(),
            models: BTreeMap::new(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            wakes: BTreeSet::new(),
            retries: RETRY_SAVED,
            listed: 0,
            aside: 0,
            sends: 0,
            served: 0,
            timer_at: Micros::MAX,
            ask_at: Micros::MAX,
            asked_at: 0,
            ask_failures: 0,
            earned_at: 0,
            warm_from: 0,
        }
    }

    pub(super) fn usual(&self, class_id: usize, objective: Micros) -> f64 {
        self.paces.get(class_id).map_or(objective as f64 / 4.0, |p| p.mean)
    }

    /// Trouble seen at most of the fleet is not the servers' own: never are most set aside.
    pub(super) fn count(&mut self) {
        self.listed = self.servers.iter().filter(|s| s.listed).count();
        self.aside = self.servers.iter().filter(|s| s.aside()).count();
        let warm = |s: &Server| s.started_at.saturating_add(self.settings.safety.slow_start_window);
        self.warm_from = self.servers.iter().filter(|s| s.started_at > 0).map(warm).max().unwrap_or(0);
    }

    /// How many servers this balancer's calls are spread over.
    pub(super) fn window(&self) -> usize {
        window(self.thin.as_ref(), self.servers.len())
    }

    pub(super) fn first_backoff(&self) -> Micros {
        ((self.longest_aim() * BACKOFF_AIM) as Micros).max(1_000)
    }

    pub(super) fn longest_aim(&self) -> f64 {
        self.settings.classes.iter().map(|c| c.objective).max().unwrap_or(0).max(1) as f64
    }

    pub(super) fn longest_usual(&self) -> f64 {
        self.paces.iter().map(|p| p.mean).fold(1.0, f64::max)
    }

    pub(super) fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.random.next_u32()) * bound.min(u64::from(u32::MAX))) >> 32
    }
}

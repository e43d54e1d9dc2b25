//! What the judge must know beside the ledgers.

use super::TenantFigures;
use crate::experiment::Experiment;
use crate::load::schedule::Schedule;
use crate::shares::script::{Cap, Shares, OTHERS};

/// What the judge must know beside the ledgers.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The tenants: name, weight, and whether the settings have it.
    pub tenants: Vec<(String, f64, bool)>,
    /// Their caps.
    pub caps: Vec<Cap>,
    /// How long the run is, in seconds.
    pub seconds: f64,
    /// The spans in which shares are judged, in seconds.
    pub windows: Vec<(f64, f64)>,
    /// How long a tenant with work waiting may have nothing, in seconds.
    pub starved_s: f64,
    /// How far a share may be from its due; `None`: it is not judged.
    pub share_within: Option<f64>,
    /// Share of the calls in hand that a tenant asks for, its cap at the most, that it must have; `None`: not judged.
    pub cap_used: Option<f64>,
    /// Work that all nodes can do in a second, warm, in microseconds of a core; and of each arrival.
    pub capacity: f64,
    /// The work of each arrival, in microseconds of a core.
    pub works: Vec<f64>,
}

impl Rules {
    /// Those of an experiment.
    pub fn of(experiment: &Experiment, schedule: &Schedule, shares: &Shares) -> Rules {
        let seconds = *experiment.seconds.get_ref();
        let specs = experiment.specs().zip(&schedule.speeds);
        Rules {
            tenants: experiment.tenants.iter().map(|t| (t.name.clone(), t.share, t.listed)).collect(),
            // The file was checked.
            caps: shares.lowest_caps(&experiment.tenants).unwrap_or_default(),
            seconds,
            windows: shares.windows(seconds),
            starved_s: shares.starved_s,
            share_within: experiment.hold.share_within,
            cap_used: experiment.hold.cap_used,
            capacity: specs.map(|(spec, speed)| spec.cores * speed * 1e6).sum(),
            works: schedule.arrivals.iter().map(|arrival| arrival.work).collect(),
        }
    }

    /// The groups that are judged, and to which each tenant belongs.
    pub(super) fn groups(&self) -> (Vec<TenantFigures>, Vec<usize>) {
        let listed = self.tenants.iter().filter(|(_, _, listed)| *listed).map(|(name, _, _)| name.clone());
        let mut names: Vec<String> = listed.collect();
        let mut places = Vec::new();
        if names.len() < self.tenants.len() {
            names.push(OTHERS.to_owned());
        }
        for (name, _, listed) in &self.tenants {
            let own = names.iter().position(|of| of == name).filter(|_| *listed);
            places.push(own.unwrap_or(names.len() - 1));
        }
        let cap = |name: &String| self.caps.iter().find(|(of, _)| of == name).map(|(_, calls)| *calls);
        let group = |name: String| TenantFigures { cap: cap(&name), name, ..TenantFigures::default() };
        (names.into_iter().map(group).collect(), places)
    }

    pub(super) fn weight(&self, name: &str) -> f64 {
        let own = self.tenants.iter().find(|(of, _, listed)| *listed && of == name);
        own.map_or(0.0, |(_, weight, _)| *weight)
    }
}

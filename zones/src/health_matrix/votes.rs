//! What witnesses say. Each weighs one, whatever it carries.
use crate::report::{ReportError, ZoneHealth, ZoneReport};
use crate::settings::FailoverSettings;
use crate::topology::Topology;

/// By who looks and at whom, how many find it well, strained and lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthVotes {
    counts: Vec<Vec<[u32; 3]>>,

    totals: Vec<[u32; 3]>,
}

impl HealthVotes {
    /// None yet.
    pub fn new(topology: &Topology) -> HealthVotes {
        HealthVotes {
            counts: vec![vec![[0; 3]; topology.count()]; topology.count()],
            totals: vec![[0; 3]; topology.count()],
        }
    }

    /// A checked word of a process in this zone. One that has tried all zones and finds every one lost is cut off
    /// itself.
    pub fn add(
        &mut self,
        own_zone: usize,
        report: &ZoneReport,
        topology: &Topology,
        settings: &FailoverSettings,
    ) -> Result<(), ReportError> {
        let votes = report.observations.iter().filter_map(|observation| {
            Some((topology.index(&observation.zone)?, observation.health(settings)?))
        });
        let votes: Vec<(usize, ZoneHealth)> = votes.collect();
        let observes_all = topology.count() > 1 && votes.len() == topology.count();
        if observes_all && votes.iter().all(|(_, health)| *health == ZoneHealth::Unavailable) {
            return Err(ReportError::ReachesNoZone);
        }
        for (zone, health) in votes {
            self.counts[own_zone][zone][health as usize] += 1;
            self.totals[zone][health as usize] += 1;
        }
        Ok(())
    }

    /// How many speak of a zone, wherever they are.
    pub fn vote_count(&self, zone: usize) -> u32 {
        self.totals.get(zone).map_or(0, |counts| counts.iter().sum())
    }

    /// How a pair is found, and by how many. Where too few look from there, by what is said from everywhere; `None`:
    /// too little is said.
    pub fn consensus(
        &self,
        observer: usize,
        target: usize,
        settings: &FailoverSettings,
    ) -> Option<(ZoneHealth, u32)> {
        let counts = &self.counts[observer][target];
        let is_sufficient = counts.iter().sum::<u32>() >= settings.min_witnesses;
        consensus_of(if is_sufficient { counts } else { &self.totals[target] }, settings)
    }
}

fn consensus_of(
    [healthy, degraded, unavailable]: &[u32; 3],
    settings: &FailoverSettings,
) -> Option<(ZoneHealth, u32)> {
    let total = healthy + degraded + unavailable;
    let has_quorum = |votes: u32| {
        votes >= settings.min_witnesses
            && u64::from(votes) * 1_000 >= u64::from(total) * u64::from(settings.quorum_per_mille)
    };
    match () {
        _ if total < settings.min_witnesses => None,
        _ if has_quorum(*unavailable) => Some((ZoneHealth::Unavailable, *unavailable)),
        _ if has_quorum(degraded + unavailable) => Some((ZoneHealth::Degraded, degraded + unavailable)),
        _ => Some((ZoneHealth::Healthy, *healthy)),
    }
}

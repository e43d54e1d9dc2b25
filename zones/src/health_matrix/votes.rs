//! Votes of processes on the health of zones. Each process has one vote on each zone, whatever its traffic.

use crate::report::{ReportError, ZoneHealth, ZoneReport};
use crate::settings::FailoverSettings;
use crate::topology::Topology;

/// Counts of the votes in the present reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthVotes {
    /// Number of votes by observing zone, observed zone and health.
    counts: Vec<Vec<[u32; 3]>>,
    /// Number of votes by observed zone and health, from all observing zones.
    totals: Vec<[u32; 3]>,
}

impl HealthVotes {
    /// Counts without votes.
    pub fn new(topology: &Topology) -> HealthVotes {
        HealthVotes {
            counts: vec![vec![[0; 3]; topology.count()]; topology.count()],
            totals: vec![[0; 3]; topology.count()],
        }
    }

    /// Adds the votes of a valid report, from a process in zone `own_zone`. A report by which all zones are
    /// unavailable is rejected, as its process is probably cut off itself.
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

    /// Number of votes on a zone from all zones.
    pub fn vote_count(&self, zone: usize) -> u32 {
        self.totals.get(zone).map_or(0, |counts| counts.iter().sum())
    }

    /// Health of a pair by its votes, and the number of votes for it. If there are too few votes from the
    /// observing zone, those from all zones count. `None`: there are too few in all.
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

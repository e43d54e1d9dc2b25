//! What a process has seen of the zones lately, smoothed and rounded so that its word does not change without need.
use crate::report::{ZoneObservation, ZoneReport, MAX_CLASS_COUNT};
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::Micros;

/// A span is counted in so many parts, each of that length: a second in all.
const SLOT_COUNT: usize = 8;

const SLOT_US: Micros = 125_000;

/// What was said stays said while it is right to so many eighths.
const MAX_DEVIATION_EIGHTHS: u64 = 1;

/// Ends of calls beyond this number in a part are not counted.
const MAX_CALLS_PER_SLOT: u32 = 1 << 24;

/// A count over the last second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SlidingCount {
    slots: [u32; SLOT_COUNT],
}

impl SlidingCount {
    fn add(&mut self, slot: u64, count: u32) {
        let slot_count = &mut self.slots[(slot % SLOT_COUNT as u64) as usize];
        *slot_count = slot_count.saturating_add(count).min(MAX_CALLS_PER_SLOT);
    }

    fn sum(&self) -> u64 {
        self.slots.iter().map(|count| u64::from(*count)).sum()
    }

    /// A second's. The part that now is in has lasted so long.
    fn rate(&self, slot_elapsed: Micros) -> u64 {
        let span = (SLOT_COUNT as u64 - 1) * SLOT_US + slot_elapsed;
        (self.sum() * 1_000_000 + span / 2) / span
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ZoneCounts {
    completed: SlidingCount,
    failed: SlidingCount,
    latency_ms: SlidingCount,
    in_flight: u32,
    unreachable: bool,
}

/// The tally of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalStats {
    own_zone: usize,
    slot: u64,

    /// For how long the part has lasted.
    slot_elapsed: Micros,
    requests: Vec<SlidingCount>,
    zones: Vec<ZoneCounts>,
    last_report: Option<ZoneReport>,
}

impl LocalStats {
    /// Of a process in a zone of the map, by its place.
    pub fn new(now: Micros, topology: &Topology, own_zone: usize) -> LocalStats {
        let zones = vec![ZoneCounts::default(); topology.count()];
        let requests = vec![SlidingCount::default(); MAX_CLASS_COUNT];
        LocalStats {
            own_zone,
            slot: now / SLOT_US,
            slot_elapsed: now % SLOT_US,
            requests,
            zones,
            last_report: None,
        }
    }

    /// Its own zone.
    pub fn own_zone(&self) -> usize {
        self.own_zone
    }

    /// Calls were asked for, of a class of worth.
    pub fn record_requests(&mut self, now: Micros, class: usize, count: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(requests) = self.requests.get_mut(class.min(MAX_CLASS_COUNT - 1)) {
            requests.add(slot, count);
        }
    }

    /// Attempts at a zone were answered, in so many milliseconds each.
    pub fn record_successes(&mut self, now: Micros, zone: usize, count: u32, latency_ms: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.completed.add(slot, count);
            counts.latency_ms.add(slot, count.saturating_mul(latency_ms));
            counts.unreachable &= count == 0;
        }
    }

    /// Attempts at a zone failed.
    pub fn record_failures(&mut self, now: Micros, zone: usize, count: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.failed.add(slot, count);
        }
    }

    /// Calls in hand at a zone, and whether all its hosts fail here.
    pub fn set_connectivity(&mut self, zone: usize, in_flight: u32, unreachable: bool) {
        if let Some(counts) = self.zones.get_mut(zone) {
            (counts.in_flight, counts.unreachable) = (in_flight, unreachable);
        }
    }

    /// Time goes on: what is older than the span counts no more. A clock that stands still or goes back turns nothing.
    fn advance(&mut self, now: Micros) {
        let slot = now / SLOT_US;
        let elapsed_slots = slot.saturating_sub(self.slot).min(SLOT_COUNT as u64);
        for offset in 1..=elapsed_slots {
            let index = ((slot - elapsed_slots + offset) % SLOT_COUNT as u64) as usize;
            self.requests.iter_mut().for_each(|count| count.slots[index] = 0);
            for zone in &mut self.zones {
                for count in [&mut zone.completed, &mut zone.failed, &mut zone.latency_ms] {
                    count.slots[index] = 0;
                }
            }
        }
        self.slot_elapsed = if slot >= self.slot { now % SLOT_US } else { SLOT_US };
        self.slot = self.slot.max(slot);
    }

    fn observe(
        &self,
        topology: &Topology,
        zone: usize,
        previous: Option<&ZoneObservation>,
    ) -> Option<ZoneObservation> {
        let counts = &self.zones[zone];
        let (completed, failed) =
            (counts.completed.rate(self.slot_elapsed), counts.failed.rate(self.slot_elapsed));
        if completed + failed == 0 && !counts.unreachable && counts.in_flight == 0 {
            return None;
        }
        let latency_ms = counts.latency_ms.sum() / counts.completed.sum().max(1);
        let reported = |field: fn(&ZoneObservation) -> u32| previous.map_or(0, field);
        Some(ZoneObservation {
            zone: topology.name(zone).to_owned(),
            in_flight: round(u64::from(counts.in_flight), reported(|previous| previous.in_flight)),
            completed_per_second: round(completed, reported(|previous| previous.completed_per_second)),
            failed_per_second: round(failed, reported(|previous| previous.failed_per_second)),
            latency_ms: round(latency_ms, reported(|previous| previous.latency_ms)),
            unreachable: counts.unreachable,
        })
    }

    /// The word as it is now.
    pub fn report(&mut self, now: Micros, topology: &Topology) -> ZoneReport {
        self.advance(now);
        let previous = self.last_report.take().unwrap_or_default();
        let demand = self.requests.iter().enumerate().map(|(class, requests)| {
            round(requests.rate(self.slot_elapsed), previous.demand.get(class).copied().unwrap_or(0))
        });
        let mut demand: Vec<u32> = demand.collect();
        while demand.last() == Some(&0) {
            demand.pop();
        }
        let observations = (0..self.zones.len()).filter_map(|zone| {
            let previous =
                previous.observations.iter().find(|observation| observation.zone == topology.name(zone));
            self.observe(topology, zone, previous)
        });
        let report = ZoneReport {
            zone: topology.name(self.own_zone).to_owned(),
            demand,
            observations: observations.collect(),
        };
        self.last_report = Some(report.clone());
        report
    }

    /// Whether some zone is found otherwise than was said last.
    pub(crate) fn has_health_change(
        &mut self,
        now: Micros,
        topology: &Topology,
        settings: &FailoverSettings,
    ) -> bool {
        self.advance(now);
        let reported_health = |zone: usize| {
            let report = self.last_report.as_ref()?;
            report
                .observations
                .iter()
                .find(|observation| observation.zone == topology.name(zone))?
                .health(settings)
        };
        (0..self.zones.len()).any(|zone| {
            let health =
                self.observe(topology, zone, None).and_then(|observation| observation.health(settings));
            health.is_some() && health != reported_health(zone)
        })
    }

    /// What was said last.
    pub fn last_report(&self) -> Option<&ZoneReport> {
        self.last_report.as_ref()
    }
}

/// What was said, while it is near enough; else the number, to three places of two.
fn round(value: u64, reported: u32) -> u32 {
    let previous = u64::from(reported);
    if previous > 0
        && value > 0
        && value.abs_diff(previous) * 8 <= previous.max(value) * MAX_DEVIATION_EIGHTHS
    {
        return reported;
    }
    let value = value.min(u64::from(u32::MAX >> 1));
    let shift = (u64::BITS - value.leading_zeros()).saturating_sub(4);
    let half = if shift == 0 { 0 } else { 1 << (shift - 1) };
    ((value + half) >> shift << shift) as u32
}

#[cfg(test)]
mod tests;

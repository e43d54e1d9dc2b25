//! A process's own calls over the last second, smoothed and rounded so that small changes do not change its
//! report.

use crate::report::{ZoneObservation, ZoneReport, MAX_CLASS_COUNT};
use crate::settings::FailoverSettings;
use crate::topology::Topology;
use flaxhead_lease::Micros;

/// Slots of the sliding window, which covers a second.
const SLOT_COUNT: usize = 8;
/// Duration of a slot.
const SLOT_US: Micros = 125_000;
/// A reported value is kept while the current one deviates from it by at most this many eighths.
const MAX_DEVIATION_EIGHTHS: u64 = 1;
/// Maximum count in a slot; further calls are not counted.
const MAX_CALLS_PER_SLOT: u32 = 1 << 24;

/// A count over a sliding window of a second.
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

    /// Rate per second. `slot_elapsed` is the time since the current slot began.
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

/// The calls of one process, by zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalStats {
    own_zone: usize,
    slot: u64,
    /// Time since the current slot began.
    slot_elapsed: Micros,
    requests: Vec<SlidingCount>,
    zones: Vec<ZoneCounts>,
    last_report: Option<ZoneReport>,
}

impl LocalStats {
    /// Statistics without calls, of a process in the zone with index `own_zone`.
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

    /// Index of the process's own zone.
    pub fn own_zone(&self) -> usize {
        self.own_zone
    }

    /// Counts requests of clients, in a priority class. Classes beyond the last count as the last.
    pub fn record_requests(&mut self, now: Micros, class: usize, count: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(requests) = self.requests.get_mut(class.min(MAX_CLASS_COUNT - 1)) {
            requests.add(slot, count);
        }
    }

    /// Counts successful attempts at a zone, with their mean latency. They also show that the zone is
    /// reachable.
    pub fn record_successes(&mut self, now: Micros, zone: usize, count: u32, latency_ms: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.completed.add(slot, count);
            counts.latency_ms.add(slot, count.saturating_mul(latency_ms));
            counts.unreachable &= count == 0;
        }
    }

    /// Counts failed attempts at a zone.
    pub fn record_failures(&mut self, now: Micros, zone: usize, count: u32) {
        self.advance(now);
        let slot = self.slot;
        if let Some(counts) = self.zones.get_mut(zone) {
            counts.failed.add(slot, count);
        }
    }

    /// Sets the number of calls in flight to a zone, and whether calls to all of its hosts fail.
    pub fn set_connectivity(&mut self, zone: usize, in_flight: u32, unreachable: bool) {
        if let Some(counts) = self.zones.get_mut(zone) {
            (counts.in_flight, counts.unreachable) = (in_flight, unreachable);
        }
    }

    /// Clears the slots that left the window. Does nothing if the clock stands still or goes back.
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

    /// Report of the calls in the last second. Values that are close to those of the previous report are
    /// repeated, so that the report does not change without need.
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

    /// Whether the health of a zone differs from that in the last report.
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

    /// The last report; `None`: there was none yet.
    pub fn last_report(&self) -> Option<&ZoneReport> {
        self.last_report.as_ref()
    }
}

/// Rounds a value to four significant bits. Returns the reported value while the new one is close to it.
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

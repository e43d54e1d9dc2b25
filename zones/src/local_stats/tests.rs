//! Unit tests of the local statistics.

use super::*;
use crate::topology::TopologySettings;

fn topology() -> Topology {
    let zones = ["a", "b"].map(|zone| (zone.to_owned(), "r".to_owned())).to_vec();
    Topology::new(&TopologySettings { zones, ..TopologySettings::default() }).expect("valid settings")
}

#[test]
fn report_stays_the_same_under_small_changes_and_follows_large_ones() {
    let topology = topology();
    let mut stats = LocalStats::new(0, &topology, 0);
    let mut reports = Vec::new();
    for step in 0..400_u64 {
        let (now, count) = (step * 50_000, if step < 200 { 20 + (step * 7 % 3) as u32 } else { 40 });
        stats.record_requests(now, 0, count);
        stats.record_successes(now, 1, count, 30);
        reports.push(stats.report(now, &topology));
    }
    let changes = |range: &[ZoneReport]| range.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert_eq!(changes(&reports[60..200]), 0, "{:?}", &reports[60..64]);
    assert!(reports[399].demand[0] > reports[199].demand[0] * 3 / 2);
    assert!(reports[399].demand[0].abs_diff(800) <= 100, "{:?}", reports[399]);
}

#[test]
fn counts_expire_after_a_second() {
    let topology = topology();
    let mut stats = LocalStats::new(0, &topology, 0);
    stats.record_failures(100, 1, 5);
    assert_eq!(stats.report(100, &topology).observations.len(), 1);
    assert_eq!(stats.report(1_100_000, &topology).observations.len(), 0);
}

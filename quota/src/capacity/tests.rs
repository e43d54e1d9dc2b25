#![expect(clippy::cast_possible_truncation, reason = "the counts of a test are small")]

use super::*;
use crate::registry::QuotaConfig;

fn host(size: u32, warmth: u32, ready: bool, failing: bool) -> HostCapacity {
    HostCapacity { size, warmth, ready, failing }
}

#[test]
fn capacity_counts_the_size_and_warm_up_of_usable_hosts() {
    let config = QuotaConfig { calls_per_host: 8, ..QuotaConfig::default() };
    let registry = TenantRegistry::new(&config, []).unwrap();
    let hosts = [
        host(1_000, 1_000, true, false),
        host(2_000, 500, true, false),
        host(9_000, 1_000, false, false),
        host(9_000, 1_000, true, true),
    ];
    // The usable hosts carry 8 + 8 = 16 calls, less the margin of 10%.
    assert_eq!(fleet_capacity(&registry, &hosts, 1_000), Some(14));
    assert_eq!(fleet_capacity(&registry, &hosts, 500), Some(7));
    assert_eq!(fleet_capacity(&registry, &hosts[2..], 1_000), Some(1));
    assert_eq!(fleet_capacity(&registry, &[], 1_000), None);
    let disabled = TenantRegistry::new(&QuotaConfig::default(), []).unwrap();
    assert_eq!(fleet_capacity(&disabled, &hosts, 1_000), None);
}

#[test]
fn learned_ratio_falls_to_a_quarter_and_recovers() {
    let mut learned = LearnedCapacity::new(0);
    for second in 1..40 {
        learned.record(second * REPORT_WINDOW, 100, 50);
    }
    assert_eq!(learned.ratio_per_mille(), MIN_RATIO_PER_MILLE);
    for second in 40..200 {
        learned.record(second * REPORT_WINDOW, 100, 0);
    }
    assert_eq!(learned.ratio_per_mille(), FULL_PER_MILLE);
    // The window has too few attempts for the learned ratio to fall.
    learned.record(300 * REPORT_WINDOW, MIN_ATTEMPT_COUNT as u32 - 1, MIN_ATTEMPT_COUNT as u32 - 1);
    assert_eq!(learned.ratio_per_mille(), FULL_PER_MILLE);
}

//! Health of zones: votes, damping, and the rejection of reports.

use flaxhead_zones::{
    FailoverSettings, HealthMatrix, HealthVotes, ReportError, Topology, TopologySettings, ZoneHealth,
    ZoneObservation, ZoneReport, ZoneStatus,
};

const MS: u64 = 1_000;

fn topology() -> Topology {
    let zones = ["a", "b", "c"].map(|zone| (zone.to_owned(), "r".to_owned())).to_vec();
    Topology::new(&TopologySettings { zones, ..TopologySettings::default() }).expect("valid settings")
}

/// A report of a process in zone `own_zone` that observes zones as well ('w'), slow ('s'), with half of the
/// attempts failed ('f') or unreachable ('u').
fn report(own_zone: &str, observed: &[(&str, char)]) -> ZoneReport {
    let observations = observed.iter().map(|(zone, state)| {
        let (completed_per_second, failed_per_second) =
            if *state == 'f' { (10, 12) } else { (if *state == 'u' { 0 } else { 20 }, 0) };
        let latency_ms = if *state == 's' { 900 } else { 40 };
        ZoneObservation {
            zone: zone.to_string(),
            in_flight: 1,
            completed_per_second,
            failed_per_second,
            latency_ms,
            unreachable: *state == 'u',
        }
    });
    ZoneReport { zone: own_zone.to_owned(), demand: vec![20], observations: observations.collect() }
}

fn votes(reports: &[ZoneReport]) -> HealthVotes {
    let (topology, settings) = (topology(), FailoverSettings::default());
    let mut votes = HealthVotes::new(&topology);
    for report in reports {
        let own_zone = report.check(&topology, 1_000_000).expect("a valid report");
        let _ = votes.add(own_zone, report, &topology, &settings);
    }
    votes
}

/// Updates the matrix with the same reports every 50 ms. Returns the number of changes.
fn update_for(matrix: &mut HealthMatrix, start_ms: u64, duration_ms: u64, reports: &[ZoneReport]) -> usize {
    let votes = votes(reports);
    (0..=duration_ms / 50)
        .map(|update| {
            matrix.update((start_ms + update * 50) * MS, &votes, &FailoverSettings::default()).len()
        })
        .sum()
}

/// Four reports from each of the zones.
fn reports_from_all(observed: [&[(&str, char)]; 3]) -> Vec<ZoneReport> {
    let zones = ["a", "b", "c"].iter().zip(observed);
    zones.flat_map(|(zone, observed)| std::iter::repeat_n(report(zone, observed), 4)).collect()
}

#[test]
fn the_status_of_a_zone_follows_the_majority_of_votes_in_each_observing_zone() {
    let healthy: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'w')];
    let c_unreachable: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'u')];
    let c_slow: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 's')];
    let c_failing: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'f')];
    for (observed, status) in [
        ([healthy, healthy, healthy], ZoneStatus::Healthy),
        ([c_unreachable, c_failing, c_unreachable], ZoneStatus::Unavailable),
        ([c_unreachable, healthy, healthy], ZoneStatus::UnavailableFrom(vec![0])),
        ([c_slow, c_slow, healthy], ZoneStatus::Degraded),
        ([c_slow, healthy, healthy], ZoneStatus::Healthy),
    ] {
        let mut matrix = HealthMatrix::new(0, &topology());
        update_for(&mut matrix, 0, 300, &reports_from_all(observed));
        assert_eq!(matrix.zone_status(2), status);
    }
}

#[test]
fn one_process_that_reports_all_zones_as_unreachable_changes_nothing() {
    let healthy: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'w')];
    for observed in [&[("a", 'u'), ("b", 'u'), ("c", 'u')][..], &[("b", 'u'), ("c", 'u')][..]] {
        // Both with other votes from its zone and without.
        for others in
            [reports_from_all([healthy, healthy, healthy]), reports_from_all([&[], healthy, healthy])]
        {
            let mut reports = others;
            reports.push(report("a", observed));
            let mut matrix = HealthMatrix::new(0, &topology());
            assert_eq!(update_for(&mut matrix, 0, 20_000, &reports), 0, "{observed:?}");
        }
    }
    let topology = topology();
    let cut_off = report("a", &[("a", 'u'), ("b", 'u'), ("c", 'f')]);
    let added = HealthVotes::new(&topology).add(0, &cut_off, &topology, &FailoverSettings::default());
    assert_eq!(added, Err(ReportError::ReachesNoZone));
}

#[test]
fn implausible_reports_are_rejected_with_the_reason() {
    let topology = topology();
    let error = |report: ZoneReport| report.check(&topology, 1_000).expect_err("an invalid report");
    let valid = report("a", &[("b", 'w')]);
    let with = |observation: ZoneObservation| ZoneReport { observations: vec![observation], ..valid.clone() };
    assert_eq!(error(report("x", &[])), ReportError::UnknownZone("x".into()));
    assert_eq!(error(report("a", &[("b", 'w'), ("b", 'w')])), ReportError::DuplicateZone("b".into()));
    assert_eq!(error(ZoneReport { demand: vec![1; 9], ..valid.clone() }), ReportError::TooManyClasses(9));
    assert_eq!(
        error(ZoneReport { demand: vec![600, 600], ..valid.clone() }),
        ReportError::ImplausibleRate(1_200)
    );
    let high_rate = ZoneObservation {
        completed_per_second: u32::MAX,
        failed_per_second: u32::MAX,
        ..valid.observations[0].clone()
    };
    assert!(matches!(error(with(high_rate)), ReportError::ImplausibleRate(_)));
    let high_latency = ZoneObservation { latency_ms: u32::MAX, ..valid.observations[0].clone() };
    assert_eq!(error(with(high_latency)), ReportError::ImplausibleLatency(u32::MAX));
}

#[test]
fn a_flapping_zone_changes_its_health_a_few_times_per_minute() {
    let healthy: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'w')];
    let c_unreachable: &[(&str, char)] = &[("a", 'w'), ("b", 'w'), ("c", 'u')];
    for up_ms in [3_000, 5_000, 9_000] {
        let mut matrix = HealthMatrix::new(0, &topology());
        let (mut now_ms, mut changes) = (0, 0);
        while now_ms < 60_000 {
            changes += update_for(
                &mut matrix,
                now_ms,
                3_000,
                &reports_from_all([c_unreachable, c_unreachable, c_unreachable]),
            );
            changes += update_for(
                &mut matrix,
                now_ms + 3_000,
                up_ms,
                &reports_from_all([healthy, healthy, healthy]),
            );
            now_ms += 3_000 + up_ms;
        }
        // Five changes for each of the three observing zones.
        assert!(changes <= 3 * 5, "up for {up_ms} ms: {changes} changes");
        let delay = matrix.pair(0, 2).recovery_delay(&FailoverSettings::default());
        update_for(&mut matrix, now_ms, delay / MS + 100, &reports_from_all([healthy, healthy, healthy]));
        assert_eq!(matrix.pair(0, 2).health, ZoneHealth::Healthy);
    }
}

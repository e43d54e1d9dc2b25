//! Validation of plans, the encoded size of reports and plans, and the merge of two plans.

use flaxhead_lease::{Application, ApplicationTypes, Ballot, ReplicatedState, Version};
use flaxhead_zones::allocation::{AdmissionLevel, TOTAL_WEIGHT};
use flaxhead_zones::{
    ActiveCommand, FailoverSettings, Name, OriginSplit, PairHealth, Plan, PlanError, Topology,
    TopologySettings, ZoneApplication, ZoneCapacity, ZoneObservation, ZoneReport, MAX_CLASS_COUNT,
};

fn topology(names: &[String]) -> Topology {
    let zones = names.iter().map(|zone| (zone.clone(), "r".to_owned())).collect();
    Topology::new(&TopologySettings { zones, ..TopologySettings::default() }).expect("valid settings")
}

fn three_zones() -> Topology {
    topology(&["a", "b", "c"].map(str::to_owned))
}

fn split(origin: &str, weights: &[(&str, u32)]) -> OriginSplit {
    let weights = weights.iter().map(|(zone, weight)| (zone.to_string(), *weight)).collect();
    OriginSplit {
        origin: origin.into(),
        admission: AdmissionLevel { full_classes: 2, partial_ratio: 0 },
        weights,
    }
}

fn plan(seq: u64, splits: Vec<OriginSplit>) -> Plan {
    let ballot = Some(Ballot { round: 1, name: Name::new("p1").expect("a valid name"), incarnation: 1 });
    Plan { version: Version { ballot, seq }, splits, ..Plan::default() }
}

#[test]
fn an_invalid_plan_is_rejected_as_a_whole_and_the_last_valid_one_is_kept() {
    let unavailable = |target: &str| PairHealth {
        observer: "a".into(),
        target: target.into(),
        health: 2,
        witnesses: 9,
        recent_outages: 1,
        age: 0,
    };
    let valid = plan(1, vec![split("a", &[("a", 4_000), ("b", 6_000)]), split("b", &[("b", TOTAL_WEIGHT)])]);
    assert_eq!(valid.check(&three_zones()), Ok(()));
    let with = |splits: Vec<OriginSplit>| plan(2, splits);
    let unknown_capacity = Plan {
        capacities: vec![ZoneCapacity { zone: "x".into(), calls_per_second: 1, achieved_per_mille: 1 }],
        ..valid.clone()
    };
    let excessive_admission = OriginSplit {
        admission: AdmissionLevel { full_classes: 0, partial_ratio: 10_001 },
        ..valid.splits[0].clone()
    };
    type Case = (Plan, fn(&PlanError) -> bool);
    let cases: [Case; 9] = [
        (
            with(vec![split("x", &[("a", TOTAL_WEIGHT)])]),
            |e| matches!(e, PlanError::UnknownZone(zone) if zone == "x"),
        ),
        (
            with(vec![split("a", &[("a\n", TOTAL_WEIGHT)])]),
            |e| matches!(e, PlanError::UnknownZone(zone) if zone == "?"),
        ),
        (unknown_capacity, |e| matches!(e, PlanError::UnknownZone(_))),
        (with(vec![split("a", &[("a", 9_999)])]), |e| {
            matches!(e, PlanError::InvalidWeightSum { sum: 9_999, .. })
        }),
        (with(vec![split("a", &[("a", u32::MAX), ("b", u32::MAX)])]), |e| {
            matches!(e, PlanError::InvalidWeightSum { .. })
        }),
        (with(vec![split("a", &[])]), |e| matches!(e, PlanError::InvalidWeightSum { sum: 0, .. })),
        (with(vec![split("a", &[("a", 5_000), ("a", 5_000)])]), |e| {
            matches!(e, PlanError::DuplicateSplit { .. })
        }),
        (with(vec![excessive_admission]), |e| matches!(e, PlanError::InvalidAdmission { .. })),
        (Plan { pairs: vec![unavailable("b")], ..valid.clone() }, |e| {
            matches!(e, PlanError::RoutedToUnavailable { .. })
        }),
    ];
    for (invalid, is_expected) in cases {
        let mut application = ZoneApplication::new(0, three_zones(), FailoverSettings::default(), 0);
        application.state_changed(0, &valid);
        application.state_changed(1, &invalid);
        assert!(
            application.plan_error().is_some_and(is_expected),
            "{invalid:?}: {:?}",
            application.plan_error()
        );
        assert_eq!(application.last_valid_plan(), &valid);
        application.state_changed(2, &Plan { version: plan(3, Vec::new()).version, ..valid.clone() });
        assert_eq!((application.plan_error(), application.last_valid_plan().version.seq), (None, 3));
    }
}

#[test]
fn the_largest_report_and_plan_fit_into_the_size_limits() {
    let names: Vec<String> = (0..32).map(|zone| format!("{zone:x<64}")).collect();
    let observation = |zone: &String| ZoneObservation {
        zone: zone.clone(),
        in_flight: u32::MAX,
        completed_per_second: u32::MAX,
        failed_per_second: u32::MAX,
        latency_ms: u32::MAX,
        unreachable: true,
    };
    let report = ZoneReport {
        zone: names[0].clone(),
        demand: vec![u32::MAX; MAX_CLASS_COUNT],
        observations: names.iter().map(observation).collect(),
    };
    let command = ActiveCommand { by: "o".repeat(64), age: u64::MAX };
    let weights: Vec<(&str, u32)> = names.iter().map(|zone| (zone.as_str(), u32::MAX)).collect();
    let pair = |observer: &String, target: &String| PairHealth {
        observer: observer.clone(),
        target: target.clone(),
        health: 2,
        witnesses: u32::MAX,
        recent_outages: 4,
        age: u64::MAX,
    };
    let largest_plan = Plan {
        pairs: names
            .iter()
            .flat_map(|observer| names.iter().map(move |target| pair(observer, target)))
            .collect(),
        capacities: names
            .iter()
            .map(|zone| ZoneCapacity {
                zone: zone.clone(),
                calls_per_second: u32::MAX,
                achieved_per_mille: 1_000,
            })
            .collect(),
        hold: Some(command.clone()),
        evacuated: names.iter().map(|zone| (zone.clone(), command.clone())).collect(),
        ..plan(u64::MAX, names.iter().map(|origin| split(origin, &weights)).collect())
    };
    let report_bytes = postcard::to_stdvec(&report).expect("a report").len();
    let plan_bytes = postcard::to_stdvec(&largest_plan).expect("a plan").len();
    println!("report: {report_bytes} bytes, plan: {plan_bytes} bytes");
    assert!(
        report_bytes <= ZoneApplication::MAX_REPORT_BYTES && plan_bytes <= ZoneApplication::MAX_STATE_BYTES,
        "{report_bytes}, {plan_bytes}"
    );
}

#[test]
fn a_merge_keeps_the_later_plan_and_the_evacuations_of_both() {
    let evacuation = |zone: &str| (zone.to_owned(), ActiveCommand { by: "night shift".into(), age: 5 });
    let earlier = Plan {
        evacuated: vec![evacuation("a"), evacuation("b")],
        ..plan(1, vec![split("a", &[("a", TOTAL_WEIGHT)])])
    };
    let later =
        Plan { evacuated: vec![evacuation("b")], ..plan(2, vec![split("a", &[("c", TOTAL_WEIGHT)])]) };
    for (mut merged, other) in [(earlier.clone(), later.clone()), (later.clone(), earlier.clone())] {
        assert!(merged.merge(&other));
        assert_eq!((merged.version.seq, &merged.splits), (2, &later.splits));
        assert!(merged.is_evacuated("a") && merged.is_evacuated("b") && merged.evacuated.len() == 2);
        assert!(!merged.clone().merge(&other));
    }
}

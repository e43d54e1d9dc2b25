use super::*;

#[test]
fn a_load_report_is_parsed_by_the_names_of_the_settings() {
    let report = parse_load_report("active=7.5,waiting=2,avg_ms=14.766,cpu=0.5");
    assert_eq!(
        report,
        LoadReport { active_requests: Some(7.5), queued_requests: Some(2.0), cpu_utilization: Some(0.5) }
    );
}

#[test]
fn the_local_zone_is_set_only_if_calls_to_other_zones_have_a_cost() {
    let local_zone = |more: &str| {
        let text = format!(
            r#"{{"balancers":3,"classes":[],"limits":{{}},"invariants":{{"cold_from":0.3,"cold_us":1}}{more}}}"#
        );
        parse(&serde_json::from_str(&text).expect("JSON")).expect("settings").0.local_zone
    };
    assert_eq!(local_zone(""), None);
    assert_eq!(local_zone(r#","locality":"cork""#), None);
    assert_eq!(local_zone(r#","locality":"cork","charges":{"cross_zone":0.2}"#), Some(zone_id("cork")));
}

#[test]
fn invalid_numbers_in_a_load_report_are_ignored() {
    let report = parse_load_report("active=NaN,waiting=many, cpu = 0.25 ,odd,=,active");
    assert_eq!(
        report,
        LoadReport { active_requests: None, queued_requests: None, cpu_utilization: Some(0.25) }
    );
}

//! Unit tests of this library.

use super::*;

#[test]
fn a_load_report_is_read_under_the_names_of_the_settings() {
    let read = parse_load_report("active=7.5,waiting=2,avg_ms=14.766,cpu=0.5");
    assert_eq!(
        read,
        LoadReport { active_requests: Some(7.5), queued_requests: Some(2.0), cpu_utilization: Some(0.5) }
    );
}

#[test]
fn its_own_zone_counts_where_leaving_it_has_a_price() {
    let home = |more: &str| {
        let text = format!(
            r#"{{"balancers":3,"classes":[],"limits":{{}},"invariants":{{"cold_from":0.3,"cold_us":1}}{more}}}"#
        );
        parse(&serde_json::from_str(&text).expect("JSON")).expect("settings").0.local_zone
    };
    assert_eq!(home(""), None);
    assert_eq!(home(r#","locality":"cork""#), None);
    assert_eq!(home(r#","locality":"cork","charges":{"cross_zone":0.2}"#), Some(zone_id("cork")));
}

#[test]
fn what_is_no_number_in_a_load_report_is_passed_over() {
    let read = parse_load_report("active=NaN,waiting=many, cpu = 0.25 ,odd,=,active");
    assert_eq!(
        read,
        LoadReport { active_requests: None, queued_requests: None, cpu_utilization: Some(0.25) }
    );
}

//! Unit tests of `status`.

use super::records::StatusRecords;
use super::view::RenderedPage;
use super::*;
use flaxhead_engine::Health;
use flaxhead_policy::{Outcome, ServerId};
use std::net::SocketAddr;

#[test]
fn the_last_three_errors_of_a_host_are_kept_in_the_platforms_words() {
    let mut records = StatusRecords::default();
    let server = ServerId(1);
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Served,
        Outcome::NoConnection,
        Outcome::Cancelled,
        Outcome::TimedOut,
        Outcome::Reset,
    ];
    outcomes.into_iter().for_each(|outcome| records.record_outcome(server, outcome));
    assert_eq!(records.errors(server), ["could not connect", "timed out", "reset"]);
    records.record_outcome(ServerId(2), Outcome::Unknown);
    assert_eq!(records.errors(ServerId(2)), ["error"]);
}

#[test]
fn names_of_the_endpoint_list_are_escaped() {
    let host = "<b>&\"'".to_owned();
    let dial = SocketAddr::from(([127, 0, 0, 1], 1));
    let row = HostSummary { host, dial, health: Health::Ready, last_errors: vec!["reset"] };
    let page = StatusView { version: "1", uptime_s: 2, hosts: vec![row], load: Vec::new(), shares: None };
    let html = page.html();
    assert!(!html.contains("<b>") && html.contains("&lt;b&gt;&amp;&quot;&#x27;"), "{html}");
    let json: serde_json::Value = serde_json::from_slice(&RenderedPage::new(&page).json).expect("it is JSON");
    assert_eq!(json["hosts"][0]["host"], "<b>&\"'");
}

/// `/status.json` is read by others' programs: its keys and their order must not change.
#[test]
fn the_json_keeps_its_keys_and_their_order() {
    let dial = SocketAddr::from(([127, 0, 0, 1], 1));
    let host = |health| HostSummary { host: "h".to_owned(), dial, health, last_errors: vec!["reset"] };
    let hosts = [Health::Ready, Health::Terminating, Health::Gone].map(host).into();
    let load = vec![ClassLoad { class: "safe".to_owned(), in_flight: 1, requests: 2, per_second: 0.5 }];
    let page = StatusView { version: "1", uptime_s: 2, hosts, load, shares: None };
    let host = |health: &str| {
        format!(r#"{{"host":"h","dial":"127.0.0.1:1","health":"{health}","last_errors":["reset"]}}"#)
    };
    let expected = format!(
        r#"{{"version":"1","uptime_s":2,"hosts":[{},{},{}],"load":[{{"class":"safe","in_hand":1,"requests":2,"per_second":0.5}}]}}"#,
        host("Ready"),
        host("Terminating"),
        host("Gone"),
    );
    assert_eq!(serde_json::to_string(&page).expect("text"), expected);
}

//! Unit tests of `status`.

use super::*;

#[test]
fn the_last_three_errors_of_a_host_are_kept_in_the_platforms_words() {
    let mut board = Board::default();
    let server = ServerId(1);
    let outcomes = [
        Outcome::Error,
        Outcome::TurnedAway,
        Outcome::Served,
        Outcome::NoConnection,
        Outcome::CalledOff,
        Outcome::TimedOut,
        Outcome::Reset,
    ];
    outcomes.into_iter().for_each(|outcome| board.ended(server, outcome));
    assert_eq!(board.errors(server), ["could not connect", "timed out", "reset"]);
    board.ended(ServerId(2), Outcome::Unknown);
    assert_eq!(board.errors(ServerId(2)), ["error"]);
}

#[test]
fn what_discovery_told_is_escaped() {
    let host = "<b>&\"'".to_owned();
    let dial = SocketAddr::from(([127, 0, 0, 1], 1));
    let row = HostRow { host, dial, health: Health::Ready, last_errors: vec!["reset"] };
    let page = Snapshot { version: "1", uptime_s: 2, hosts: vec![row], load: Vec::new(), shares: None };
    let html = page.html();
    assert!(!html.contains("<b>") && html.contains("&lt;b&gt;&amp;&quot;&#x27;"), "{html}");
    let json: serde_json::Value = serde_json::from_slice(&Rendered::new(&page).json).expect("it is JSON");
    assert_eq!(json["hosts"][0]["host"], "<b>&\"'");
}

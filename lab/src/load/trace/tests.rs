//! Unit tests of `trace`.

use super::*;

#[test]
fn a_capture_s_requests_keep_their_distances_classes_and_patience() {
    let text =
        "name = \"x\"\nseconds = 1\nfleet = { nodes = [{}] }\nload = [{ shape = \"steady\", rate = 5 }]\n";
    let of = Experiment::parse(text, "x").expect("good");
    let asked = |at, class: &str, caller: &str| Asked {
        at,
        class: class.to_owned(),
        caller: caller.to_owned(),
        budget_ms: 480,
    };
    let lines = captured(vec![asked(7_000, "send", ""), asked(9_500, "balance", "cassa-iblea")]);
    let arrivals: Vec<Arrival> = lines.into_iter().map(|line| line.arrival(&of, 0).expect("known")).collect();
    let read: Vec<_> = arrivals.iter().map(|a| (a.at, a.class, a.tenant, a.patience)).collect();
    assert_eq!(read, [(0, 3, 0, 480_000), (2_500, 0, 1, 480_000)]);
}

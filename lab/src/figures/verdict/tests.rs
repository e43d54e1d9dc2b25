//! Unit tests of `verdict`.

use super::*;

const TEXT: &str =
    "name = \"late\"\nseconds = 1\nfleet = { nodes = [{}] }\n[[load]]\nshape = \"steady\"\nrate = 1\n";

/// The exit code of a run whose sender was late by so much, with these words in its `[hold]`.
fn code(p99: f64, hold: &str, service: f64) -> u8 {
    let experiment = Experiment::parse(&format!("{TEXT}[hold]\n{hold}"), "late").expect("good");
    let mut figures = Figures { service, ..Figures::default() };
    figures.lateness.p99 = p99;
    figures.verdict.unheld = figures.unheld(&experiment.hold);
    figures.judge_sender(&experiment);
    figures.verdict.exit_code()
}

#[test]
fn a_late_sender_voids_what_it_may_have_changed() {
    let service = "service = 0.5";
    assert_eq!([code(4.0, service, 0.6), code(4.0, service, 0.4)], [0, 1], "on time");
    assert_eq!([code(90.0, service, 0.6), code(90.0, service, 0.4)], [0, 3], "lateness can only cost");
    assert_eq!(code(601.0, service, 0.6), 3, "past the shortest aim it is another load");
    assert_eq!(code(90.0, "slowest_at_least_ms = 0", 0.6), 3, "it may have made the slowest");
}

//! Unit tests of `maintenance`.

use super::GatedSource;
use crate::features::Features;

#[test]
fn what_would_never_work_ends_the_start_with_its_line() {
    let peers = "[peers]\nlisten = 10.0.0.4:7946\ncluster = a\nnetworks = 10.0.0.0/8\n";
    let good = format!("{peers}[work]\nvoters = a, b, c\nhosts = 2\nlease_ms = 2000\nmargin_percent = 50\n");
    let settings = Features::parse(&good).expect("good").maintenance.expect("on");
    assert_eq!(
        (
            settings.scheduler.limits.max_total,
            settings.scheduler.limits.load_margin,
            settings.config.lease_duration
        ),
        (2, 500, 2_000_000)
    );
    let cases = [
        (good.replace("a, b, c", "a, b"), 5, "an odd number"),
        (good.replace("a, b, c", "a, b, a"), 5, "twice"),
        (good.replace("a, b, c", "a, b, \u{e9}"), 5, "printable"),
        (good.replace("hosts = 2", "hosts = 0"), 7, "1 to 1000"),
        (good.replace("lease_ms = 2000", "lease_ms = 20"), 8, "500 to 60000"),
        (good.replace("[work]", "[work]\nhost = 1"), 6, "unknown key host"),
        (good.replace(peers, ""), 1, "[peers]"),
    ];
    for (text, line, reason) in cases {
        let problem = Features::parse(&text).expect_err(&text);
        assert!(problem.line == line && problem.reason.contains(reason), "{text}: {problem:?}");
    }
}

#[test]
fn gates_that_open_at_once_do_not_ask_discovery_at_once() {
    let (_, open) = tokio::sync::watch::channel(true);
    let mut counts = [0; 5];
    for seed in 0..300 {
        let gate = GatedSource::new((), open.clone(), None, seed << 16);
        counts[gate.first_poll_delay.as_millis() as usize / 100] += 1;
    }
    assert!(counts.iter().all(|count| *count <= 90), "{counts:?}");
}

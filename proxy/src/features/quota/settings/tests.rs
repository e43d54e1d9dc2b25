//! Unit tests of the settings.

use crate::config::Config;
use crate::features::Features;

const GOOD: &str =
    "[peers]\nlisten = 10.0.0.4:7946\ncluster = a\nnetworks = 10.0.0.0/8\n[shares]\nvoters = a, b, c\n\
                        own_percent = 50\nproxies_most = 4\ncaps = alfa 40, others 4\n";

#[test]
fn what_would_never_work_ends_the_start_with_its_line() {
    let shares = Features::parse(GOOD).expect("good").quota.expect("on");
    assert_eq!((shares.quota.caps.len(), shares.lease, shares.autonomy_timeout), (2, 6_000_000, 15_000_000));
    let cases = [
        (GOOD.replace("a, b, c", "a, b"), 5, "an odd number"),
        (GOOD.replace("= 50", "= 0"), 7, "1 to 100"),
        (GOOD.replace("= 50", "= 101"), 7, "1 to 100"),
        (GOOD.replace("most = 4", "most = 0"), 8, "1 to 10000"),
        (GOOD.replace("others 4", "others 3"), 9, "raise it, or lower proxies_most"),
        (GOOD.replace("others 4", "alfa 9"), 9, "twice"),
        (GOOD.replace("others 4", "others"), 9, "a tenant's name and a number"),
        (GOOD.replace("[shares]", "[shares]\nunits = 1"), 6, "unknown key units"),
        (GOOD[GOOD.find("[shares]").expect("there")..].to_owned(), 1, "[shares] needs [peers]"),
    ];
    for (text, line, reason) in cases {
        let problem = Features::parse(&text).expect_err(&text);
        assert!(problem.line == line && problem.reason.contains(reason), "{text}: {problem:?}");
    }
}

#[test]
fn caps_of_tenants_that_the_configuration_lacks_are_told_with_file_and_line() {
    let mut shares = Features::parse(GOOD).expect("good").quota.expect("on");
    shares.file = "ops.ini".into();
    let config = |tenants: &str| {
        let text = r#"{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "0f", "settings": {"balancers": 1, "me": 0, "tenants": TENANTS,
                "discovery": "ask", "tick_us": 1000, "classes": [{"name": "a", "objective_us": 1, "deadline_us": 2, "worth": 1.0,
                "idempotency": "free"}], "limits": {"cancel": false, "second_copies": false,
                "probes": false}, "invariants": {"cold_from": 0.3, "cold_us": 1, "ask_every_us": 1}}}"#;
        Config::parse(&text.replace("TENANTS", tenants)).expect("a configuration")
    };
    let with = config(r#"[{"name": "alfa", "portion": 0.5}, {"name": "beta", "portion": 0.2}]"#);
    let registry = shares.registry(&with).expect("fits");
    assert_eq!(
        registry.tenants.iter().map(|t| (t.cap, t.guaranteed)).collect::<Vec<_>>(),
        [(Some(40), 5), (None, 0), (Some(4), 1)]
    );
    let reason = shares.registry(&config("[]")).expect_err("no alfa").to_string();
    assert!(reason.starts_with("ops.ini:9: [shares] caps names \"alfa\""), "{reason}");
}

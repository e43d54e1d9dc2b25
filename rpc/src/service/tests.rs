//! Unit tests of `service`.

use super::*;
use serde_json::json;

/// A good config, changed at a place.
fn changed(place: &str, value: Value) -> Result<ServiceConfig, Problem> {
    let class = |name: &str, kind: &str| {
        json!({"name": name, "objective_us": 500_000, "deadline_us": 2_000_000, "worth": 1.0, "late_value": 0.5,
                "idempotency": kind})
    };
    let retry = json!({"maxAttempts": 2, "initialBackoff": "0.1s", "maxBackoff": "1s", "backoffMultiplier": 2,
            "retryableStatusCodes": ["unavailable", 10]});
    let mut config = json!({
        "methodConfig": [
            {"name": [{"service": "s", "method": "A"}], "class": "free", "timeout": "0.5s", "retryPolicy": retry},
            {"name": [{"service": "s"}], "class": "send", "timeout": "9s"},
        ],
        "connectionScaling": {"maxConnectionsPerSubchannel": 99},
        "flaxhead": {"settings": {"balancers": 1, "classes": [class("free", "free"), class("send", "single_shot")],
            "limits": {"max_attempts": 3}, "invariants": {"cold_from": 0.5, "cold_us": 1}}},
    });
    if !place.is_empty() {
        let (parent, key) = place.rsplit_once('/').expect("a place");
        config.pointer_mut(parent).expect("there")[key] = value;
    }
    ServiceConfig::parse(&config.to_string())
}

#[test]
fn a_method_is_treated_as_the_closest_entry_says() {
    let config = changed("", Value::Null).expect("good");
    let a = config.method("/s/A").expect("its own entry");
    assert_eq!((a.class, a.timeout, a.attempts_most), (ClassId(0), Duration::from_millis(500), 2));
    assert_eq!(a.retryable.as_deref(), Some(&[Code::Unavailable, Code::Aborted][..]));
    let b = config.method("/s/B").expect("its service's");
    assert_eq!((b.class, b.timeout, b.attempts_most), (ClassId(1), Duration::from_secs(2), 3));
    assert_eq!((config.method("/t/A"), config.method("A"), config.connections_most), (None, None, CLAMP));
    let all = changed("/methodConfig/1/name", json!([{}])).expect("good");
    assert_eq!(all.method("/t/A").map(|method| method.class), Some(ClassId(1)));
}

#[test]
fn what_is_wrong_is_told_with_its_place() {
    let retry = json!({"maxAttempts": 2, "initialBackoff": "0.1s", "maxBackoff": "1s", "backoffMultiplier": 2,
            "retryableStatusCodes": ["UNAVAILABLE"]});
    let cases = [
        ("/methodConfig/0/class", json!("gold"), "methodConfig[0].class", "gold"),
        ("/methodConfig/0/class", Value::Null, "methodConfig[0].class", "missing"),
        ("/methodConfig/0/name", json!([]), "methodConfig[0].name", "names no method"),
        ("/methodConfig/0/name", json!([{"method": "A"}]), "methodConfig[0].name", "without a service"),
        ("/methodConfig/1/name", json!([{"service": "s", "method": "A"}]), "methodConfig[1].name", "twice"),
        ("/methodConfig/0/timeout", json!("5"), "methodConfig[0].timeout", "seconds"),
        ("/methodConfig/0/timeout", json!("-1s"), "methodConfig[0].timeout", "seconds"),
        ("/methodConfig/0/timeout", json!("0s"), "methodConfig[0].timeout", "above 0"),
        (
            "/methodConfig/0/retryPolicy/maxAttempts",
            json!(1),
            "methodConfig[0].retryPolicy.maxAttempts",
            "at least 2",
        ),
        (
            "/methodConfig/0/retryPolicy/maxBackoff",
            json!("0.01s"),
            "methodConfig[0].retryPolicy.maxBackoff",
            "below",
        ),
        (
            "/methodConfig/0/retryPolicy/backoffMultiplier",
            json!(0),
            "methodConfig[0].retryPolicy.backoffMultiplier",
            "above",
        ),
        (
            "/methodConfig/0/retryPolicy/retryableStatusCodes",
            json!(["OK"]),
            "methodConfig[0].retryPolicy.retryableStatusCodes",
            "OK",
        ),
        ("/methodConfig/1/retryPolicy", retry, "methodConfig[1].retryPolicy", "must not run twice"),
        ("/methodConfig/0/hedgingPolicy", json!({}), "methodConfig[0].hedgingPolicy", "not supported"),
        ("/methodConfig/0/colour", json!("red"), "methodConfig[0].colour", "unknown field"),
        ("/connectionScaling/maxConnectionsPerSubchannel", json!(0), "connectionScaling", "0: 1 to"),
        ("/retryThrottling", json!({}), "retryThrottling", "retryBudget"),
        ("/flaxhead/settings", json!({}), "flaxhead.settings", "balancers"),
        ("/flaxhead/settings/classes", json!([]), "flaxhead.settings", "no classes"),
        (
            "/flaxhead/retryBudget",
            json!({"share": 2, "perSecond": 1, "most": 1}),
            "flaxhead.retryBudget",
            "0 to 1",
        ),
        ("/flaxhead/clamp", json!(0), "flaxhead.clamp", "1 to 1000"),
        ("/flaxhead/memory", json!({"entries": 0}), "flaxhead.memory.entries", "1 to"),
        ("/flaxhead/idMetadata", json!("no name"), "flaxhead.idMetadata", "no metadata's name"),
    ];
    for (place, value, at, reason) in cases {
        let problem = changed(place, value.clone()).expect_err(place);
        assert!(problem.at.starts_with(at), "{place} = {value}: {problem}");
        assert!(problem.reason.contains(reason), "{place} = {value}: {problem}");
    }
    assert!(ServiceConfig::parse("{").is_err() && ServiceConfig::parse("").is_err());
}

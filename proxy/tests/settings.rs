//! Settings that can be read and cannot work end the start with the file, the key, the reason and what to do.

mod common;

use common::*;
use flaxhead_proxy::config::{Config, Problem};
use serde_json::{json, Value};
use std::io::Read;

/// What is changed, the key that the error names, and a word of its remedy.
type Case = (fn(&mut Value), &'static str, &'static str);

const CASES: [Case; 7] = [
    (|settings| settings["balancers"] = json!(0), "settings.balancers", "number of proxies"),
    (|settings| settings["limits"]["max_attempts"] = json!(0), "settings.limits.max_attempts", "1 or more"),
    (
        |settings| settings["invariants"]["cold_from"] = json!(1.5),
        "settings.invariants.cold_from",
        "between 0 and 1",
    ),
    (|settings| settings["classes"] = json!([]), "settings.classes", "at least one"),
    (
        |settings| settings["classes"][1]["deadline_us"] = json!(0),
        "settings.classes[1].deadline_us",
        "clients wait",
    ),
    (|settings| settings["classes"][2]["name"] = json!("free"), "settings.classes[2].name", "of its own"),
    (
        |settings| settings["limits"]["connect_timeout_us"] = json!(0),
        "settings.limits.connect_timeout_us",
        "may take",
    ),
];

#[test]
fn settings_that_cannot_work_are_told_by_key_reason_and_remedy() {
    let discovery = "127.0.0.1:9".parse().expect("an address");
    assert!(Config::parse(&configuration(discovery, &[], |_| ())).is_ok());
    for (change, key, remedy) in CASES {
        let text = configuration(discovery, &[], |config| change(&mut config["settings"]));
        let problem = Config::parse(&text).expect_err(key);
        assert!(matches!(problem, Problem::Unworkable(_)), "{problem:?}");
        let said = problem.to_string();
        assert!(said.starts_with(&format!("{key}: ")) && said.contains(remedy), "{said}");
    }
}

#[test]
fn the_program_does_not_start_with_them_and_names_the_file() {
    run(async {
        let discovery = "127.0.0.1:9".parse().expect("an address");
        let config = configuration(discovery, &[], |config| CASES[0].0(&mut config["settings"]));
        let (mut command, path) = program(&config, "unworkable.json");
        let mut child = Running::start(&mut command);
        assert_eq!(exit_code(&mut child).await, Some(1));
        let mut said = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut said).expect("text");
        assert!(said.contains(path.to_str().expect("text")) && said.contains("settings.balancers"), "{said}");
    });
}

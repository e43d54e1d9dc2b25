//! The program's commands, their arguments and exit codes, which operators have in scripts. What each exit code of a
//! command that reaches a proxy means is held by the tests of that command: `audit.rs`, `capture.rs`, `process.rs`, and
//! the lab's `work_orders.rs`.

use std::process::{Command, Output};

fn flaxhead(arguments: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxhead"));
    command.args(arguments.split_whitespace()).env_remove("ROUTER_CONFIG").env("USER", "ops");
    command.output().expect("it runs")
}

/// Nothing listens at port 1 of this address.
const NOBODY: &str = "127.0.0.1:1";

#[test]
fn every_command_that_reaches_nobody_ends_with_2() {
    for arguments in [
        "members ADDRESS",
        "members ADDRESS --json",
        "work ADDRESS ask h1 --kind kernel --for 30m",
        "work ADDRESS ask h1 --kind kernel --for 30m --by ops --not-before 1s --not-after 2h --already-out --wait 1ms",
        "work ADDRESS list",
        "work ADDRESS list --json",
        "work ADDRESS show 1",
        "work ADDRESS show 1 --wait 1ms",
        "work ADDRESS withdraw 1 --by ops",
        "work ADDRESS done 1 --by ops",
        "work ADDRESS gone n1 --by ops",
        "work ADDRESS known --by ops",
        "audit-verify /nowhere/audit.jsonl",
        "audit-verify /nowhere/audit.jsonl --from-hash HASH",
        "replay /nowhere/ring",
        "replay /nowhere/ring --force",
        "check /nowhere/flaxhead.ini",
    ] {
        let arguments = arguments.replace("ADDRESS", NOBODY).replace("HASH", &"0".repeat(64));
        let output = flaxhead(&arguments);
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments}: {said}");
        assert!(said.starts_with("flaxhead: ") && !said.contains("Usage"), "{arguments}: {said}");
    }
}

#[test]
fn arguments_that_are_not_understood_end_with_2_and_the_usage() {
    for arguments in
        ["members", "work", "work 127.0.0.1:1", "work 127.0.0.1:1 leave", "audit-verify", "--port 1"]
    {
        let output = flaxhead(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments}");
        assert!(String::from_utf8_lossy(&output.stderr).contains("Usage: flaxhead"), "{arguments}");
    }
}

#[test]
fn help_and_version_end_with_0_and_a_start_without_a_configuration_with_1() {
    for arguments in ["--help", "--version", "work 127.0.0.1:1 ask --help"] {
        assert_eq!(flaxhead(arguments).status.code(), Some(0), "{arguments}");
    }
    let output = flaxhead("");
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ROUTER_CONFIG is not set"));
}

//! The program's start and stop.

mod common;

use common::*;
use std::io::Read;
use std::slice::from_ref;
use tokio::net::TcpStream;

/// A stop must answer all that was taken, take new connections for as long as they come, and close the rest.
#[test]
fn a_stop_answers_what_was_taken() {
    run(async {
        let host = Host::start([ok("before"), Act::Stall, ok("after")]).await;
        let mut proxy = Proxy::start(from_ref(&host)).await;
        let (mut idle, mut busy) = (proxy.client().await, proxy.client().await);
        let mut half = proxy.client().await;
        assert_eq!(idle.ask(&request("unsafe", "", "")).await.body, b"before");
        busy.send(&request("unsafe", "", "").replace("8000", "1500")).await;
        half.send("POST /api HTTP/1.1\r\nX-Call").await;
        eventually("the host has it", || host.count() == 2).await;
        drop(proxy.stop.take());
        let mut late = proxy.client().await;
        assert_eq!(late.ask(&request("unsafe", "", "")).await.body, b"after");
        assert_eq!(busy.message().await.expect("an answer").status(), 502);
        (&mut proxy.task).await.expect("it ends without a panic");
        assert!(idle.message().await.is_none(), "closed between requests");
        assert!(TcpStream::connect(proxy.address).await.is_err(), "it no longer listens");
    });
}

/// A proxy that was killed leaves connections at its address; the next one must start there at once.
#[test]
fn the_address_can_be_used_again_at_once() {
    run(async {
        let first = flaxhead_proxy::http::front::listen("127.0.0.1:0".parse().expect("an address"))
            .expect("it listens");
        let address = first.local_addr().expect("an address");
        let client = TcpStream::connect(address).await.expect("connected");
        drop(first.accept().await.expect("accepted"));
        drop(first);
        // A program that another test starts holds what was open for the moment until it runs.
        eventually("it listens again", || flaxhead_proxy::http::front::listen(address).is_ok()).await;
        drop(client);
    });
}

#[test]
fn the_program_serves_and_ends_well_on_sigterm() {
    run(async {
        let host = Host::start([ok("served"), Act::Stall]).await;
        let discovery = Discovery::quiet().await;
        let address = free_address();
        let config = configuration_at(address, discovery.address, from_ref(&host));
        let mut child = Running::start(&mut program(&config, "good.json").0);
        let mut client = connect(address).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        // Its time is longer than a stop may take: it is answered before the end (tests/stop.rs).
        let mut stuck = connect(address).await;
        stuck.send(&request("unsafe", "", "")).await;
        eventually("the host has it", || host.count() == 2).await;
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
        let mut log = String::new();
        child.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
        assert!(!log.contains("panicked"), "{log}");
        assert!(client.message().await.is_none(), "closed between requests");
    });
}

/// On SIGHUP the list is watched where the file now says, also after one that cannot be read.
#[test]
fn a_hangup_moves_the_watch_to_the_files_discovery() {
    run(async {
        let (old, new) = (Host::start([ok("old")]).await, Host::start([ok("new")]).await);
        let (first, second) = (Discovery::quiet().await, Discovery::quiet().await);
        let address = free_address();
        let config = |discovery: &Discovery| configuration_at(address, discovery.address, from_ref(&old));
        let (mut command, path) = program(&config(&first), "moving.json");
        let mut child = Running::start(&mut command);
        let mut client = connect(address).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"old");
        eventually("the first is watched", || first.asked.borrow().len() == 1).await;
        for text in ["{", &config(&second)] {
            std::fs::write(&path, text).expect("written");
            tell(&child, "-HUP");
            assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"old", "it goes on");
        }
        eventually("the second is watched", || second.asked.borrow().len() == 1).await;
        assert!(second.asked.borrow()[0].contains("since=41"), "{:?}", second.asked);
        second.push(&chunk(&list(42, true, &[entry("s-9", new.address, "Ready")]))).await;
        while client.ask(&request("unsafe", "", "")).await.body != b"new" {}
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
    });
}

#[test]
fn a_broken_configuration_ends_it_with_one_line() {
    let good = run(async { configuration(Discovery::quiet().await.address, &[], |_| ()) });
    let cases = [
        ("{", "EOF"),
        (&good.replace("127.0.0.1:0", "nowhere"), "address"),
        (&good.replace("8c1f", "seed"), "seed"),
        (&good.replace("1024", "12"), "sockets"),
        (&good.replace("\"cold_us\"", "\"cold_hs\""), "cold_us"),
    ];
    for (number, (config, reason)) in cases.iter().enumerate() {
        let output = program(config, &format!("broken-{number}.json")).0.output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{config}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(reason) && !text.contains("panicked"), "{text}");
    }
}

#[test]
fn the_program_serves_with_its_own_file() {
    run(async {
        let host = Host::start([ok("served")]).await;
        let discovery = Discovery::quiet().await;
        let address = free_address();
        let config = configuration_at(address, discovery.address, from_ref(&host));
        let own = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/flaxhead.ini");
        let mut child = Running::start(program(&config, "own.json").0.arg(own));
        let mut client = connect(address).await;
        assert_eq!(client.ask(&request("unsafe", "", "")).await.body, b"served");
        let threads = std::fs::read_dir(format!("/proc/{}/task", child.id())).expect("threads");
        assert_eq!(threads.count(), 1, "nothing runs beside what serves before there is something to dump");
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
    });
}

/// With no feature on there is nothing beside the one thread that serves, and no port but the proxy's own.
#[test]
fn without_a_file_of_ours_nothing_runs_beside_the_proxy() {
    run(async {
        let address = free_address();
        let config = configuration_at(address, Discovery::quiet().await.address, &[]);
        let empty = folder("process-off").join("empty.ini");
        std::fs::write(&empty, "; nothing is on\n").expect("written");
        for file in [None, Some(empty)] {
            let mut child = Running::start(program(&config, "off.json").0.args(file));
            assert_eq!(connect(address).await.ask(HEALTH).await.status(), 503, "it has no list");
            let process = std::path::PathBuf::from(format!("/proc/{}", child.id()));
            assert_eq!(std::fs::read_dir(process.join("task")).expect("threads").count(), 1);
            let status = std::fs::read_to_string(process.join("status")).expect("a status");
            let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).expect("signals");
            let caught = u64::from_str_radix(caught.trim(), 16).expect("a mask");
            assert_eq!(caught & 1 << (10 - 1), 0, "SIGUSR1 is left alone");
            tell(&child, "-TERM");
            assert_eq!(exit_code(&mut child).await, Some(0));
        }
    });
}

/// What is wrong with the operators' own file is said with its name and line before anything is served.
#[test]
fn a_broken_file_of_ours_ends_it_with_file_line_and_reason() {
    let good = run(async { configuration(Discovery::quiet().await.address, &[], |_| ()) });
    let cases = [
        ("; a comment\n[weather]\n", "broken.ini:2: unknown section [weather]"),
        ("loose = 1\n", "broken.ini:1: loose stands in no section"),
    ];
    for (text, reason) in cases {
        let (mut command, path) = program(&good, "broken.ini.json");
        let own = path.with_file_name("broken.ini");
        std::fs::write(&own, text).expect("written");
        let output = command.arg(&own).output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && said.contains(reason), "{said}");
    }
    let output = program(&good, "missing.json").0.arg("no-such.ini").output().expect("it runs");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && said.contains("no-such.ini: No such file"), "{said}");
}

/// A test that fails unwinds: the program that it started must go with it.
#[test]
fn a_failing_test_leaves_no_proxy_running() {
    run(async {
        let address = free_address();
        let config = configuration_at(address, Discovery::quiet().await.address, &[]);
        let running = Running::start(&mut program(&config, "dropped.json").0);
        drop(connect(address).await);
        let failing = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || {
            let _running = running;
            std::panic::panic_any("the test fails");
        }));
        assert!(failing.is_err());
        assert!(TcpStream::connect(address).await.is_err(), "nobody listens any more");
    });
}

/// With `[log] format = json` in a TOML file each line of the log is an object that names what happened.
#[test]
fn the_log_is_json_where_the_operators_ask_for_it() {
    run(async {
        let address = free_address();
        let config = configuration_at(address, Discovery::quiet().await.address, &[]);
        let own = folder("log-json").join("own.toml");
        std::fs::write(&own, "[log]\nformat = \"json\"\n").expect("written");
        let mut child = Running::start(program(&config, "log-json.json").0.arg(&own));
        drop(connect(address).await);
        tell(&child, "-HUP");
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
        let log = std::io::read_to_string(child.stderr.take().expect("piped")).expect("text");
        let lines: Vec<serde_json::Value> = log
            .lines()
            .map(|line| serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}")))
            .collect();
        let figures = |line: &serde_json::Value| {
            line["level"] == "INFO" && line["message"].as_str().is_some_and(|text| text.contains(" calls, "))
        };
        assert!(lines.iter().any(figures), "{log}");
    });
}

/// `check` says whether a start would be refused, and why, without starting.
#[test]
fn a_file_is_checked_without_a_start() {
    let own = folder("checked").join("own.toml");
    let check = |text: &str| {
        std::fs::write(&own, text).expect("written");
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_flaxhead"));
        let output = command.env_remove("ROUTER_CONFIG").arg("check").arg(&own).output().expect("it runs");
        let said = [output.stdout, output.stderr].concat();
        (output.status.code(), String::from_utf8_lossy(&said).into_owned())
    };
    let (code, said) = check("[capture]\nfiles = 4\n");
    assert!(code == Some(0) && said.ends_with("own.toml: ok\n"), "{said}");
    let (code, said) = check("[capture]\n\nfile = 4\n");
    assert!(code == Some(2) && said.contains("own.toml:3: unknown key file in [capture]"), "{said}");
}

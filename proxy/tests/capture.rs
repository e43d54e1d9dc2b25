//! Capture and replay, by the program and its command.

mod common;

use common::*;
use flaxhead_proxy::features::capture::replay;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use tokio::time::{sleep, Duration};

fn replayed(file: &Path, more: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_flaxhead"));
    let output = command.arg("replay").arg(file).args(more).output().expect("it runs");
    let said = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&said).into_owned())
}

/// A proxy with `[capture]`, before hosts that serve, refuse, fail, reset and say nothing.
struct Captured {
    child: Running,
    client: Client,
    hosts: Vec<Host>,
    discovery: Discovery,
    own: PathBuf,
}

impl Captured {
    async fn start(name: &str, section: &str) -> Captured {
        let bad = [
            turn_away(),
            Act::Say("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n".to_owned()),
            Act::SayAndClose(String::new()),
            Act::SayAndVanish("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".to_owned()),
            Act::Stall,
        ];
        // Seldom enough for the host to be sent more.
        let mixed = bad.iter().flat_map(|act| [vec![ok("fine"); 4], vec![act.clone()]].concat());
        let hosts = [
            Host::start(mixed.cycle().take(10_000).collect::<Vec<_>>()).await,
            Host::start([ok("good")]).await,
        ];
        let (hosts, discovery, address) = (hosts.to_vec(), Discovery::quiet().await, free_address());
        let config = configuration(discovery.address, &hosts, |config| {
            config["listen"] = address.to_string().into();
            // A call that stalls gets a second copy, where its class allows one.
            let settings = &mut config["settings"];
            settings["limits"]["second_copies"] = true.into();
            for class in settings["classes"].as_array_mut().expect("classes") {
                class["objective_us"] = 50_000.into();
            }
        });
        let own = folder(name);
        fs::write(own.join("own.ini"), format!("[capture]\n{section}\n")).expect("written");
        let (mut command, _) = program(&config, &format!("{name}.json"));
        let child = Running::start(command.arg(own.join("own.ini")).current_dir(&own));
        let client = connect(address).await;
        Captured { child, client, hosts, discovery, own }
    }

    async fn load(&mut self, requests: usize) {
        for number in 0..requests {
            let class = ["free", "unsafe", "keyed"][number % 3];
            let key = if class == "keyed" { "Idempotency-Key: k\r\n" } else { "" };
            let text = request(class, key, "").replace("8000", "60");
            self.client.ask(&text).await;
        }
    }

    /// The files in the folder, once there is one with at least this number.
    async fn files(&self, least: u64) -> Vec<PathBuf> {
        loop {
            let entries = fs::read_dir(self.own.join("ring")).into_iter().flatten().flatten();
            let whole =
                entries.map(|entry| entry.path()).filter(|path| path.extension().is_some_and(|e| e == "cap"));
            let mut files: Vec<PathBuf> = whole.collect();
            files.sort();
            if files.iter().any(|path| number(path) >= least) {
                return files;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    async fn end(mut self) -> String {
        tell(&self.child, "-TERM");
        assert_eq!(exit_code(&mut self.child).await, Some(0));
        std::io::read_to_string(self.child.stderr.take().expect("piped")).expect("text")
    }
}

fn number(path: &Path) -> u64 {
    let name = path.file_stem().and_then(|name| name.to_str()).expect("a name");
    name.rsplit('-').next().and_then(|number| number.parse().ok()).expect("a number")
}

fn no_difference(file: &Path) {
    let (code, said) = replayed(file, &[]);
    assert!(code == Some(0) && said.ends_with(" 0 differences\n"), "{}: {said}", file.display());
    assert!(!said.contains("warning") && !said.contains(" 0 events"), "{}: {said}", file.display());
}

#[test]
fn a_run_with_refusals_retries_and_resets_is_replayed_without_a_difference() {
    run(async {
        let mut captured = Captured::start("capture-ring", "files = 3\nfile_kb = 16\ndir = ring").await;
        captured.load(20).await;
        // Before the ring has wrapped; a second signal during a dump harms nothing.
        tell(&captured.child, "-USR1");
        tell(&captured.child, "-USR1");
        let first = captured.files(0).await;
        no_difference(&first[0]);
        let seed = 0x8c1f_30d2_7a5b_e964_u64.to_be_bytes();
        assert_eq!(fs::read(&first[0]).expect("read")[..8], seed);
        // A host leaves and the ring wraps, again and again.
        let gone = entry("s-0", captured.hosts[0].address, "Terminating");
        let back = entry("s-0", captured.hosts[0].address, "Ready");
        for round in 0..4 {
            captured.discovery.push(&chunk(&list(50 + 2 * round, false, std::slice::from_ref(&gone)))).await;
            captured.load(40).await;
            captured.discovery.push(&chunk(&list(51 + 2 * round, false, std::slice::from_ref(&back)))).await;
            captured.load(120).await;
        }
        // All that the first host does.
        while captured.hosts[0].count() < 30 {
            captured.load(10).await;
        }
        tell(&captured.child, "-USR1");
        let files = captured.files(3).await;
        let wrapped: Vec<_> = files.iter().filter(|path| number(path) >= 3).collect();
        assert!(!wrapped.is_empty(), "{files:?}");
        for file in &files {
            assert!(fs::metadata(file).expect("it is there").len() <= 16 << 10 | 3);
            no_difference(file);
        }
        let log = captured.end().await;
        let counts = log.lines().rfind(|line| line.contains("outcomes:")).expect("figures");
        for outcome in ["Served", "Error", "Rejected", "Reset"] {
            assert!(counts.contains(outcome), "{counts}");
        }
        assert!(counts.contains("TimedOut") || counts.contains("Cancelled"), "{counts}");
    });
}

/// What stands on standard error is replayed as it was saved, between other lines; a file of it that is cut off,
/// or not base64, ends with a warning.
#[test]
fn a_dump_on_standard_error_is_replayed_as_it_was_saved() {
    run(async {
        let mut captured = Captured::start("capture-stderr", "files = 2\nfile_kb = 16").await;
        captured.load(100).await;
        tell(&captured.child, "-USR1");
        captured.load(5).await;
        let log = {
            let folder = captured.own.clone();
            let log = captured.end().await;
            fs::write(folder.join("log"), format!("another line\n{log}CAPtious\n")).expect("written");
            no_difference(&folder.join("log"));
            let lines = log.lines().filter(|line| line.starts_with("CAP ")).collect::<Vec<_>>();
            fs::write(folder.join("lines"), lines.join("\n")).expect("written");
            no_difference(&folder.join("lines"));
            let asked = replay::requests(&folder.join("log")).expect("requests");
            let classes: Vec<&str> = asked.iter().map(|asked| asked.class.as_str()).collect();
            let last = ["free", "unsafe", "keyed"];
            assert!(
                classes.len() >= 40 && classes.windows(3).filter(|w| w == &last).count() >= 10,
                "{classes:?}"
            );
            assert!(asked.iter().all(|a| a.budget_ms == 60) && asked.is_sorted_by_key(|a| a.at), "{asked:?}");
            let cut = format!("{}\n", lines[..lines.len() / 2].join("\n"));
            fs::write(folder.join("cut"), cut).expect("written");
            let (code, said) = replayed(&folder.join("cut"), &[]);
            assert!(code == Some(0) && said.contains("warning") && said.contains("cut off"), "{said}");
            let bad = log.replacen("CAP ", "CAP !", 3);
            fs::write(folder.join("bad"), bad).expect("written");
            let (_, said) = replayed(&folder.join("bad"), &[]);
            assert!(said.contains("warning: line "), "{said}");
            log
        };
        assert!(log.lines().all(|line| line.len() < 1_000));
    });
}

/// A pipe that nobody reads holds a dump up for good, and no request.
#[test]
fn a_dump_that_nobody_reads_delays_no_request() {
    run(async {
        let mut captured = Captured::start("capture-stuck", "").await;
        captured.load(400).await;
        tell(&captured.child, "-USR1");
        // Far more than a pipe holds.
        for _ in 0..4 {
            captured.load(100).await;
            tell(&captured.child, "-USR1");
        }
        let mut child = captured.child;
        tell(&child, "-TERM");
        assert_eq!(exit_code(&mut child).await, Some(0));
    });
}

/// With the feature off the signal does what it always did.
#[test]
fn without_capture_the_signal_is_left_alone() {
    run(async {
        let address = free_address();
        let config = configuration_at(address, Discovery::quiet().await.address, &[]);
        let mut child = Running::start(&mut program(&config, "capture-off.json").0);
        drop(connect(address).await);
        tell(&child, "-USR1");
        assert_eq!(exit_code(&mut child).await, None, "ended by the signal");
    });
}

#[test]
fn what_is_no_capture_is_refused_in_a_line() {
    let folder = folder("capture-hostile");
    for (name, bytes) in [
        ("empty", &b""[..]),
        ("text", b"no such thing\n"),
        ("short", b"CAP AAAA\n"),
        ("zeros", &[0; 4_096]),
        ("ones", &[255; 4_096]),
    ] {
        fs::write(folder.join(name), bytes).expect("written");
        let (code, said) = replayed(&folder.join(name), &[]);
        assert!(code == Some(2) || said.contains("warning"), "{name}: {code:?} {said}");
        assert!(!said.contains("panicked") && said.lines().count() <= 2, "{name}: {said}");
    }
    assert_eq!(replayed(&folder.join("missing"), &[]).0, Some(2));
}

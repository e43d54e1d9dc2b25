//! The program with `[state]`, killed and started again, with its file as it was and otherwise.

mod common;

use common::*;
use flaxhead_snapshot::{format, Snapshot};
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::slice::from_ref;

/// An operators' file that keeps state in a folder, and that folder, empty.
fn own_file(name: &str) -> (PathBuf, PathBuf) {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    // What a play before this one left, if it did: a folder, or a file in its place.
    let _ = fs::remove_dir_all(&dir).or_else(|_| fs::remove_file(&dir));
    let file = dir.with_extension("ini");
    fs::write(&file, format!("[state]\ndir = {}\n", dir.display())).expect("written");
    (file, dir)
}

fn start(config: &str, file: &Path) -> Running {
    let name = file.with_extension("json");
    let (mut command, _) = program(config, &name.file_name().expect("a name").to_string_lossy());
    Running::start(command.arg(file))
}

/// Kills it, and returns what it said.
fn killed(mut child: Running) -> String {
    child.kill().expect("killed");
    child.wait().expect("ended");
    let mut log = String::new();
    child.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
    log
}

/// Who answers a call of a proxy that has just started.
async fn answers(address: SocketAddr) -> Vec<u8> {
    connect(address).await.ask(&request("unsafe", "", "")).await.body
}

fn kept(file: &Path) -> Option<Snapshot> {
    format::decode(&fs::read(file).ok()?).ok().filter(|snapshot| !snapshot.parts.is_empty())
}

/// Changes what is kept, whole as it is written.
fn change(file: &Path, change: impl FnOnce(&mut Snapshot)) {
    let mut snapshot = kept(file).expect("kept");
    change(&mut snapshot);
    fs::write(file, format::encode(snapshot).expect("it fits")).expect("written");
}

/// A proxy that was killed after discovery had told it of another host, at which address and with which file.
async fn after_a_kill(name: &str) -> (SocketAddr, String, PathBuf, PathBuf, Discovery) {
    let (old, new) = (Host::start([ok("configured")]).await, Host::start([ok("kept")]).await);
    let told = format!("{WATCH}{}", chunk(&list(50, true, &[entry("s-9", new.address, "Ready")])));
    let discovery = Discovery::start([told]).await;
    let address = free_address();
    let config = configuration_at(address, discovery.address, from_ref(&old));
    let (file, dir) = own_file(name);
    let child = start(&config, &file);
    eventually("the list is kept", || kept(&dir.join("n0.state")).is_some()).await;
    assert_eq!(answers(address).await, b"kept");
    killed(child);
    (address, config, file, dir, discovery)
}

#[test]
fn a_proxy_that_was_killed_starts_with_the_list_that_it_had() {
    run(async {
        let (address, config, file, dir, discovery) = after_a_kill("state-kept").await;
        // Killed again and again, also before it has anything to say: what it found is not lost.
        for _ in 0..5 {
            let child = start(&config, &file);
            let watches = discovery.asked.borrow().len();
            assert_eq!(answers(address).await, b"kept");
            eventually("it watches from that list on", || discovery.asked.borrow().len() > watches).await;
            assert!(discovery.asked.borrow().last().expect("one").contains("since=50"));
            let log = killed(child);
            assert!(log.contains("starts with list 50, 1 hosts"), "{log}");
            assert!(kept(&dir.join("n0.state")).is_some(), "whole");
        }
        // A configuration that knows a later one is followed.
        let child = start(&config.replace("\"seq\":41", "\"seq\":51"), &file);
        assert_eq!(answers(address).await, b"configured");
        assert!(killed(child).contains("which is no older"));
        // Nor did it become news by being kept: it ages from when discovery told it, and goes.
        fs::write(&file, format!("[state]\ndir = {}\nold_s = 2\n", dir.display())).expect("written");
        let child = start(&config, &file);
        eventually("it is too old", || kept(&dir.join("n0.state")).is_none()).await;
        killed(child);
    });
}

#[test]
fn what_is_not_fresh_whole_and_its_own_counts_as_forgotten_and_is_said() {
    run(async {
        let (address, config, file, dir, _discovery) = after_a_kill("state-unfit").await;
        let path = dir.join("n0.state");
        let good = fs::read(&path).expect("kept");
        type Damage = Box<dyn Fn(&Path)>;
        let changed = |with: fn(&mut Snapshot)| -> Damage { Box::new(move |file| change(file, with)) };
        let bytes = |bytes: &[u8]| -> Damage {
            let bytes = bytes.to_vec();
            Box::new(move |file| fs::write(file, &bytes).expect("written"))
        };
        let mut flipped = good.clone();
        *flipped.last_mut().expect("bytes") ^= 1;
        let unreadable: Damage = Box::new(|file| {
            fs::remove_file(file).expect("removed");
            fs::create_dir(file).expect("made");
        });
        // As a disk that does not answer.
        let hangs: Damage = Box::new(|file| {
            fs::remove_file(file).expect("removed");
            assert!(Command::new("mkfifo").arg(file).status().expect("run").success());
        });
        let barred: Damage = Box::new(|file| {
            let dir = file.parent().expect("a folder");
            fs::remove_dir_all(dir).expect("removed");
            fs::write(dir, b"no folder").expect("written");
        });
        let cases = [
            (bytes(&good[..good.len() / 2]), "torn"),
            (bytes(&flipped), "bytes that were not written so"),
            (bytes(b"something else"), "no snapshot"),
            (changed(|of| of.header.proxy = "n1".into()), "is of proxy \"n1\""),
            (changed(|of| of.header.cluster = "c".into()), "is of cluster \"c\""),
            (changed(|of| of.header.written.wall_ms -= 7 * 24 * 3_600_000), "somebody put an old file back"),
            (changed(|of| of.header.written.wall_ms += 3_600_000), "a clock went back"),
            (changed(|of| of.parts[0].age_ms = 61_000), "old_s allows 60000"),
            (changed(|of| of.parts[0].version = 9), "in form 9"),
            (changed(|of| of.parts[0].bytes.truncate(3)), "cannot be read, though it is as it was written"),
            (changed(|of| of.parts[0].bytes[1] ^= 4), "it is of discovery at"),
            (unreadable, "cannot be read ("),
            (hangs, "the disk does not answer"),
            (barred, "no such folder and it cannot be made"),
        ];
        for (damage, reason) in cases {
            // The last may have left a folder for the file.
            fs::remove_dir_all(&dir).expect("removed");
            fs::create_dir(&dir).expect("made");
            fs::write(&path, &good).expect("written");
            damage(&path);
            let child = start(&config, &file);
            assert_eq!(answers(address).await, b"configured", "{reason}");
            let log = killed(child);
            assert!(log.contains(reason), "{reason}: {log}");
        }
    });
}

#[test]
fn two_processes_do_not_share_a_folder_and_the_second_takes_it_over() {
    run(async {
        let (address, config, file, dir, discovery) = after_a_kill("state-shared").await;
        let path = dir.join("n0.state");
        let first = start(&config, &file);
        assert_eq!(answers(address).await, b"kept");
        let elsewhere = free_address();
        let other = dir.with_file_name("state-shared-too.ini");
        fs::write(&other, format!("[state]\ndir = {}\nold_s = 2\n", dir.display())).expect("written");
        let host = Host::start([ok("its own")]).await;
        let second = start(&configuration_at(elsewhere, discovery.address, from_ref(&host)), &other);
        assert_eq!(answers(elsewhere).await, b"its own");
        let life = kept(&path).expect("kept").header.incarnation;
        killed(first);
        eventually("the second writes", || {
            fs::read(&path)
                .is_ok_and(|bytes| format::decode(&bytes).is_ok_and(|of| of.header.incarnation != life))
        })
        .await;
        assert!(killed(second).contains("another process keeps its state there"));
    });
}

#[test]
fn off_there_is_neither_a_thread_nor_a_file() {
    run(async {
        let (address, config, file, dir, _discovery) = after_a_kill("state-off").await;
        let threads = |child: &Running| {
            let tasks = fs::read_dir(format!("/proc/{}/task", child.id())).expect("tasks");
            let names = tasks.flatten().map(|task| fs::read_to_string(task.path().join("comm")));
            names.filter(|name| name.as_ref().is_ok_and(|name| name.trim() == "state")).count()
        };
        let on = start(&config, &file);
        assert_eq!((answers(address).await, threads(&on)), (b"kept".to_vec(), 1));
        killed(on);
        fs::remove_dir_all(&dir).expect("removed");
        fs::write(&file, "").expect("written");
        let off = start(&config, &file);
        assert_eq!((answers(address).await, threads(&off)), (b"configured".to_vec(), 0));
        assert!(!killed(off).contains("state:"));
        assert!(!dir.exists());
    });
}

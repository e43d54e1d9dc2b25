//! Real proxies that settle turns and keep state on disk: all killed in one instant and started again, with their files,
//! some of them, none, and old ones. Nobody serves alone here within the test, so whoever serves was let in.

mod orders;

use flaxhead_lab::peers::rig::Rig;
use flaxhead_lab::proxy::Program;
use flaxhead_lease::PersistentState;
use flaxhead_maintenance::Maintenance;
use flaxhead_snapshot::{disk, format, Snapshot};
use orders::{work, PROGRAM};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);
const FORGOTTEN: &str = "not know what is out";

/// Gives an order until what it says holds.
fn until(at: SocketAddr, arguments: &str, holds: impl Fn(i32, &str) -> bool) -> String {
    let start = Instant::now();
    loop {
        let (code, text) = work(at, arguments);
        if holds(code, &text) {
            return text;
        }
        assert!(start.elapsed() < PATIENCE, "{arguments}: {code}, {text}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Three proxies, one host of theirs out by turn 1. From their next start on they serve alone after `alone_s`.
fn one_out(folder: &Path, alone_s: u32) -> (Rig, Vec<PathBuf>) {
    let dir = folder.join("state");
    let section = format!(
        "[state]\ndir = {dir:?}\n\
         [work]\nvoters = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 1000\nalone_s = 2\nback_s = 1\n"
    );
    let rig = Rig::start_with(3, Program::own(PROGRAM.into()), folder, 21, &section).expect("they start");
    let side = rig.relay.side(0);
    until(side, "known", |code, _| code == 0);
    until(side, "ask s-0 --kind kernel --for 30m", |code, _| code == 0);
    until(side, "show 1 --wait 20s", |_, text| text.contains("turn 1 s-0 free"));
    for place in 0..3 {
        let file = folder.join(format!("n{place}.toml"));
        let text = std::fs::read_to_string(&file).expect("an operators' file");
        std::fs::write(&file, text.replace("alone_s = 2", &format!("alone_s = {alone_s}"))).expect("written");
    }
    (rig, (0..3).map(|place| disk::file(&dir, &format!("n{place}"))).collect())
}

/// Whether a voter has on its disk that it is sure of what it has there.
fn sure(file: &Path) -> bool {
    let bytes = std::fs::read(file).unwrap_or_default();
    let parts = format::decode(&bytes).map(|snapshot| snapshot.parts).unwrap_or_default();
    let turns = parts.iter().find(|part| part.name == "turns");
    let memory =
        turns.and_then(|part| postcard::from_bytes::<PersistentState<Maintenance>>(&part.bytes).ok());
    memory.is_some_and(|memory| memory.is_recovered && !memory.state.state.drains.is_empty())
}

/// Once all are sure, all are killed, what is on the disks is changed, and all start again without waiting for each
/// other.
fn all_again(rig: &mut Rig, files: &[PathBuf], change: impl FnOnce()) {
    let start = Instant::now();
    while !files.iter().all(|file| sure(file)) {
        assert!(start.elapsed() < PATIENCE, "one is not sure");
        std::thread::sleep(Duration::from_millis(20));
    }
    (0..3).for_each(|place| rig.kill(place));
    change();
    if let Err(error) = rig.restart_all() {
        let logs: String = (0..3).map(|place| rig.log(place)).collect();
        let lists: Vec<_> = (0..3).map(|place| work(rig.relay.side(place), "list").1).collect();
        panic!("they are let in: {error} {lists:#?} {logs}");
    }
}

fn logged(rig: &Rig, place: usize, what: &str) -> bool {
    rig.log(place).lines().any(|line| line.contains(what))
}

fn change(file: &Path, change: impl FnOnce(&mut Snapshot)) {
    let mut snapshot = format::decode(&std::fs::read(file).expect("kept")).expect("whole");
    change(&mut snapshot);
    std::fs::write(file, format::encode(snapshot).expect("it fits")).expect("written");
}

#[test]
fn all_killed_at_once_know_what_is_out_from_their_disks_and_settle_on_without_an_operator() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut rig, files) = one_out(folder.path(), 3_600);
    // One of three has lost its state, then one has another's and one last week's: those that remember are asked.
    let lose = || std::fs::remove_file(&files[1]).expect("removed");
    let old = || change(&files[2], |of| of.header.written.wall_ms -= 7 * 24 * 3_600_000);
    let foreign = || assert!(std::fs::copy(&files[0], &files[1]).is_ok());
    let keep = || ();
    // What is done to the files, and what then the log of a place says.
    type Again<'a> = (&'a dyn Fn(), &'a [(usize, &'a str)]);
    let changes: [Again; 4] = [
        (&keep, &[(0, "the turns are remembered"), (1, "the turns are remembered")]),
        (&lose, &[(1, "nothing is kept there yet")]),
        (&foreign, &[(1, "is of proxy \"n0\"")]),
        (&old, &[(2, "somebody put an old file back")]),
    ];
    for (change, said) in changes {
        all_again(&mut rig, &files, change);
        for (place, what) in said {
            assert!(logged(&rig, *place, what), "{what}: {}", rig.log(*place));
        }
        let side = rig.relay.side(1);
        // The limits have one host out at a time, so a second turn waits for the first, which nobody told again.
        let text = until(side, "list", |_, text| text.contains("turn 1 s-0 free"));
        assert!(!text.contains(FORGOTTEN), "{text}");
        until(side, "list", |_, text| text.contains("admitted"));
        assert!((0..3).all(|place| !logged(&rig, place, FORGOTTEN)));
    }
    until(rig.relay.side(0), "done 1", |code, _| code == 0);
    until(rig.relay.side(2), "show 1 --wait 1s", |_, text| text.contains("done"));
}

#[test]
fn where_most_have_lost_their_state_nothing_is_settled_before_operators_say_what_is_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut rig, files) = one_out(folder.path(), 3);
    all_again(&mut rig, &files, || {
        std::fs::remove_file(&files[0]).expect("removed");
        let bytes = std::fs::read(&files[1]).expect("kept");
        std::fs::write(&files[1], &bytes[..bytes.len() / 2]).expect("written");
    });
    assert!(logged(&rig, 1, "torn"));
    // Whoever holds says so, though the one that remembers has told all of the turn that it knows.
    let start = Instant::now();
    while !(0..3).any(|place| work(rig.relay.side(place), "list").1.contains(FORGOTTEN)) {
        assert!(start.elapsed() < PATIENCE, "nobody says that it is forgotten");
        std::thread::sleep(Duration::from_millis(100));
    }
    let side = rig.relay.side(0);
    until(side, "list", |_, text| text.contains("turn 1 s-0"));
    until(side, "known", |code, _| code == 0);
    until(side, "show 1 --wait 20s", |_, text| text.contains("turn 1 s-0 free"));
    assert!((0..3).all(|place| !work(rig.relay.side(place), "list").1.contains(FORGOTTEN)));
}

//! Eight real proxies that share connection capacity and keep state on disk: all killed in one instant and started again,
//! with their files, some of them, none, and old ones. Caps are whole again as soon as nothing can be out any more, and
//! no later than without a disk.

mod common;

use common::{class, fault, play};
use flaxhead_lab::experiment::Experiment;
use flaxhead_lab::peers::rig::Rig;
use flaxhead_lab::proxy::Program;
use flaxhead_lease::PersistentState;
use flaxhead_quota::QuotaApplication;
use flaxhead_snapshot::{disk, format, Snapshot};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_flaxhead-lab");
const PATIENCE: Duration = Duration::from_secs(90);
const ALL: usize = 8;
const CAP: u64 = 32;

/// What a proxy shows of its tenants; `None`: it does not answer.
fn shares(side: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(side).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET /shares.json HTTP/1.1\r\nHost: {side}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}

/// What the holder shows of the whole fleet.
fn fleet(rig: &Rig) -> Option<Value> {
    let of = |place: usize| shares(rig.relay.side(place))?.get_mut("fleet").map(Value::take);
    (0..3).find_map(|place| of(place).filter(|fleet| !fleet.is_null()))
}

/// Whether a holder has heard all and given all of the cap away. It never gives more.
fn whole(rig: &Rig) -> bool {
    let Some(fleet) = fleet(rig) else { return false };
    let tenant = fleet["tenants"].as_array().and_then(|all| all.iter().find(|of| of["name"] == "others"));
    let granted = tenant.and_then(|tenant| tenant["granted"].as_u64());
    assert!(granted.is_some_and(|granted| granted <= CAP), "{fleet}");
    granted == Some(CAP) && fleet["why"].as_array().is_some_and(Vec::is_empty)
}

fn section(dir: &Path) -> String {
    format!(
        "[state]\ndir = {dir:?}\nold_s = 12\n\
         [shares]\nvoters = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 1000\nalone_s = 15\n\
         proxies_most = {ALL}\ncaps = [\"others {CAP}\"]\n"
    )
}

/// All have what there is, and their disks have who they are.
fn started(folder: &Path) -> (Rig, Vec<PathBuf>) {
    let dir = folder.join("state");
    let program = Program::own(PROGRAM.into());
    let rig = Rig::start_with(ALL, program, folder, 31, &section(&dir)).expect("they start");
    rig.until("all of the cap is given", PATIENCE, whole).expect("caps are whole");
    (rig, (0..ALL).map(|place| disk::file(&dir, &format!("n{place}"))).collect())
}

/// All are killed, what is on the disks is changed, and all start again; how long it takes until caps are whole. What is
/// in the way of one's file is out of it by then.
fn again(rig: &mut Rig, change: impl FnOnce(), clear: impl FnOnce()) -> Duration {
    (0..ALL).for_each(|place| rig.kill(place));
    change();
    let start = Instant::now();
    rig.restart_all().expect("they serve");
    clear();
    rig.until("all of the cap is given", PATIENCE, whole).expect("caps are whole again");
    start.elapsed()
}

fn logged(rig: &Rig, place: usize, what: &str) -> bool {
    rig.log(place).lines().any(|line| line.contains(what))
}

fn change(file: &Path, change: impl FnOnce(&mut Snapshot)) {
    let mut snapshot = format::decode(&std::fs::read(file).expect("kept")).expect("whole");
    change(&mut snapshot);
    std::fs::write(file, format::encode(snapshot).expect("it fits")).expect("written");
}

/// Whether a voter has on its disk that it is sure of who takes part.
fn sure(file: &Path) -> bool {
    let parts = format::decode(&std::fs::read(file).unwrap_or_default()).map(|snapshot| snapshot.parts);
    let parts = parts.unwrap_or_default();
    let shares = parts.iter().find(|part| part.name == "shares");
    let memory =
        shares.and_then(|part| postcard::from_bytes::<PersistentState<QuotaApplication>>(&part.bytes).ok());
    memory.is_some_and(|memory| memory.is_recovered && memory.roster.processes.len() >= ALL)
}

/// A holder that knows nobody learns for a lease and the longest call; one whose voters' disks say who took part needs
/// none of it once all have come back. Both are measured on one machine, one after the other.
#[test]
fn caps_are_whole_sooner_with_the_disks_and_files_that_are_no_good_are_forgotten_each_with_its_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut rig, files) = started(folder.path());
    rig.until("the voters are sure", PATIENCE, |_| files[..3].iter().all(|file| sure(file))).expect("sure");
    let kept = again(&mut rig, || (), || ());
    assert!((0..ALL).all(|place| logged(&rig, place, "the shares are remembered")));
    let spoil = || {
        std::fs::remove_file(&files[0]).expect("removed");
        let bytes = std::fs::read(&files[1]).expect("kept");
        std::fs::write(&files[1], &bytes[..bytes.len() / 2]).expect("written");
        std::fs::copy(&files[3], &files[2]).expect("copied");
        change(&files[4], |of| of.header.written.wall_ms -= 7 * 24 * 3_600_000);
        std::fs::remove_file(&files[5]).and_then(|()| std::fs::create_dir(&files[5])).expect("a folder");
        std::fs::write(&files[6], "by hand").expect("written");
    };
    // One that cannot write confirms nothing.
    let without = again(&mut rig, spoil, || std::fs::remove_dir(&files[5]).expect("removed"));
    println!("with their disks {kept:?}, without most of them {without:?}");
    let said = [
        (0, "nothing is kept there yet"),
        (1, "torn"),
        (2, "is of proxy \"n3\""),
        (3, "the shares are remembered"),
        (4, "somebody put an old file back"),
        (5, "cannot be read"),
        (6, "is no snapshot of flaxhead"),
    ];
    for (place, what) in said {
        assert!(logged(&rig, place, what), "{what}: {}", rig.log(place));
    }
    // None of the voters' is left, so who took part is not known.
    assert!(kept < without, "{kept:?} {without:?}");
}

/// By the nodes' ledgers: three find what they kept, four nothing, one what it had seconds before any of it.
#[test]
fn no_cap_is_passed_where_half_of_the_disks_are_lost_and_one_is_of_another_time() {
    let class = |name: &str, repeat: &str| class(name, repeat).replace("work_ms = 4\n", "work_ms = 100\n");
    let kill = |places: &str, state: &str| {
        let more = format!("proxies = {places}\nstate = \"{state}\"");
        fault(&format!("at = 6\nfor = 0.5\nspread_s = 1\nkind = \"kill\"\n{more}"))
    };
    let load = |tenant: &str, rate: f64| {
        format!("[[load]]\nshape = \"steady\"\nrate = {rate}\ntenant = \"{tenant}\"\n")
    };
    let text = format!(
        "name = \"back\"\nseconds = 16\nseed = 7\n\
         clients = {{ retries = 1, patience = 1.0, late_ms = 400.0, connections = 768 }}\n\
         fleet = {{ nodes = [{{ count = 9, cores = 4, slots = 64, queue = 64, crowd = 64 }}] }}\n\
         proxies = {{ count = 8, drain_grace_ms = 4000 }}\n\
         [peers]\nagree_within_s = 60\nmay_be_removed = [0, 1, 2, 3, 4, 5, 6, 7]\n\
         [shares]\nstarved_s = 6\ncaps = [\"a 16\", \"b 24\"]\n[state]\nold_at_s = 0.5\n\
         [[tenant]]\nname = \"a\"\nshare = 1\n[[tenant]]\nname = \"b\"\nshare = 1\n{}{}{}{}{}{}{}{}",
        class("balance", "free"),
        class("send", "never"),
        load("a", 120.0),
        load("b", 40.0),
        kill("[0, 3, 5]", "keep"),
        kill("[1, 4, 6, 7]", "lose"),
        kill("[2]", "old"),
        fault(
            "at = 6\nfor = 3\nkind = \"link-loss\"\nproxies = [0]\nto = [1, 2, 7]\nboth = true\nshare = 0.3"
        ),
    );
    let experiment =
        Experiment::parse(&text, "back.toml").unwrap_or_else(|problem| panic!("{problem}\n{text}"));
    let done = play(&experiment);
    let tenants = &done.figures.shares.as_ref().expect("shares").tenants;
    let of: Vec<_> = tenants.iter().map(|t| (&t.name, t.cap, t.most, t.asked, t.got)).collect();
    println!("{of:?} {:?}", done.figures.back);
    assert_eq!(done.figures.verdict.unheld, Vec::<String>::new(), "{of:?}");
    assert!(done.figures.verdict.breaches.is_empty(), "{:#?}", done.figures.verdict.breaches);
    assert!(tenants.iter().all(|t| t.asked == 0 || t.got > 0), "{of:?}");
    assert!(tenants[0].most > 8, "the cap was asked for: {of:?}");
}

//! Figures of the membership in virtual time, with its health rules and as plain SWIM, in one run.
//!
//! `cargo bench -p flaxhead-lab --bench members`

use flaxhead_lab::peers::virtual_net::{Fault, Net, SECOND};
use flaxhead_membership::{Config, Kind, Machine, MemberRecord, Micros, Name, Packet, Stamp, State, Update};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::net::SocketAddr;
use std::time::Instant;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const MEMBERS: usize = 10;
const HOUR: Micros = 3_600 * SECOND;

fn config(plain: bool) -> Config {
    Config { is_plain_swim: plain, ..Config::default() }
}

/// An hour under a trouble: removals of processes that run, each at each member, for each member and hour.
fn removals(plain: bool, trouble: impl Fn(&mut Net)) -> f64 {
    let mut net = Net::whole(MEMBERS, config(plain), 1);
    net.run(5 * SECOND);
    while net.now() < HOUR {
        trouble(&mut net);
    }
    net.mistakes() as f64 / MEMBERS as f64 / (net.now() as f64 / HOUR as f64)
}

fn pause(span: Micros) -> impl Fn(&mut Net) {
    move |net| {
        let round = (net.now() / SECOND) as usize;
        (0..MEMBERS / 3).for_each(|n| net.freeze((round + n) % MEMBERS, span));
        net.run(span + 10 * SECOND);
    }
}

fn loss(share: f64) -> impl Fn(&mut Net) {
    move |net| {
        net.everywhere = Fault { loss: share, ..Fault::default() };
        net.run(60 * SECOND);
    }
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted.get(((sorted.len() as f64 - 1.0) * share).round() as usize).copied().unwrap_or(f64::NAN)
}

/// Bytes that one process keeps for each member that it knows.
fn memory(members: u32) -> f64 {
    let at = |place: u32| {
        let [_, b, c, d] = place.to_be_bytes();
        SocketAddr::from(([10, b, c, d], 7_000))
    };
    let card = |place: u32| {
        let name = Name::new(&format!("n{place}")).expect("a name");
        MemberRecord {
            name,
            address: at(place),
            stamp: Stamp::first(place.into()),
            uptime_ms: 0,
            cut_off: None,
        }
    };
    let others = (2..members + 2).map(|place| Update { record: card(place), state: State::Alive, by: None });
    let packet = Packet { from: card(1), digest: 0, kind: Kind::Gossip, updates: others.collect() };
    let mut machine = Machine::new(card(0).name, at(0), Vec::new(), config(false), 1, 0);
    let region = Region::new(ALLOCATOR);
    machine.receive_full_state(0, at(1), &packet, &mut Vec::new());
    let change = region.change();
    // What the copy of the packet took is freed by now.
    (change.bytes_allocated as f64 - change.bytes_deallocated as f64) / f64::from(members)
}

fn main() {
    for members in [10, 100, 1_000, 3_000] {
        println!("memory for each of {members} members: {:.0} bytes", memory(members));
    }
    let cut = Fault { loss: 1.0, ..Fault::default() };
    println!("removals of members that run, for each member and hour (10 members, an hour each)");
    println!("{:44} {:>10} {:>10}", "", "with", "plain");
    let row = |what: &str, with: f64, plain: f64| println!("{what:44} {with:>10.2} {plain:>10.2}");
    for (what, span) in
        [("a third stopped for 0.5 s", SECOND / 2), ("for 2 s", 2 * SECOND), ("for 5 s", 5 * SECOND)]
    {
        row(what, removals(false, pause(span)), removals(true, pause(span)));
    }
    for share in [0.05, 0.15, 0.3] {
        let what = format!("{:.0}% of all datagrams lost", share * 100.0);
        row(&what, removals(false, loss(share)), removals(true, loss(share)));
    }
    let deaf = |net: &mut Net| {
        (1..MEMBERS).for_each(|other| net.link(other, 0, cut));
        net.run(60 * SECOND);
    };
    row("one member hears nobody", removals(false, deaf), removals(true, deaf));
    let link = |net: &mut Net| {
        net.link(2, 4, cut);
        net.run(60 * SECOND);
    };
    row("one direction of one link cut", removals(false, link), removals(true, link));
    let groups = |net: &mut Net| {
        net.split(&[0, 1, 2, 3], &[5, 6, 7, 8, 9], true);
        net.run(60 * SECOND);
    };
    row("two groups that one member joins", removals(false, groups), removals(true, groups));

    println!("\ncrash to known by all, in seconds; a process that ends, and a machine that vanishes");
    println!("{:>8} {:>6} {:>9} {:>9} {:>9} {:>9}", "members", "plays", "p50", "p99", "gone p50", "gone p99");
    for (members, plays) in [(10, 60), (100, 40), (1_000, 12)] {
        let mut times = [Vec::new(), Vec::new()];
        for (vanishes, times) in [false, true].into_iter().zip(&mut times) {
            let mut net = Net::whole(members, config(false), 3);
            net.run(10 * SECOND);
            for play in 0..plays.min(members - 3) {
                if vanishes {
                    net.vanish(play);
                } else {
                    net.crash(play);
                }
                let took = net.until(60 * SECOND, |net| net.known_gone(play));
                times.push(took.map_or(f64::INFINITY, |t| t as f64 / SECOND as f64));
                net.start(play);
                net.run(5 * SECOND);
            }
            times.sort_by(f64::total_cmp);
        }
        let [crash, gone] = &times;
        let q = |of: &Vec<f64>, share| quantile(of, share);
        println!(
            "{members:>8} {:>6} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
            crash.len(),
            q(crash, 0.5),
            q(crash, 0.99),
            q(gone, 0.5),
            q(gone, 0.99)
        );
    }

    println!("\nfor each member and second, nothing wrong, over 30 s");
    println!("{:>8} {:>9} {:>9} {:>9} {:>13}", "members", "bytes", "probes", "packets", "CPU us");
    for members in [10, 100, 1_000, 3_000] {
        let mut net = Net::whole(members, config(false), 5);
        net.run(10 * SECOND);
        net.sent();
        let start = Instant::now();
        net.run(30 * SECOND);
        let cpu = start.elapsed().as_secs_f64() * 1e6;
        let sent = net.sent();
        let each = |of: u64| of as f64 / members as f64 / 30.0;
        println!(
            "{members:>8} {:>9.0} {:>9.2} {:>9.2} {:>13.1}",
            each(sent.iter().map(|s| s.bytes).sum()),
            each(sent.iter().map(|s| s.probes).sum()),
            each(sent.iter().map(|s| s.packets).sum()),
            cpu / members as f64 / 30.0
        );
    }
}

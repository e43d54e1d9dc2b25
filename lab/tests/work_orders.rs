//! Operators' orders by the command line, to three real proxies; and the judge of turns, which must see what is wrong.

mod orders;

use flaxhead_lab::ledger::{Fate, FleetLedger, Handled};
use flaxhead_lab::peers::rig::Rig;
use flaxhead_lab::proxy::Program;
use flaxhead_lab::turns::judge::{Told, TurnFigures};
use flaxhead_lab::turns::script::Work;
use orders::{work, PROGRAM};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

/// Gives an order until it is answered so.
fn until(at: SocketAddr, arguments: &str, code: i32) -> String {
    let start = Instant::now();
    loop {
        let (found, text) = work(at, arguments);
        if found == code {
            return text;
        }
        assert!(start.elapsed() < PATIENCE, "{arguments}: {found}, {text}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn post(at: SocketAddr, body: &str) -> String {
    let mut stream = TcpStream::connect(at).expect("it listens");
    let length = body.len();
    write!(stream, "POST /work.json HTTP/1.1\r\nHost: lab\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
        .expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn orders_are_taken_by_any_proxy_and_refused_with_the_reason() {
    let folder = tempfile::tempdir().expect("a folder");
    let section = "[work]\nvoters = [\"n0\", \"n1\", \"n2\"]\nlease_ms = 1000\nalone_s = 3\nback_s = 1\n";
    let rig = Rig::start_with(3, Program::own(PROGRAM.into()), folder.path(), 21, section);
    let rig = rig.expect("they start");
    let side = |place| rig.relay.side(place);
    // All were started at once: nobody knows what is out, and a turn waits for that.
    let (code, text) = work(side(0), "ask s-0 --kind kernel --for 30m");
    assert!(code == 0 && text.contains("turn 1 is asked"), "{code} {text}");
    assert_eq!(
        work(side(1), "ask s-0 --kind disk --for 1h").1.trim(),
        "turn 1 is asked",
        "asked twice is one request"
    );
    let (code, text) = work(side(1), "show 1 --wait 1s");
    assert!(code == 3 && text.contains("do not know what is out"), "{code} {text}");
    // Bad input changes nothing.
    for (order, reason) in [
        ("ask s-9 --kind kernel --for 30m", "unknown host s-9: discovery does not list it"),
        ("ask s-0 --kind kernel --for 99h", "by the limits"),
        ("ask s-0 --kind kernel --for 1h --not-before 2h --not-after 1h", "its time is past"),
        ("done 1", "drain 1 is at stage asked"),
        ("withdraw 7", "there is no drain 7"),
        ("gone n1", "proxy n1 cannot be removed: it is alive"),
        ("gone n9", "no proxy n9 is on the roster"),
    ] {
        let (code, text) = work(side(2), order);
        assert!(code == 1 && text.contains(reason), "{order}: {code} {text}");
    }
    assert_eq!(work(side(0), "ask s-0 --for 30m").0, 2, "the kind of work is missing");
    assert_eq!(work(SocketAddr::from(([127, 0, 0, 1], 9)), "list").0, 2, "nothing listens there");
    assert!(post(side(0), "{\"Ask\":{}}").starts_with("HTTP/1.1 400"), "it is no order");
    assert!(post(side(0), &"x".repeat(5_000)).starts_with("HTTP/1.1 413"), "it is too long");
    // From here on the turn comes along, whoever is asked.
    until(side(2), "known", 0);
    let text = until(side(1), "show 1 --wait 20s", 0);
    assert!(text.contains("turn 1 s-0 free"), "{text}");
    let (code, text) = work(side(0), "withdraw 1");
    assert!(code == 1 && text.contains("drain 1 is at stage out"), "{code} {text}");
    let (code, text) = work(side(0), "done 1 --by berta");
    assert!(code == 1 && text.contains("drain 1 was requested by anna"), "{code} {text}");
    assert_eq!(work(side(0), "show 1").0, 0, "it is free all the same");
    let (code, text) = work(side(2), "done 1");
    assert!(code == 0 && text.contains("turn 1 is back"), "{code} {text}");
    let ended = until(side(1), "done 1", 1);
    assert!(ended.contains("drain 1 has ended: done"), "{ended}");
    // On the smaller side of a cut nothing is settled, and it says so; on the other side all goes on.
    let lone =
        (0..3).find(|&place| work(side(place), "list").1.contains("follows")).expect("one that follows");
    let others: Vec<usize> = (0..3).filter(|place| *place != lone).collect();
    rig.split(&[lone], &others, true);
    let text = until(side(lone), "ask s-0 --kind disk --for 1h", 1);
    assert!(text.contains("not confirmed in time") || text.contains("no leader is reachable"), "{text}");
    let (code, text) = work(side(others[0]), "ask s-0 --kind disk --for 1h");
    assert!(code == 0 && text.contains("turn 2 is asked"), "{code} {text}");
    // It waits for the one that is cut off, so it can still be taken back.
    let (code, text) = work(side(others[1]), "withdraw 2");
    assert_eq!((code, text.trim()), (0, "done"));
    rig.split(&[lone], &others, false);
    let start = Instant::now();
    while !work(side(lone), "show 2").1.contains("turn 2 s-0 has ended: withdrawn by anna") {
        assert!(start.elapsed() < PATIENCE, "the one that was cut off hears of it");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_request_after_free_and_one_host_too_many_are_seen_by_the_judge() {
    let told = |node, free, done| Told {
        node,
        asked: 1,
        taken: Some(2),
        free: Some(free),
        done: Some(done),
        end: Some("done".to_owned()),
        waits: Vec::new(),
    };
    let handled = |node, at| Handled {
        node,
        pod: 0,
        proxy: 1,
        call: String::new(),
        key: None,
        first_byte: at,
        whole: at,
        work: 1.0,
        fate: Fate::Open,
        ended: at,
        left: None,
    };
    let turn = |node| flaxhead_lab::turns::script::Turn {
        at: 0.0,
        node,
        takes: 1.0,
        through: 0,
        not_free_before: 0.0,
        after_strike: false,
        never_free: false,
    };
    let of = Work { turns: vec![turn(0), turn(1)], ..Work::default() };
    let fleet = |handled| FleetLedger { handled, ..FleetLedger::default() };
    let (one, other) = (told(0, 100, 200), told(1, 200, 300));
    let good = fleet(vec![handled(0, 100), handled(0, 200), handled(1, 150), handled(2, 250)]);
    let judged = TurnFigures::of(vec![one.clone(), other.clone()], Vec::new(), &good);
    assert_eq!((judged.sent_after_free, judged.out_at_once, judged.unheld(&of)), (0, 1, vec![]));
    let judged = TurnFigures::of(vec![one.clone(), other.clone()], Vec::new(), &fleet(vec![handled(0, 150)]));
    assert!(judged.sent_after_free == 1 && judged.unheld(&of)[0].contains("told free"), "{judged:?}");
    let judged =
        TurnFigures::of(vec![one.clone(), Told { free: Some(199), ..other.clone() }], Vec::new(), &good);
    assert!(judged.out_at_once == 2 && judged.unheld(&of)[0].contains("out at once"), "{judged:?}");
    let judged = TurnFigures::of(vec![one, Told { free: None, end: None, ..other }], Vec::new(), &good);
    assert!(judged.unheld(&of)[0].contains("ended with None"), "{judged:?}");
}

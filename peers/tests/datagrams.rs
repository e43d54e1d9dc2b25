//! What comes from the network is not to be trusted: a million datagrams with something wrong in each.

use flaxhead_membership::{
    Cause, Config, CutOff, Kind, Machine, MemberRecord, Name, Packet, Rejection, Stamp, State,
    SuspicionReport, Update,
};
use flaxhead_peers::codec::{decode, encode, DecodeError, MAX_DATAGRAM_BYTES};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;

fn at(place: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, place], 7_000))
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn card(place: u8, stamp: Stamp) -> MemberRecord {
    MemberRecord { name: name(&format!("n{place}")), address: at(place), stamp, uptime_ms: 10, cut_off: None }
}

fn first(place: u8) -> Stamp {
    Stamp { generation: 1, incarnation: u64::from(place), sequence: 0 }
}

fn said(place: u8, state: State) -> Update {
    Update {
        record: card(place, first(place)),
        state,
        by: Some(SuspicionReport { by: name("n3"), cause: Cause::Silent }),
    }
}

fn packet(kind: Kind, updates: Vec<Update>) -> Packet {
    Packet { from: card(2, first(2)), digest: 7, kind, updates }
}

/// A machine named n1 that knows n2, n3 and n4 to run.
fn machine() -> Machine {
    let mut machine = Machine::new(name("n1"), at(1), vec![at(2)], Config::default(), 5, 0);
    let others = [3, 4].map(|place| Update { by: None, ..said(place, State::Alive) });
    machine.receive_full_state(0, at(2), &packet(Kind::Gossip, others.to_vec()), &mut Vec::new());
    assert_eq!(machine.table().others().count(), 3);
    machine
}

fn running(machine: &Machine) -> usize {
    machine.table().others().count()
}

#[test]
fn a_million_damaged_datagrams_remove_nobody_and_take_no_memory() {
    let mut random = Pcg32::seed_from_u64(3);
    let mut below = |bound: usize| ((u64::from(random.next_u32()) * bound as u64) >> 32) as usize;
    let kinds = [
        Kind::Gossip,
        Kind::Ping { seq: 4, to: name("n1") },
        Kind::IndirectAck { seq: 9, record: card(4, first(4)) },
        Kind::PingRequest { seq: 2, name: name("n4"), address: at(4) },
    ];
    let whole: Vec<Vec<u8>> = kinds
        .into_iter()
        .map(|kind| {
            encode("palermo", &packet(kind, vec![said(3, State::Dead), said(4, State::Left)]))
                .expect("encoded")
        })
        .collect();
    let (mut machine, mut taken, mut out) = (machine(), 0, Vec::new());
    for round in 0..1_000_000 {
        let mut bytes = whole[below(whole.len())].clone();
        match round % 4 {
            0 => bytes.truncate(below(bytes.len())),
            1 => (0..=below(4)).for_each(|_| {
                let place = below(bytes.len());
                bytes[place] ^= 1 << below(8);
            }),
            2 => bytes.extend(0..=u8::try_from(below(40)).expect("less than forty")),
            _ => {
                let (a, b) = (below(bytes.len()), below(bytes.len()));
                bytes.swap(a, b);
                bytes.rotate_left(below(3));
            }
        }
        if whole.contains(&bytes) {
            continue;
        }
        if let Ok(packet) = decode("palermo", &bytes) {
            taken += 1;
            machine.receive(0, at(2), packet, &mut out);
            out.clear();
        }
    }
    assert_eq!((taken, running(&machine)), (0, 3), "the checksum tells them all");
}

#[test]
fn each_way_of_being_no_packet_is_told() {
    let good = encode("palermo", &packet(Kind::Gossip, Vec::new())).expect("encoded");
    assert!(good.len() < MAX_DATAGRAM_BYTES);
    assert_eq!(decode("palermo", &good), Ok(packet(Kind::Gossip, Vec::new())));
    assert_eq!(decode("catania", &good), Err(DecodeError::Cluster));
    assert_eq!(decode("palermo", &good[..7]), Err(DecodeError::Truncated));
    assert_eq!(decode("palermo", &good[..good.len() - 1]), Err(DecodeError::Checksum));
    assert_eq!(decode("palermo", b"GET / HTTP/1.1"), Err(DecodeError::Foreign));
    let other = [&good[..2], &[2], &good[3..]].concat();
    assert_eq!(decode("palermo", &other), Err(DecodeError::Version));
    let mut body = good[..good.len() - 4].to_vec();
    body.push(0);
    body.extend(crc32fast::hash(&body).to_be_bytes());
    assert_eq!(decode("palermo", &body), Err(DecodeError::Malformed));
}

/// Whole packets whose words are wrong: each is counted by its reason and removes nobody.
#[test]
fn lies_are_counted_and_remove_nobody() {
    let mut machine = machine();
    let out = &mut Vec::new();
    let news = |from: MemberRecord, updates| Packet { from, digest: 0, kind: Kind::Gossip, updates };
    machine.receive(1, at(9), news(card(2, first(2)), vec![said(4, State::Dead)]), out);
    assert_eq!(machine.rejected().get(&Rejection::SenderMismatch), Some(&1));
    let before = Stamp { generation: 0, ..Stamp { incarnation: 99, ..first(2) } };
    machine.receive(1, at(2), news(card(2, before), vec![said(4, State::Dead)]), out);
    assert_eq!(machine.rejected().get(&Rejection::EarlierIncarnation), Some(&1));
    let top = |place: u8, generation, sequence| Update {
        record: card(place, Stamp { generation, sequence, ..first(place) }),
        ..said(place, State::Suspect)
    };
    let tops = vec![top(4, 1, u32::MAX), top(4, u32::MAX, 0), top(1, 1, u32::MAX)];
    machine.receive(1, at(2), news(card(2, first(2)), tops), out);
    assert_eq!(machine.rejected().get(&Rejection::Implausible), Some(&3));
    for (kind, count) in [(Kind::Ack { seq: 77 }, 1), (Kind::IndirectNack { seq: 78, is_refused: true }, 2)] {
        machine.receive(1, at(2), Packet { kind, ..news(card(2, first(2)), Vec::new()) }, out);
        assert_eq!(machine.rejected().get(&Rejection::Unsolicited), Some(&count));
    }
    assert_eq!(running(&machine), 3);
}

#[test]
fn a_million_names_take_no_more_than_their_bound() {
    let mut machine = machine();
    let out = &mut Vec::new();
    for batch in 0..1_000_u32 {
        let strangers = (0..1_000_u32).map(|n| {
            let card = MemberRecord { name: name(&format!("x{batch}-{n}")), ..card(9, first(9)) };
            Update { record: card, state: State::Alive, by: None }
        });
        machine.receive(1, at(2), packet(Kind::Gossip, strangers.collect()), out);
        out.clear();
    }
    assert_eq!(machine.table().iter().count(), 4_096);
    assert!(machine.rejected()[&Rejection::TooMany] > 990_000);
    assert!(machine.table().get(&name("n4")).is_some_and(|m| m.state == State::Alive));
}

/// The younger of two processes with one name goes, and both say so.
#[test]
fn of_two_processes_with_one_name_the_older_stays() {
    let start = |seed, now| Machine::new(name("n1"), at(1), Vec::new(), Config::default(), seed, now);
    let (mut older, mut younger) = (start(1, 0), start(2, 50_000_000));
    let mut now = 60_000_000;
    let (mut claimed, mut displaced) = (0, 0);
    for _ in 0..4 {
        let mut out = Vec::new();
        let word = |m: &Machine| Update { record: m.table().me().clone(), state: State::Alive, by: None };
        let (one, other) = (word(&older), word(&younger));
        younger.receive_full_state(now, at(2), &packet(Kind::Gossip, vec![one]), &mut out);
        older.receive_full_state(now, at(2), &packet(Kind::Gossip, vec![other]), &mut out);
        now += 1_000;
        for effect in out {
            use flaxhead_membership::{Change, Effect};
            claimed += usize::from(effect == Effect::Changed(Change::NameClaimed));
            displaced += usize::from(effect == Effect::Changed(Change::Displaced));
        }
    }
    assert!(younger.view(now).displaced && !older.view(now).displaced);
    assert!(claimed >= 1 && displaced == 1, "{claimed} {displaced}");
}

fn any_update() -> impl Strategy<Value = Update> {
    let state = prop_oneof![Just(State::Alive), Just(State::Suspect), Just(State::Dead), Just(State::Left)];
    (2_u8..5, 1_u32..4, 0_u64..3, 0_u32..4, state, any::<bool>()).prop_map(
        |(of, generation, incarnation, sequence, state, cut)| {
            let stamp = Stamp { generation, incarnation, sequence };
            let cut_off = cut.then_some(CutOff::Deaf);
            Update {
                record: MemberRecord { cut_off, ..card(of, stamp) },
                state,
                by: Some(SuspicionReport { by: name("n3"), cause: Cause::Silent }),
            }
        },
    )
}

proptest! {
    #[test]
    fn the_order_in_which_words_come_does_not_matter(words in prop::collection::vec(any_update(), 1..12), turn in any::<prop::sample::Index>()) {
        let known = |words: &[Update]| {
            let mut table = machine().table().clone();
            for word in words {
                table.merge(word, 0);
            }
            let all = table.iter().map(|m| (m.record.name.clone(), m.record.stamp, m.state));
            all.collect::<Vec<_>>()
        };
        let mut turned = words.clone();
        turned.rotate_left(turn.index(words.len()));
        let twice: Vec<Update> = turned.iter().rev().chain(&words).cloned().collect();
        prop_assert_eq!(known(&words), known(&turned));
        prop_assert_eq!(known(&words), known(&twice));
    }

    #[test]
    fn what_is_written_is_read_again_and_within_its_bound(words in prop::collection::vec(any_update(), 0..6)) {
        let bound: usize = words.iter().map(Update::max_bytes).sum();
        let packet = packet(Kind::Gossip, words);
        let bytes = encode("palermo", &packet).expect("encoded");
        prop_assert_eq!(decode("palermo", &bytes), Ok(packet.clone()));
        let bare = encode("palermo", &Packet { updates: Vec::new(), ..packet }).expect("encoded");
        prop_assert!(bytes.len() <= bare.len() + bound, "{} bytes beside {}, bound {bound}", bytes.len(), bare.len());
    }
}

//! The resident memory of the running program stays under its limit whatever clients, hosts and discovery do, and sound
//! clients are served beside them.

mod common;

use common::abuse::{Abuse, Answers};
use common::rig::{LimitsOfRun, Rig, LEAST_MEMORY};
use common::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// Clients of one kind: about as many as may have requests open.
const CLIENTS: usize = 300;
/// How long sound clients ask beside them.
const TIME: Duration = Duration::from_secs(3);

/// Has clients misuse the program while sound ones are served.
async fn sound_clients_are_served_beside(abuse: Abuse, count: usize, answers: &[Answers]) {
    let what = format!("{count} clients, {abuse:?}, hosts {answers:?}");
    let name = format!("memory-{abuse:?}-{count}-{:?}", answers[0]);
    let mut rig = Rig::start(&name, LEAST_MEMORY, answers).await;
    let clients = abuse.begin(rig.address, count).await;
    let statuses = rig.sound_calls(TIME).await;
    let large = rig.sound_call(common::abuse::MAX_BODY_BYTES).await;
    rig.assert_within_limits(&what);
    rig.assert_ran_once(&what);
    println!("{what}: {statuses:?}, large {large}");
    assert_served(&statuses, answers, &what);
    assert_eq!(large, 200, "{what}: a large request");
    drop(clients);
}

/// Where hosts are sound, all are served; otherwise some may be refused, for hosts are busy with others.
fn assert_served(statuses: &BTreeMap<u16, usize>, answers: &[Answers], what: &str) {
    let count = |status| statuses.get(&status).copied().unwrap_or(0);
    let all: usize = statuses.values().sum();
    let refused = if answers == [Answers::Soundly] { 0 } else { count(503) };
    assert!(count(200) + refused == all && refused <= all / 10, "{what}: {statuses:?}");
}

fn beside(abuse: Abuse) {
    run(sound_clients_are_served_beside(abuse, CLIENTS, &[Answers::Soundly]));
}

#[test]
fn bodies_that_come_ten_bytes_at_a_time_stay_within_memory() {
    beside(Abuse::BodyInPieces);
}

#[test]
fn the_largest_requests_but_for_their_last_byte_stay_within_memory() {
    beside(Abuse::LacksLastByte);
}

#[test]
fn the_largest_requests_whole_and_at_once_stay_within_memory() {
    beside(Abuse::Whole);
}

#[test]
fn calls_with_long_ids_in_flight_stay_within_memory() {
    run(sound_clients_are_served_beside(Abuse::LongId, CLIENTS, &[Answers::Never, Answers::Soundly]));
}

#[test]
fn heads_of_many_short_fields_stay_within_memory() {
    beside(Abuse::ShortFields);
    beside(Abuse::TooManyFields);
}

#[test]
fn large_heads_in_small_pieces_stay_within_memory() {
    beside(Abuse::HeadInPieces);
}

#[test]
fn connections_that_rested_before_a_large_head_stay_within_memory() {
    beside(Abuse::RestsFirst);
}

#[test]
fn bytes_behind_open_requests_stay_within_memory() {
    run(sound_clients_are_served_beside(Abuse::SendsBehind, CLIENTS, &[Answers::Never, Answers::Soundly]));
}

#[test]
fn more_clients_than_places_stay_within_memory() {
    for abuse in [Abuse::Idle, Abuse::LacksLastByte] {
        run(sound_clients_are_served_beside(abuse, 1_200, &[Answers::Soundly]));
    }
}

#[test]
fn responses_of_slow_and_large_hosts_stay_within_memory() {
    for answers in [Answers::InPieces, Answers::WithoutLastByte, Answers::WithoutEnd, Answers::WithManyFields]
    {
        let hosts = [answers, Answers::Soundly];
        run(sound_clients_are_served_beside(Abuse::RestsFirst, CLIENTS, &hosts));
        run(sound_clients_are_served_beside(Abuse::SendsBehind, CLIENTS, &hosts));
    }
}

#[test]
fn large_responses_that_are_not_read_stay_within_memory() {
    run(sound_clients_are_served_beside(Abuse::DoesNotRead, CLIENTS, &[Answers::Largely, Answers::Soundly]));
}

/// Lists that are longer than any fleet's, and none that is ever complete.
#[test]
fn endpoint_lists_without_end_stay_within_memory() {
    run(async {
        let mut rig = Rig::start("memory-list", LEAST_MEMORY, &[Answers::Soundly]).await;
        let hosts: Vec<_> = (0..3_200)
            .map(|number| {
                entry(&format!("s-{number:08x}"), ([127, 9, 9, 9], 1 + number).into(), "Terminating")
            })
            .collect();
        eventually("a watch", || !rig.discovery.asked.borrow().is_empty()).await;
        for seq in 50..60 {
            rig.discovery.push(&chunk(&list(seq, false, &hosts))).await;
        }
        let endless = chunk(&format!("{{\"seq\":99,\"whole\":true,\"hosts\":[{}", "[1],".repeat(2 << 20)));
        rig.discovery.try_push(&endless).await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(rig.sound_call(20).await, 200);
        rig.assert_within_limits("lists");
    });
}

#[test]
fn a_larger_limit_is_used_and_kept() {
    run(async {
        for memory_mb in [48, 96] {
            let limits = LimitsOfRun { memory_mb, ..LEAST_MEMORY };
            let answers = [Answers::Largely, Answers::Soundly];
            let mut rig = Rig::start(&format!("memory-{memory_mb}"), limits, &answers).await;
            let mut clients = Vec::new();
            for abuse in [Abuse::LacksLastByte, Abuse::Whole, Abuse::DoesNotRead, Abuse::BodyInPieces] {
                clients.push(abuse.begin(rig.address, 150).await);
            }
            let statuses = rig.sound_calls(TIME).await;
            rig.assert_within_limits(&format!("{memory_mb} MB"));
            assert_served(&statuses, &answers, &format!("{memory_mb} MB"));
        }
    });
}

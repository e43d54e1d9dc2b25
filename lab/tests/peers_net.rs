//! The membership's machine by the dozens in virtual time, under each kind of trouble.

use flaxhead_lab::peers::virtual_net::{Fault, Net, SECOND};
use flaxhead_membership::{Change, Config, CutOff, Name, State};

fn name(place: usize) -> Name {
    Name::new(&format!("n{place}")).expect("a name")
}

fn whole(count: usize, seed: u64) -> Net {
    let mut net = Net::whole(count, Config::default(), seed);
    net.run(5 * SECOND);
    assert!(net.agreed() && net.noticed().iter().all(|n| matches!(n.change, Change::Joined(_))));
    net
}

#[test]
fn one_seed_gives_one_run() {
    let play = |seed| {
        let mut net = Net::strangers(20, Config::default(), seed);
        net.everywhere = Fault { loss: 0.3, ..Fault::default() };
        net.run(20 * SECOND);
        net.crash(3);
        net.run(20 * SECOND);
        (format!("{:?}", net.noticed()), format!("{:?}", net.sent()))
    };
    assert_eq!(play(5), play(5));
    assert_ne!(play(5), play(6));
}

#[test]
fn strangers_find_each_other_though_their_first_contact_is_frozen() {
    let mut net = Net::strangers(12, Config::default(), 3);
    net.freeze(0, 10 * SECOND);
    let joined = net.until(30 * SECOND, |net| net.agreed());
    assert!(joined.is_some(), "{:?}", net.views());
    assert_eq!(net.mistakes(), 0);
}

#[test]
fn a_crash_is_known_by_all_and_a_leave_is_told_from_it() {
    let mut net = whole(30, 11);
    net.crash(7);
    let known = net.until(20 * SECOND, |net| net.known_gone(7)).expect("known");
    assert!(known < 5 * SECOND, "{known}");
    net.leave(8);
    net.until(5 * SECOND, |net| net.known_gone(8)).expect("known");
    net.crash(8);
    net.run(20 * SECOND);
    let states = |of: usize| {
        let of = name(of);
        let running = net.running();
        running
            .iter()
            .map(|&p| net.machine(p).and_then(|m| m.table().get(&of)).map(|m| m.state))
            .collect::<Vec<_>>()
    };
    assert!(states(7).iter().all(|s| *s == Some(State::Dead)), "{:?}", states(7));
    assert!(states(8).iter().all(|s| *s == Some(State::Left)), "{:?}", states(8));
    assert_eq!(net.mistakes(), 0);
}

/// A third of the members stopped at once, again and again.
#[test]
fn pauses_of_up_to_five_seconds_remove_nobody() {
    for (seed, pause) in [(1, SECOND / 2), (2, 2 * SECOND), (3, 5 * SECOND)] {
        let mut net = whole(12, seed);
        for round in 0..12 {
            (0..4).for_each(|n| net.freeze((round * 4 + n) % 12, pause));
            net.run(pause + 5 * SECOND);
        }
        assert_eq!(net.mistakes(), 0, "pause of {pause}");
        net.until(30 * SECOND, |net| net.agreed()).expect("they agree");
    }
}

#[test]
fn losses_of_thirty_percent_remove_nobody() {
    let mut net = whole(10, 4);
    net.everywhere = Fault { loss: 0.3, ..Fault::default() };
    net.run(900 * SECOND);
    assert_eq!(net.mistakes(), 0);
    net.everywhere = Fault::default();
    net.until(60 * SECOND, |net| net.agreed()).expect("they agree");
}

#[test]
fn delays_past_the_probes_time_on_ones_links_remove_nobody() {
    let mut net = whole(8, 5);
    let slow = Fault { delay: 400_000, jitter: 300_000, ..Fault::default() };
    for other in 1..8 {
        net.link(0, other, slow);
        net.link(other, 0, slow);
    }
    net.run(300 * SECOND);
    assert_eq!(net.mistakes(), 0);
}

#[test]
fn one_direction_of_one_link_removes_nobody_and_is_named() {
    let mut net = whole(7, 6);
    net.link(2, 4, Fault { loss: 1.0, ..Fault::default() });
    net.run(300 * SECOND);
    assert_eq!(net.mistakes(), 0);
    let view = net.machine(2).expect("it runs").view(net.now());
    let reach = view.member(&name(4)).expect("known").reach;
    assert_eq!(reach.to_it, Some(false), "{reach:?}");
    assert_eq!(net.machine(2).and_then(|m| m.cut_off()), None);
}

/// One that is heard and hears nobody blames itself, and stays: others' ears hold it.
#[test]
fn one_that_hears_nobody_finds_itself_cut_off_and_removes_nobody() {
    let mut net = whole(9, 7);
    (1..9).for_each(|other| net.link(other, 0, Fault { loss: 1.0, ..Fault::default() }));
    net.until(10 * SECOND, |net| net.machine(0).and_then(|m| m.cut_off()) == Some(CutOff::Deaf))
        .expect("it finds out");
    net.run(120 * SECOND);
    assert_eq!(net.mistakes(), 0);
    let told = net.machine(5).and_then(|m| m.table().get(&name(0))).map(|m| (m.state, m.record.cut_off));
    assert_eq!(told.and_then(|t| t.1), Some(CutOff::Deaf), "{told:?}");
    (1..9).for_each(|other| net.link(other, 0, Fault::default()));
    net.until(20 * SECOND, |net| net.agreed() && net.machine(0).is_some_and(|m| m.participates()))
        .expect("it is back");
}

/// One that hears and is not heard cannot be told from a crash by others; it knows, and suspects nobody.
#[test]
fn one_that_is_not_heard_finds_itself_cut_off_and_is_found_again() {
    let mut net = whole(9, 8);
    (1..9).for_each(|other| net.link(0, other, Fault { loss: 1.0, ..Fault::default() }));
    net.until(10 * SECOND, |net| net.machine(0).and_then(|m| m.cut_off()) == Some(CutOff::Mute))
        .expect("it finds out");
    net.run(60 * SECOND);
    let others = net.noticed().iter().filter(|n| n.mistaken && n.by == 0).count();
    assert_eq!(others, 0, "the one that is not heard buries nobody");
    let about = |n: &&flaxhead_lab::peers::virtual_net::Noticed| {
        n.mistaken && !matches!(&n.change, Change::Died { name: of, .. } if *of == name(0))
    };
    assert_eq!(net.noticed().iter().filter(about).count(), 0);
    (1..9).for_each(|other| net.link(0, other, Fault::default()));
    net.until(60 * SECOND, |net| net.agreed() && net.machine(0).is_some_and(|m| m.participates()))
        .expect("it is back");
}

#[test]
fn two_groups_that_one_member_joins_keep_one_membership() {
    for (loss, delay, jitter) in [(0.0, 0, 0), (0.1, 0, 0), (0.0, 30_000, 60_000)] {
        for seed in 0..20 {
            let mut net = whole(7, seed);
            net.everywhere = Fault { loss, delay, jitter, ..Fault::default() };
            net.split(&[0, 1, 2], &[4, 5, 6], true);
            net.run(300 * SECOND);
            assert_eq!(net.mistakes(), 0, "loss {loss}, delay {delay}, seed {seed}");
            net.until(60 * SECOND, |net| net.agreed()).unwrap_or_else(|| panic!("{:?}", net.views()));
        }
    }
}

#[test]
fn a_cut_heals_also_where_members_restarted_meanwhile() {
    for (seed, one) in [(10, vec![0, 1]), (11, vec![0, 1, 2])] {
        let rest: Vec<usize> = (one.len()..if one.len() == 2 { 7 } else { 6 }).collect();
        let mut net = whole(one.len() + rest.len(), seed);
        net.split(&one, &rest, true);
        net.until(60 * SECOND, |net| net.views().len() == 2).expect("two views");
        net.crash(rest[1]);
        net.run(SECOND);
        net.set_clock(rest[1], 0);
        net.start(rest[1]);
        net.run(20 * SECOND);
        net.split(&one, &rest, false);
        net.until(60 * SECOND, |net| net.agreed()).unwrap_or_else(|| panic!("{:?}", net.views()));
    }
}

#[test]
fn seven_of_ten_killed_at_once_are_known_and_come_back_with_their_names() {
    let mut net = whole(10, 12);
    (3..10).for_each(|place| net.crash(place));
    net.until(30 * SECOND, |net| (3..10).all(|place| net.known_gone(place))).expect("known");
    assert!(net.running().iter().all(|&p| net.machine(p).is_some_and(|m| m.participates())));
    (3..10).for_each(|place| net.start(place));
    net.until(30 * SECOND, |net| net.agreed()).unwrap_or_else(|| panic!("{:?}", net.views()));
    // The same again, back before the dead are buried, and one of them gone again within its suspicion.
    (3..10).for_each(|place| net.vanish(place));
    net.run(SECOND);
    (3..10).for_each(|place| net.start(place));
    net.run(SECOND);
    net.vanish(9);
    net.until(60 * SECOND, |net| net.agreed()).unwrap_or_else(|| panic!("{:?}", net.views()));
    assert_eq!(net.mistakes(), 0);
}

#[test]
fn a_clock_that_steps_back_for_an_hour_changes_nothing() {
    let mut net = whole(6, 13);
    net.set_clock(4, 3_600 * SECOND);
    net.crash(4);
    net.start(4);
    net.until(20 * SECOND, |net| net.agreed()).expect("they agree");
    net.crash(4);
    net.set_clock(4, 0);
    net.start(4);
    net.until(20 * SECOND, |net| net.agreed()).unwrap_or_else(|| panic!("{:?}", net.views()));
    assert_eq!(net.mistakes(), 0);
}

#[test]
fn a_link_that_flaps_for_a_minute_removes_nobody() {
    let mut net = whole(8, 14);
    for round in 0..60 {
        net.split(&[1], &[5, 6], round % 2 == 0);
        net.run(SECOND);
    }
    assert_eq!(net.mistakes(), 0);
    net.until(30 * SECOND, |net| net.agreed()).expect("they agree");
}

/// At every size and whatever is drawn, before others' suspicions could end.
#[test]
fn one_that_is_cut_off_finds_it_out_within_seconds() {
    for count in [3, 5, 10, 30] {
        for seed in 0..10 {
            for (how, mute) in [(CutOff::Mute, true), (CutOff::Deaf, false)] {
                let mut net = whole(count, seed);
                for other in 1..count {
                    let (from, to) = if mute { (0, other) } else { (other, 0) };
                    net.link(from, to, Fault { loss: 1.0, ..Fault::default() });
                }
                let found = |net: &Net| net.machine(0).is_some_and(|m| m.cut_off() == Some(how));
                let took = net.until(10 * SECOND, found);
                assert!(took.is_some(), "{how:?} of {count}, seed {seed}");
                net.run(20 * SECOND);
                assert!(found(&net), "{how:?} of {count}, seed {seed}: it does not stay");
            }
        }
    }
}

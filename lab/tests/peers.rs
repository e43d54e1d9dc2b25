//! Real client proxies that know of each other, with faults between them. All waits are on conditions, with bounds far
//! past what they take.

use flaxhead_lab::peers::rig::Rig;
use flaxhead_lab::proxy::Program;
use std::thread::sleep;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(60);

struct Test {
    rig: Rig,
    _folder: tempfile::TempDir,
}

impl std::ops::Deref for Test {
    type Target = Rig;

    fn deref(&self) -> &Rig {
        &self.rig
    }
}

impl std::ops::DerefMut for Test {
    fn deref_mut(&mut self) -> &mut Rig {
        &mut self.rig
    }
}

fn name(place: usize) -> String {
    format!("n{place}")
}

/// So many processes that all know of each other.
fn whole(count: usize, seed: u64) -> Test {
    let folder = tempfile::tempdir().expect("a folder");
    let program = Program::own(env!("CARGO_BIN_EXE_flaxhead-lab").into());
    let rig = Rig::start(count, program, folder.path(), seed).expect("it starts");
    let test = Test { rig, _folder: folder };
    test.wait("all know of each other", Rig::agreed);
    test
}

impl Test {
    fn wait(&self, what: &str, holds: impl Fn(&Rig) -> bool) {
        self.rig.until(what, PATIENCE, holds).unwrap_or_else(|error| panic!("{error}"));
    }

    /// Looks at all that answer for a while: nobody may be shown as gone.
    fn nobody_goes(&self, span: Duration, but: &[usize]) {
        let until = std::time::Instant::now() + span;
        while std::time::Instant::now() < until {
            for (place, shown) in self.all_shown() {
                let gone = shown
                    .members
                    .iter()
                    .find(|m| m.state == "dead" && !but.iter().any(|&b| name(b) == m.name));
                assert!(gone.is_none(), "n{place} shows {gone:?}");
            }
            sleep(Duration::from_millis(100));
        }
    }

    fn state(&self, at: usize, of: usize) -> Option<String> {
        self.shown(at).ok()?.state(&name(of)).map(str::to_owned)
    }

    fn cut_off(&self, place: usize) -> Option<String> {
        self.shown(place).ok()?.cut_off
    }
}

#[test]
fn a_third_of_the_members_stopped_for_up_to_five_seconds_stay_members() {
    let test = whole(6, 1);
    for (pause, stopped) in [(500, [0, 1]), (2_000, [2, 3]), (5_000, [4, 5])] {
        stopped.iter().for_each(|&place| test.freeze(place, true).expect("stopped"));
        test.nobody_goes(Duration::from_millis(pause), &[]);
        stopped.iter().for_each(|&place| test.freeze(place, false).expect("goes on"));
        test.nobody_goes(Duration::from_secs(2), &[]);
        test.wait("all agree again", Rig::agreed);
    }
}

#[test]
fn a_crash_is_told_from_a_leave_and_both_come_back() {
    let mut test = whole(5, 2);
    test.kill(4);
    test.wait("the crash is known", |rig| {
        (0..4).all(|at| rig.shown(at).is_ok_and(|s| s.state("n4") == Some("dead")))
    });
    test.stop(3).expect("it stops");
    test.wait("the leave is known", |rig| {
        (0..3).all(|at| rig.shown(at).is_ok_and(|s| s.state("n3") == Some("left")))
    });
    assert_eq!(test.state(0, 4).as_deref(), Some("dead"));
    test.restart(4).expect("it starts");
    test.restart(3).expect("it starts");
    test.wait("both are back", Rig::agreed);
    let generation = |of: &str| {
        let shown = test.shown(0).expect("it answers");
        shown.members.iter().find(|m| m.name == of).map(|m| m.generation)
    };
    assert!(generation("n4") > Some(1) && generation("n3") > Some(1) && generation("n2") == Some(1));
}

#[test]
fn the_leave_of_one_whose_words_are_mostly_lost_is_told_from_a_crash() {
    let mut test = whole(5, 3);
    (0..4).for_each(|other| test.relay.set(4, other, |link| link.loss = 0.7));
    test.stop(4).expect("it stops");
    test.wait("the leave is known", |rig| {
        (0..4).all(|at| rig.shown(at).is_ok_and(|s| s.state("n4") == Some("left")))
    });
}

#[test]
fn thirty_percent_loss_on_all_links_removes_nobody() {
    let test = whole(6, 4);
    for from in 0..6 {
        (0..6).filter(|&to| to != from).for_each(|to| test.relay.set(from, to, |link| link.loss = 0.3));
    }
    test.nobody_goes(Duration::from_secs(20), &[]);
    assert!(test.relay.carried(0, 1).lost > 0);
}

#[test]
fn late_doubled_disordered_and_damaged_words_remove_nobody() {
    let test = whole(5, 5);
    for other in 1..5 {
        for (from, to) in [(0, other), (other, 0)] {
            test.relay.set(from, to, |link| {
                (link.delay, link.jitter) = (Duration::from_millis(250), Duration::from_millis(200));
                (link.duplicate, link.reorder, link.corrupt) = (0.3, 0.3, 0.1);
            });
        }
    }
    test.nobody_goes(Duration::from_secs(15), &[]);
    let carried = test.relay.carried(1, 0);
    assert!(carried.copies > 0 && carried.held > 0 && carried.turned > 0, "{carried:?}");
}

#[test]
fn one_direction_of_one_link_removes_nobody() {
    let test = whole(5, 6);
    test.relay.set(1, 3, |link| link.cut = true);
    test.nobody_goes(Duration::from_secs(15), &[]);
    assert!((0..5).all(|place| test.cut_off(place).is_none()), "the others hear both");
    test.wait("it names the way that is cut", |rig| {
        rig.shown(1).is_ok_and(|s| s.members.iter().any(|m| m.name == "n3" && m.reach["to_it"] == false))
    });
}

#[test]
fn one_that_hears_nobody_knows_it_and_stays_a_member() {
    let test = whole(5, 7);
    (1..5).for_each(|other| test.relay.set(other, 0, |link| link.cut = true));
    test.wait("it finds itself cut off", |rig| {
        rig.shown(0).is_ok_and(|s| s.cut_off.is_some() && !s.takes_part)
    });
    test.nobody_goes(Duration::from_secs(15), &[]);
    assert_eq!(test.cut_off(0).as_deref(), Some("deaf"));
    (1..5).for_each(|other| test.relay.set(other, 0, |link| link.cut = false));
    test.wait("it is back", |rig| rig.agreed() && rig.shown(0).is_ok_and(|s| s.takes_part));
}

#[test]
fn one_that_is_heard_by_nobody_knows_it_and_is_found_again() {
    let test = whole(5, 8);
    (1..5).for_each(|other| test.relay.set(0, other, |link| link.cut = true));
    test.wait("it finds itself cut off", |rig| {
        rig.shown(0).is_ok_and(|s| s.cut_off.as_deref() == Some("mute"))
    });
    // Others cannot tell it from one that has crashed; among themselves nobody goes.
    test.nobody_goes(Duration::from_secs(15), &[0]);
    assert!(test.shown(0).is_ok_and(|s| s.members.iter().all(|m| m.state != "dead")), "it buries nobody");
    (1..5).for_each(|other| test.relay.set(0, other, |link| link.cut = false));
    test.wait("it is back", |rig| rig.agreed() && rig.shown(0).is_ok_and(|s| s.takes_part));
}

#[test]
fn cuts_into_two_groups_heal_though_one_restarted_meanwhile() {
    for (seed, one, other) in [(9, vec![0, 1], vec![2, 3, 4, 5, 6]), (10, vec![0, 1, 2], vec![3, 4, 5])] {
        let mut test = whole(one.len() + other.len(), seed);
        test.split(&one, &other, true);
        let apart = |rig: &Rig| {
            rig.all_shown().iter().all(|(place, shown)| {
                let own = if one.contains(place) { &one } else { &other };
                shown.running().len() == own.len()
            })
        };
        test.wait("two views", apart);
        let again = other[0];
        test.kill(again);
        test.restart(again).expect("it starts");
        test.split(&one, &other, false);
        test.wait("one view", Rig::agreed);
    }
}

#[test]
fn two_groups_that_one_member_joins_keep_one_membership() {
    let test = whole(7, 11);
    test.split(&[0, 1, 2], &[4, 5, 6], true);
    test.nobody_goes(Duration::from_secs(20), &[]);
    test.wait("one view", Rig::agreed);
}

#[test]
fn seven_of_ten_killed_in_one_instant_are_known_and_come_back() {
    let mut test = whole(10, 12);
    (3..10).for_each(|place| test.kill(place));
    test.wait("the three agree", Rig::agreed);
    assert!((0..3).all(|place| test.shown(place).is_ok_and(|s| s.takes_part)));
    (3..10).for_each(|place| test.restart(place).expect("it starts"));
    test.wait("all ten agree", Rig::agreed);
    // Crashes, returns and crashes again within one suspicion.
    test.kill(9);
    test.restart(9).expect("it starts");
    test.kill(9);
    test.wait("the nine agree", Rig::agreed);
}

#[test]
fn a_link_that_flaps_for_a_minute_removes_nobody() {
    let test = whole(5, 13);
    for round in 0..60 {
        test.split(&[1], &[3, 4], round % 2 == 0);
        test.nobody_goes(Duration::from_millis(900), &[]);
    }
    test.split(&[1], &[3, 4], false);
    test.wait("one view", Rig::agreed);
}

#[test]
fn strangers_join_though_their_first_contact_is_stopped_or_dead() {
    let mut test = whole(4, 14);
    test.freeze(0, true).expect("stopped");
    test.kill(3);
    test.restart(3).expect("it starts");
    test.wait("it joined through the other", |rig| rig.shown(3).is_ok_and(|s| s.running().len() >= 3));
    test.freeze(0, false).expect("goes on");
    test.wait("all agree", Rig::agreed);
    test.kill(0);
    test.kill(2);
    test.restart(2).expect("it starts");
    test.wait("it joined without the dead one", Rig::agreed);
}

#[test]
fn of_two_processes_with_one_name_the_older_stays_and_both_say_so() {
    let mut test = whole(4, 15);
    test.kill(3);
    test.wait("three agree", Rig::agreed);
    test.rename(3, "n1");
    test.restart(3).expect("it starts");
    test.wait("the younger is displaced", |rig| rig.shown(3).is_ok_and(|s| s.displaced && !s.takes_part));
    test.nobody_goes(Duration::from_secs(2), &[3]);
    assert!(test.shown(1).is_ok_and(|s| !s.displaced && s.takes_part));
    // Both write to one file, named as they are.
    let log = test.log(1);
    assert!(log.contains("another process that runs claims this name"), "{log}");
    assert!(log.contains("another process that runs has this name and is the older"), "{log}");
}

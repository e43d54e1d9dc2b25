//! What a plan may say, how long it can get, and how it narrows a process's choice.

use flaxhead_lease::{Application, ApplicationTypes, Ballot, ReplicatedState, Version};
use flaxhead_zones::fill::{Level, PARTS};
use flaxhead_zones::{
    Map, MapTerms, Name, Pace, Pair, Plan, PlanError, Room, Row, Standing, Toward, Word, Zones, CLASSES,
};

fn map(names: &[String]) -> Map {
    let zones = names.iter().map(|zone| (zone.clone(), "r".to_owned())).collect();
    Map::new(&MapTerms { zones, ..MapTerms::default() }).expect("good")
}

fn abc() -> Map {
    map(&["a", "b", "c"].map(str::to_owned))
}

fn row(from: &str, shares: &[(&str, u32)]) -> Row {
    let shares = shares.iter().map(|(zone, part)| (zone.to_string(), *part)).collect();
    Row { from: from.into(), level: Level { whole: 2, part: 0 }, shares }
}

fn plan(seq: u64, rows: Vec<Row>) -> Plan {
    let ballot = Some(Ballot { round: 1, name: Name::new("p1").expect("a name"), incarnation: 1 });
    Plan { number: Version { ballot, seq }, rows, ..Plan::default() }
}

#[test]
fn a_plan_that_cannot_be_is_refused_whole_and_the_last_good_one_kept() {
    let lost = |to: &str| Pair { from: "a".into(), to: to.into(), sight: 2, witnesses: 9, falls: 1, age: 0 };
    let good = plan(1, vec![row("a", &[("a", 4_000), ("b", 6_000)]), row("b", &[("b", PARTS)])]);
    assert_eq!(good.check(&abc()), Ok(()));
    let with = |rows: Vec<Row>| plan(2, rows);
    let strange = Plan { rooms: vec![Room { zone: "x".into(), calls: 1, learned: 1 }], ..good.clone() };
    let part = Row { level: Level { whole: 0, part: 10_001 }, ..good.rows[0].clone() };
    type Case = (Plan, fn(&PlanError) -> bool);
    let cases: [Case; 9] = [
        (with(vec![row("x", &[("a", PARTS)])]), |e| matches!(e, PlanError::UnknownZone(zone) if zone == "x")),
        (
            with(vec![row("a", &[("a\n", PARTS)])]),
            |e| matches!(e, PlanError::UnknownZone(zone) if zone == "?"),
        ),
        (strange, |e| matches!(e, PlanError::UnknownZone(_))),
        (with(vec![row("a", &[("a", 9_999)])]), |e| matches!(e, PlanError::Sum { sum: 9_999, .. })),
        (with(vec![row("a", &[("a", u32::MAX), ("b", u32::MAX)])]), |e| matches!(e, PlanError::Sum { .. })),
        (with(vec![row("a", &[])]), |e| matches!(e, PlanError::Sum { sum: 0, .. })),
        (with(vec![row("a", &[("a", 5_000), ("a", 5_000)])]), |e| matches!(e, PlanError::Twice { .. })),
        (with(vec![part]), |e| matches!(e, PlanError::Level { .. })),
        (Plan { pairs: vec![lost("b")], ..good.clone() }, |e| matches!(e, PlanError::ToLost { .. })),
    ];
    for (bad, what) in cases {
        let mut zones = Zones::new(0, abc(), Pace::default(), 0);
        zones.state_changed(0, &good);
        zones.state_changed(1, &bad);
        assert!(zones.refused().is_some_and(what), "{bad:?}: {:?}", zones.refused());
        assert_eq!(zones.good(), &good);
        zones.state_changed(2, &Plan { number: plan(3, Vec::new()).number, ..good.clone() });
        assert_eq!((zones.refused(), zones.good().number.seq), (None, 3));
    }
}

#[test]
fn the_longest_word_and_plan_keep_their_bounds() {
    let names: Vec<String> = (0..32).map(|at| format!("{at:x<64}")).collect();
    let toward = |zone: &String| Toward {
        zone: zone.clone(),
        in_hand: u32::MAX,
        done: u32::MAX,
        failed: u32::MAX,
        time_ms: u32::MAX,
        unreached: true,
    };
    let word = Word {
        zone: names[0].clone(),
        asked: vec![u32::MAX; CLASSES],
        toward: names.iter().map(toward).collect(),
    };
    let standing = Standing { by: "o".repeat(64), age: u64::MAX };
    let shares: Vec<(&str, u32)> = names.iter().map(|zone| (zone.as_str(), u32::MAX)).collect();
    let pair = |from: &String, to: &String| Pair {
        from: from.clone(),
        to: to.clone(),
        sight: 2,
        witnesses: u32::MAX,
        falls: 4,
        age: u64::MAX,
    };
    let longest = Plan {
        pairs: names.iter().flat_map(|from| names.iter().map(move |to| pair(from, to))).collect(),
        rooms: names
            .iter()
            .map(|zone| Room { zone: zone.clone(), calls: u32::MAX, learned: 1_000 })
            .collect(),
        held: Some(standing.clone()),
        emptied: names.iter().map(|zone| (zone.clone(), standing.clone())).collect(),
        ..plan(u64::MAX, names.iter().map(|from| row(from, &shares)).collect())
    };
    let word = postcard::to_stdvec(&word).expect("a word").len();
    let longest = postcard::to_stdvec(&longest).expect("a plan").len();
    println!("{word} bytes, {longest} bytes");
    assert!(word <= Zones::MAX_REPORT_BYTES && longest <= Zones::MAX_STATE_BYTES, "{word}, {longest}");
}

#[test]
fn of_two_plans_the_later_goes_with_what_operators_emptied_in_either() {
    let out = |zone: &str| (zone.to_owned(), Standing { by: "night shift".into(), age: 5 });
    let early = Plan { emptied: vec![out("a"), out("b")], ..plan(1, vec![row("a", &[("a", PARTS)])]) };
    let late = Plan { emptied: vec![out("b")], ..plan(2, vec![row("a", &[("c", PARTS)])]) };
    for (mut one, other) in [(early.clone(), late.clone()), (late.clone(), early.clone())] {
        assert!(one.merge(&other));
        assert_eq!((one.number.seq, &one.rows), (2, &late.rows));
        assert!(one.emptied("a") && one.emptied("b") && one.emptied.len() == 2);
        assert!(!one.clone().merge(&other));
    }
}

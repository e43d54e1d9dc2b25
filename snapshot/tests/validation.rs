//! What of a whole file is taken, by owner and by clock.

use flaxhead_snapshot::validation::validate;
use flaxhead_snapshot::{AgeLimits, ClockReading, Header, Identity, Part, Rejection, Snapshot};

const BOUNDS: AgeLimits = AgeLimits { max_age_ms: 60_000, max_ahead_ms: 1_000 };
const HOUR: u64 = 3_600_000;
const THEN: ClockReading = ClockReading { wall_ms: 500 * HOUR, up_ms: HOUR, boot: 9 };

fn mine() -> Identity {
    Identity { cluster: "a".into(), proxy: "n0".into() }
}

fn kept(age_ms: u64) -> Snapshot {
    let header = Header { cluster: "a".into(), proxy: "n0".into(), incarnation: 4, writes: 2, written: THEN };
    let part = Part { name: "list".into(), version: 1, ballot: 0, incarnation: 4, age_ms, bytes: vec![1] };
    Snapshot { header, parts: vec![part] }
}

/// A moment so much later by each clock, in milliseconds.
fn later(wall: i64, up: i64, boot: u128) -> ClockReading {
    ClockReading {
        wall_ms: THEN.wall_ms.wrapping_add_signed(wall),
        up_ms: THEN.up_ms.wrapping_add_signed(up),
        boot,
    }
}

#[test]
fn age_is_told_by_whichever_clock_says_more() {
    let week = 7 * 24 * HOUR.cast_signed();
    let old = |age_ms| Err(Rejection::TooOld { age_ms, max_ms: 60_000 });
    let ahead = |by_ms| Err(Rejection::FromTheFuture { by_ms });
    for (what, now, expected) in [
        ("at once", later(0, 0, 9), Ok(0)),
        ("a second later", later(1_000, 1_000, 9), Ok(1_000)),
        ("at the bound", later(60_000, 60_000, 9), Ok(60_000)),
        ("over it", later(60_001, 60_001, 9), old(60_001)),
        ("last week's, put back", later(week, week, 9), old(week.cast_unsigned())),
        ("the same on another start of the machine", later(week, -5, 8), old(week.cast_unsigned())),
        ("the clock went back by an hour, and the uptime tells it", later(0, 3_600_000, 9), old(HOUR)),
        ("it went back further", later(-5_000, 1_000, 9), ahead(5_000)),
        ("it was set by less than is told from a step", later(-900, 1_000, 9), Ok(1_000)),
        ("the machine was started again, and its clock is behind", later(-5_000, -10, 8), ahead(5_000)),
        ("started again, a moment ago", later(20_000, -10, 8), Ok(20_000)),
        ("nobody knows which start: the uptime is not used", later(10, -10, 0), Ok(10)),
        ("an uptime that fell within one start", later(10, -10, 9), ahead(10)),
        (
            "the clock went forward by a week: it cannot be told from age",
            later(week, 10, 9),
            old(week.cast_unsigned()),
        ),
    ] {
        let judged = validate(kept(0), &mine(), now, BOUNDS).map(|found| found.age_ms());
        assert_eq!(judged, expected, "{what}");
    }
}

#[test]
fn what_is_anothers_is_never_taken() {
    let other = |change: fn(&mut Identity)| {
        let mut mine = mine();
        change(&mut mine);
        validate(kept(0), &mine, THEN, BOUNDS).expect_err("refused")
    };
    assert!(matches!(other(|mine| mine.cluster.clear()), Rejection::Cluster { .. }));
    assert!(matches!(other(|mine| mine.proxy.push('1')), Rejection::Proxy { .. }));
}

#[test]
fn a_part_is_judged_by_its_own_age_and_form_too_and_is_taken_once() {
    let found = |age| validate(kept(age), &mine(), later(20_000, 20_000, 9), BOUNDS).expect("fresh");
    assert_eq!(found(40_000).take("list", 1).map(|part| part.age_ms), Ok(60_000));
    assert_eq!(found(40_001).take("list", 1), Err(Rejection::TooOld { age_ms: 60_001, max_ms: 60_000 }));
    assert!(matches!(found(0).take("list", 2), Err(Rejection::PartVersion { found: 1, own: 2, .. })));
    let mut once = found(0);
    assert!(once.take("list", 1).is_ok());
    assert_eq!(once.take("list", 1), Err(Rejection::MissingPart("list".into())));
}

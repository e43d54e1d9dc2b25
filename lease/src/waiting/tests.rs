//! Unit tests of `waiting`.

use super::*;

const LEASE: Micros = 6_000_000;

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

/// What one concludes at 20 s that was started at 0 and asked `asks` times, by what each voter said and when it was asked.
fn concluded(asks: u64, said: &[(&str, Micros, Option<Known>, bool)]) -> (bool, Reason) {
    concluded_with(0, asks, said)
}

fn concluded_with(
    known_wait: Micros,
    asks: u64,
    said: &[(&str, Micros, Option<Known>, bool)],
) -> (bool, Reason) {
    let config = Config { lease: LEASE, alone_after: 15_000_000, known_wait, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
    let mut waiting = Waiting { asks, ..Waiting::new(0) };
    for (who, asked, known, knows) in said {
        let (leave, holder, named) = Default::default();
        let word = Word { known: *known, knows: *knows, leave, holder, named };
        waiting.told(&name(who), *asked, word, *knows);
    }
    (waiting.conclude(20_000_000, &config, &voters, (&name("q"), None)), waiting.reason)
}

#[test]
fn a_majority_has_forgotten_only_where_it_says_so_within_one_lease_and_is_silent_no_more() {
    let (now, before) = (20_000_000, 20_000_000 - LEASE - 1);
    let forgot = Some(Known::Recalling);
    let said = [("a", now, forgot, false), ("b", now - LEASE, Some(Known::Cold), false)];
    assert_eq!(concluded(10, &said), (true, Reason::Forgotten));
    assert_eq!(concluded_with(21_000_000, 10, &said), (false, Reason::Operators));
    // A holder's lease may run that the silent one granted, or that was granted after the older answer.
    for other in
        [("b", now, Some(Known::Silent), false), ("b", before, forgot, false), ("q", now, forgot, false)]
    {
        assert!(!concluded(10, &[("a", now, forgot, false), other]).0, "{other:?}");
    }
}

#[test]
fn all_have_forgotten_only_where_each_voter_says_so() {
    let config = Config { lease: LEASE, ..Config::default() };
    let voters = Voters::new(["a", "b", "c"].map(name).to_vec(), Vec::new()).expect("voters");
    let mut waiting = Waiting::new(0);
    let mut all = |who: &str, known| {
        let (leave, holder, named) = Default::default();
        waiting.told(&name(who), 0, Word { known, knows: false, leave, holder, named }, false);
        waiting.all_forgot(LEASE, &config, &voters, (&name("a"), Some(Known::Silent)))
    };
    assert!(!all("b", Some(Known::Silent)) && !all("c", Some(Known::Sure)) && !all("c", None));
    assert!(all("c", Some(Known::Cold)));
    assert!(!waiting.all_forgot(LEASE + 1, &config, &voters, (&name("a"), Some(Known::Silent))));
}

#[test]
fn one_that_was_stopped_itself_has_not_waited() {
    assert_eq!(concluded(15, &[]), (true, Reason::Unanswered));
    assert_eq!(concluded(14, &[]), (false, Reason::Answers));
    // And while one lives that knows, with a majority that votes, a holder will let it in.
    let sure = |who, knows| (who, 20_000_000, Some(Known::Sure), knows);
    assert_eq!(concluded(60, &[sure("a", true), sure("b", false)]), (false, Reason::LetIn));
    assert_eq!(concluded(60, &[sure("a", true)]), (true, Reason::Seen(name("a"))));
}

//! Unit tests of `voters`.

use super::*;

fn names(text: &str) -> Vec<Name> {
    text.split_whitespace().map(|name| Name::new(name).expect("a name")).collect()
}

fn voters(now: &str, next: &str) -> Voters {
    Voters::new(names(now), names(next)).expect("good")
}

#[test]
fn an_even_list_and_a_double_name_are_refused() {
    for (now, next, why) in [
        ("", "", VotersError::Count),
        ("a b", "", VotersError::Count),
        ("a b c d e f g h i", "", VotersError::Count),
        ("a b a", "", VotersError::Duplicate),
        ("a", "b c", VotersError::Count),
    ] {
        assert_eq!(Voters::new(names(now), names(next)), Err(why), "{now}, {next}");
    }
}

#[test]
fn every_two_majorities_along_a_change_have_a_voter_in_common() {
    let steps = [("a b c", ""), ("a b c", "c d e"), ("c d e", "")].map(|(now, next)| voters(now, next));
    let all = names("a b c d e");
    let sets = |v: &Voters| -> Vec<u32> {
        (0..32_u32)
            .filter(|set| {
                v.has_majority(|name| all.iter().position(|n| n == name).is_some_and(|p| set >> p & 1 == 1))
            })
            .collect()
    };
    for (one, other) in [(0, 0), (0, 1), (1, 1), (1, 2), (2, 2)] {
        let (one, other) = (&steps[one], &steps[other]);
        assert!(one.overlaps(other.hashes()));
        for a in sets(one) {
            assert!(sets(other).iter().all(|b| a & b != 0), "{one:?} {other:?}");
        }
    }
    // Why the middle step must be there, and what happens where it was left out.
    assert!(!steps[0].overlaps(steps[2].hashes()));
    assert!(sets(&steps[0]).iter().any(|a| sets(&steps[2]).iter().any(|b| a & b == 0)));
}

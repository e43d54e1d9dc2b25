//! Unit tests of the voter configuration.

use super::*;

fn names(text: &str) -> Vec<Name> {
    text.split_whitespace().map(|name| Name::new(name).expect("valid name")).collect()
}

fn voters(current: &str, next: &str) -> Voters {
    Voters::new(names(current), names(next)).expect("valid voters")
}

#[test]
fn even_voter_counts_and_duplicate_names_are_rejected() {
    for (current, next, expected_error) in [
        ("", "", VotersError::Count),
        ("a b", "", VotersError::Count),
        ("a b c d e f g h i", "", VotersError::Count),
        ("a b a", "", VotersError::Duplicate),
        ("a", "b c", VotersError::Count),
    ] {
        assert_eq!(Voters::new(names(current), names(next)), Err(expected_error), "{current}, {next}");
    }
}

#[test]
fn majorities_of_consecutive_voter_configurations_intersect() {
    let configurations =
        [("a b c", ""), ("a b c", "c d e"), ("c d e", "")].map(|(current, next)| voters(current, next));
    let all = names("a b c d e");
    let majorities = |v: &Voters| -> Vec<u32> {
        (0..32_u32)
            .filter(|set| {
                v.has_majority(|name| all.iter().position(|n| n == name).is_some_and(|i| set >> i & 1 == 1))
            })
            .collect()
    };
    for (first, second) in [(0, 0), (0, 1), (1, 1), (1, 2), (2, 2)] {
        let (first, second) = (&configurations[first], &configurations[second]);
        assert!(first.overlaps(second.hashes()));
        for first_majority in majorities(first) {
            assert!(
                majorities(second).iter().all(|second_majority| first_majority & second_majority != 0),
                "{first:?} {second:?}"
            );
        }
    }
    // Without the intermediate configuration, which has both sets, two majorities without a common voter
    // exist.
    assert!(!configurations[0].overlaps(configurations[2].hashes()));
    assert!(majorities(&configurations[0]).iter().any(|first_majority| majorities(&configurations[2])
        .iter()
        .any(|second_majority| first_majority & second_majority == 0)));
}

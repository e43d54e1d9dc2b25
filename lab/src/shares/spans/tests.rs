//! Unit tests of `spans`.

use super::*;

#[test]
fn what_ends_when_another_begins_does_not_stand_beside_it() {
    assert_eq!(crowd(&[(0, 5), (5, 9), (9, 9)], 1), (1, vec![]));
    assert_eq!(crowd(&[(0, 5), (4, 9), (4, 6)], 1), (3, vec![(4, 6, 3)]));
    assert_eq!(without((0, 10), &union(vec![(7, 8), (2, 4), (3, 5)])), [(0, 2), (5, 7), (8, 10)]);
}

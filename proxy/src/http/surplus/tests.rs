//! Unit tests of `surplus`.

use super::*;

const LATE: Duration = Duration::from_millis(300);

#[test]
fn a_host_is_distrusted_for_a_time_after_surplus_bytes_and_others_are_not() {
    let (at, surplus) = (Instant::now(), Surplus::default());
    let (spoilt, other) = (surplus.of_host(), surplus.of_host());
    assert!(!spoilt.is_distrusted(at));
    spoilt.clone().record(at, LATE);
    assert!(spoilt.is_distrusted(at + DISTRUST_TIME - LATE));
    assert!(!spoilt.is_distrusted(at + DISTRUST_TIME));
    assert!(!other.is_distrusted(at));
    assert_eq!(surplus.count(), 1);
}

#[test]
fn connections_rest_longer_than_surplus_bytes_have_lately_been_late() {
    let (at, surplus) = (Instant::now(), Surplus::default());
    assert_eq!(surplus.rest(at), MIN_REST);
    surplus.of_host().record(at, LATE);
    surplus.of_host().record(at + LATE, LATE / 3);
    assert_eq!(surplus.rest(at + LATE), LATE * REST_FACTOR, "the longest counts");
    let later = at + LATE + DISTRUST_TIME;
    assert_eq!(surplus.rest(later), MIN_REST);
    surplus.of_host().record(later, MIN_REST / 10);
    assert_eq!(surplus.rest(later), MIN_REST, "older ones are forgotten");
}

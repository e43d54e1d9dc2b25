//! Unit tests of `pace`.

use super::*;

#[test]
fn what_comes_evenly_has_a_peak_of_one_and_what_comes_at_once_of_more() {
    let (mut even, mut once) = (Pace::default(), Pace::default());
    for tenth in 0..40 {
        even.note(tenth * TENTH + 1);
        even.note(tenth * TENTH + 99_999);
        once.note(2_050_000);
        once.note(2_950_000);
    }
    even.note(Micros::MAX);
    let of = |pace: &Pace, from| pace.stampede("x", from).over_mean;
    assert_eq!([of(&even, 2_000_000), of(&once, 2_000_000), of(&once, 3_000_000)], [1.0, 5.0, 0.0]);
    assert_eq!(even.stampede("x", 0).count, 20);
    let late = once.stampede("x", 1_000_000);
    assert_eq!((late.count, late.peak, late.from_ms), (80, 40, 1_000.0));
}

//! Unit tests of `reuse`.

use super::*;

#[test]
fn connections_are_stale_from_the_age_at_which_they_break_oftener() {
    let (soon, short, long) =
        (Duration::from_millis(2), Duration::from_millis(50), Duration::from_millis(400));
    let mut reuse = ReuseStats::default();
    for use_of in 0..40 {
        reuse.record(soon, use_of % 10 == 0);
        reuse.record(short, use_of % 10 == 0);
        reuse.record(long, use_of % 2 == 0);
    }
    assert!(reuse.is_stale(long) && reuse.is_stale(2 * long), "half of those uses broke");
    assert!(!reuse.is_stale(short) && !reuse.is_stale(soon), "no oftener than at once");
    (0..60).for_each(|_| reuse.decay());
    assert!(!reuse.is_stale(long), "tried again after a while");
}

//! Unit tests of `pod`.

use super::*;

#[test]
fn a_key_is_a_repeat_within_its_window_alone() {
    let mut pod = Pod::default();
    assert!(!pod.is_repeat("a", 0, 100));
    assert!(pod.is_repeat("a", 99, 100) && !pod.is_repeat("b", 99, 100));
    assert!(!pod.is_repeat("a", 100, 100), "the window began with the first");
}

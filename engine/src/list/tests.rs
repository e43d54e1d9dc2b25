//! Unit tests of `list`.

use super::*;

#[test]
fn a_switch_is_told_once_and_what_is_no_longer_listed_is_gone() {
    let list = |hosts: &[(&str, u32, Health)]| -> Healths {
        hosts.iter().map(|&(name, server, health)| (name.to_owned(), (ServerId(server), health))).collect()
    };
    let before = list(&[("a", 1, Health::Ready), ("b", 2, Health::Ready), ("c", 3, Health::Terminating)]);
    let after = list(&[("a", 1, Health::Ready), ("b", 2, Health::Terminating), ("d", 4, Health::Ready)]);
    let told = [("c", 3, Health::Gone), ("b", 2, Health::Terminating), ("d", 4, Health::Ready)];
    let told = told.map(|(name, server, health)| (name.to_owned(), ServerId(server), health));
    assert_eq!(switches(&before, &after), told);
    assert!(switches(&after, &after).is_empty());
}

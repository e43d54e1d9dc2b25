//! Unit tests of `ports`.

use super::*;
use std::collections::HashSet;

#[test]
fn what_is_given_is_given_once_and_at_an_address_of_its_own() {
    let given: Vec<_> = (0..200).map(|_| free_address().expect("free")).collect();
    assert_eq!(given.iter().collect::<HashSet<_>>().len(), 200);
    assert!(given.iter().all(|at| at.ip() != Ipv4Addr::LOCALHOST), "{given:?}");
}

#[test]
fn no_two_rigs_have_one_network() {
    let held: Vec<_> = (0..20).map(|_| Network::take().expect("a network")).collect();
    assert_eq!(held.iter().map(|network| network.number).collect::<HashSet<_>>().len(), 20);
}

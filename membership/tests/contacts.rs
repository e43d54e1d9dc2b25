//! Two contacts that others come to first ask each other all the same: those that start together must not part into groups.

use flaxhead_membership::{Config, Effect, Machine, Name};
use std::net::SocketAddr;

fn started(place: u8, contacts: &[u8]) -> Machine {
    let at = |place: u8| SocketAddr::from(([10, 0, 0, place], 7_946));
    let contacts = contacts.iter().map(|contact| at(*contact)).collect();
    let name = Name::new(&format!("p{place}")).expect("a name");
    Machine::new(name, at(place), contacts, Config::default(), u64::from(place) + 1, 0)
}

#[test]
fn a_contact_that_others_came_to_first_still_asks_the_other_contact() {
    let (mut contact, other) = (started(1, &[1, 2]), started(3, &[1, 2]));
    let packet = other.full_state();
    contact.receive_full_state(1_000, SocketAddr::from(([10, 0, 0, 3], 9)), &packet, &mut Vec::new());
    assert_eq!(contact.table().others().count(), 1);
    let mut now = 2_000;
    let asked = std::iter::from_fn(|| {
        let mut out = Vec::new();
        contact.tick(now, &mut out);
        now = contact.next_wake().max(now + 1_000);
        (now < 2_000_000).then_some(out)
    });
    let second = SocketAddr::from(([10, 0, 0, 2], 7_946));
    assert!(asked
        .flatten()
        .any(|effect| matches!(effect, Effect::Exchange { address } if address == second)));
}

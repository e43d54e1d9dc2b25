//! Unit tests of `shown`.

use super::*;
use flaxhead_quota::{HolderRow, TenantRow as FleetRow};

/// `/shares.json` is read by others' programs: its keys and their order must not change.
#[test]
fn the_json_keeps_its_keys_and_their_order() {
    let row = TenantRow {
        tenant: "a".to_owned(),
        cap: Some(40),
        own: Some(2),
        granted: Some(3),
        share: None,
        in_hand: 4,
        lent: 5,
        waiting: 6,
        entered: 7,
        refused: 8,
        denied: 9,
        why: "w".to_owned(),
    };
    let fleet_row = FleetRow {
        name: "a".to_owned(),
        cap: Some(40),
        share: None,
        granted: 1,
        in_hand: 2,
        lent: 3,
        waiting: 4,
        refused: 5,
        held_by: vec![HolderRow { name: "n1".to_owned(), granted: 6, in_hand: 7 }],
    };
    let fleet = View { tenants: vec![fleet_row], carried: Some(8), why: vec!["w".to_owned()] };
    let shown = Shown {
        tenants: vec![row],
        all: Some(10),
        seat: Seat::Has,
        granted_by: Some("n1".to_owned()),
        fleet: Some(fleet),
    };
    let expected = concat!(
        r#"{"tenants":[{"tenant":"a","cap":40,"own":2,"granted":3,"share":null,"in_hand":4,"lent":5,"waiting":6,"#,
        r#""entered":7,"refused":8,"denied":9,"why":"w"}],"all":10,"seat":"Has","granted_by":"n1","fleet":"#,
        r#"{"tenants":[{"name":"a","cap":40,"share":null,"granted":1,"in_hand":2,"lent":3,"waiting":4,"refused":5,"#,
        r#""held_by":[{"name":"n1","granted":6,"in_hand":7}]}],"carried":8,"why":["w"]}}"#,
    );
    assert_eq!(serde_json::to_string(&shown).expect("text"), expected);
    let seats =
        [Seat::Waits, Seat::Has, Seat::Denied].map(|seat| serde_json::to_string(&seat).expect("text"));
    assert_eq!(seats, ["\"Waits\"", "\"Has\"", "\"Denied\""]);
}

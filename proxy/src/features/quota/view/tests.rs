//! Unit tests of the view.

use super::*;
use flaxhead_quota::{PermitHolderView, TenantView};

/// `/shares.json` is read by others' programs: its keys and their order must not change.
#[test]
fn the_json_keeps_its_keys_and_their_order() {
    let row = TenantStatus {
        tenant: "a".to_owned(),
        cap: Some(40),
        guaranteed: Some(2),
        granted: Some(3),
        fair_share: None,
        in_flight: 4,
        lent: 5,
        queued: 6,
        admitted: 7,
        rejected: 8,
        denied_hedges: 9,
        reason: "w".to_owned(),
    };
    let fleet_row = TenantView {
        name: "a".to_owned(),
        cap: Some(40),
        fair_share: None,
        granted: 1,
        in_flight: 2,
        lent: 3,
        queued: 4,
        rejected: 5,
        holders: vec![PermitHolderView { name: "n1".to_owned(), granted: 6, in_flight: 7 }],
    };
    let fleet = QuotaView { tenants: vec![fleet_row], capacity: Some(8), reasons: vec!["w".to_owned()] };
    let status = QuotaStatus {
        tenants: vec![row],
        total: Some(10),
        slot: Slot::Assigned,
        granted_by: Some("n1".to_owned()),
        fleet: Some(fleet),
    };
    let expected = concat!(
        r#"{"tenants":[{"tenant":"a","cap":40,"own":2,"granted":3,"share":null,"in_hand":4,"lent":5,"waiting":6,"#,
        r#""entered":7,"refused":8,"denied":9,"why":"w"}],"all":10,"seat":"Has","granted_by":"n1","fleet":"#,
        r#"{"tenants":[{"name":"a","cap":40,"share":null,"granted":1,"in_hand":2,"lent":3,"waiting":4,"refused":5,"#,
        r#""held_by":[{"name":"n1","granted":6,"in_hand":7}]}],"carried":8,"why":["w"]}}"#,
    );
    assert_eq!(serde_json::to_string(&status).expect("text"), expected);
    let slots =
        [Slot::Pending, Slot::Assigned, Slot::Denied].map(|slot| serde_json::to_string(&slot).expect("text"));
    assert_eq!(slots, ["\"Waits\"", "\"Has\"", "\"Denied\""]);
}

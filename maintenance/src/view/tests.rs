//! Unit tests of the JSON form of [`MaintenanceView`].

use super::*;

#[test]
fn json_is_flat_and_keeps_the_order_of_its_keys() {
    let text = "{\"me\":\"n1\",\"holder\":\"n0\",\"fence\":\"1.n0\",\"holds\":false,\"forgotten\":false,\
                    \"serving\":\"admitted\",\"reason\":\"let in by the holder\",\"permitted_ms\":5000,\"version\":\"1.n0.4\",\"voter\":\"sure\",\
                    \"turns\":[{\"id\":1,\"host\":\"h\",\"kind\":\"kernel\",\"by\":\"ops\",\"stage\":\"settled\",\
                    \"free\":false,\"for_ms\":20,\"lasts_ms\":1000,\"waits_for\":\"\"}],\"past\":[],\"members\":\
                    [{\"name\":\"n2\",\"life\":\"0b\",\"confirmed\":\"none\",\"heard_ms\":null,\"in_hand\":0.5}]}";
    let view: MaintenanceView = serde_json::from_str(text).expect("a view");
    assert_eq!(view.lease.leader.as_deref(), Some("n0"));
    assert_eq!(serde_json::to_string(&view).expect("text"), text);
}

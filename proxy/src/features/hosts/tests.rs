//! Unit tests of `hosts`.

use super::*;

#[test]
fn a_zone_counts_as_lost_where_all_of_its_hosts_that_were_tried_failed_last() {
    let mut observations = Observations::default();
    let hosts = (0..4_u32).map(|n| Endpoint {
        host: format!("h{n}"),
        dial: ([127, 0, 0, 1], 1).into(),
        site: if n < 2 { "a" } else { "b" }.to_owned(),
        class: String::new(),
        block: 0,
        health: Health::Ready,
        share: 1.0,
        born_ms: 0,
    });
    let list = EndpointList { seq: 1, whole: true, hosts: hosts.collect() };
    let servers: Vec<ServerId> = (0..4).map(ServerId).collect();
    observations.record_list(&list, &servers);
    for server in [0, 1, 2] {
        observations.record_outcome(ServerId(server), Outcome::NoConnection);
    }
    assert_eq!(observations.lost_zones().into_iter().collect::<Vec<_>>(), ["a"]);
    observations.record_outcome(ServerId(1), Outcome::Served);
    assert!(observations.lost_zones().is_empty());
    // And one whose hosts have all left the list, though nothing failed there.
    let gone = |host: Endpoint| Endpoint { health: Health::Terminating, ..host };
    let hosts: Vec<Endpoint> = list.hosts.into_iter().skip(2).map(gone).collect();
    observations.record_list(&EndpointList { seq: 2, whole: false, hosts }, &servers[2..]);
    assert_eq!(observations.lost_zones().into_iter().collect::<Vec<_>>(), ["b"]);
}

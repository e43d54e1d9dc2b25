use super::*;

#[test]
fn a_health_change_is_reported_once_and_what_is_no_longer_listed_is_gone() {
    let list = |hosts: &[(&str, u32, Health)]| -> HealthByHost {
        let listed = |&(name, server, health): &(&str, u32, Health)| {
            (name.to_owned(), ListedHealth { server: ServerId(server), health })
        };
        hosts.iter().map(listed).collect()
    };
    let before = list(&[("a", 1, Health::Ready), ("b", 2, Health::Ready), ("c", 3, Health::Terminating)]);
    let after = list(&[("a", 1, Health::Ready), ("b", 2, Health::Terminating), ("d", 4, Health::Ready)]);
    let expected = [("c", 3, Health::Gone), ("b", 2, Health::Terminating), ("d", 4, Health::Ready)];
    let expected = expected.map(|(host, server, health)| HealthChange {
        host: host.to_owned(),
        server: ServerId(server),
        health,
    });
    assert_eq!(health_changes(&before, &after), expected);
    assert!(health_changes(&after, &after).is_empty());
}

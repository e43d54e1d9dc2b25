//! Unit tests of `node`.

use super::*;

fn spec() -> Spec {
    Spec { slots: 2, queue: 1, thrash: 0.0, ..Spec::default() }
}

/// Ends of jobs, by asking at each moment that the node names.
fn ends(node: &mut Node) -> Vec<(u64, Micros)> {
    let mut ends = Vec::new();
    while let Some(at) = node.next_end() {
        ends.extend(node.finished(at).into_iter().map(|id| (id, at)));
    }
    ends
}

#[test]
fn jobs_share_the_core_wait_in_order_and_are_turned_away_past_the_queue() {
    let mut node = Node::warm(spec());
    let taken: Vec<_> = (1..=4).map(|id| node.arrive(0, id, 10_000.0)).collect();
    assert_eq!(taken, [Admission::Taken, Admission::Taken, Admission::Taken, Admission::Full]);
    // Two at half speed end together, then the third has the core to itself.
    assert_eq!(ends(&mut node), [(1, 20_000), (2, 20_000), (3, 30_000)]);
}

#[test]
fn a_pause_delays_what_is_in_work_by_its_whole_length() {
    let mut node = Node::warm(spec());
    node.arrive(0, 1, 10_000.0);
    node.pause(5_000, 2_005_000);
    assert_eq!(ends(&mut node), [(1, 2_010_000)]);
}

#[test]
fn more_in_hand_than_the_crowd_slows_all() {
    let mut node = Node::warm(Spec { slots: 4, crowd: 2, thrash: 0.5, ..spec() });
    (1..=4).for_each(|id| assert_eq!(node.arrive(0, id, 1_000.0), Admission::Taken));
    assert_eq!(ends(&mut node)[3].1, 8_000, "four at a quarter of half the speed");
}

#[test]
fn a_cold_node_is_slow_and_warms_with_time_or_with_work() {
    let cold = Spec { cold_share: 0.1, cold_ms: 1_000.0, ..spec() };
    let mut node = Node::cold(cold.clone(), 0);
    node.arrive(0, 1, 10_000.0);
    let first = ends(&mut node)[0].1;
    assert!((50_000..100_000).contains(&first), "{first}: a tenth of the speed, and rising");
    assert_eq!((node.warmth(1_000_000), node.warmth(500_000)), (1.0, 0.55));
    let mut busy = Node::cold(Spec { warm_work_ms: 10.0, ..cold }, 0);
    busy.arrive(0, 1, 10_000.0);
    let at = ends(&mut busy)[0].1;
    assert!(busy.warmth(at) > 0.99 && at < first, "warm by its work at {at}");
}

#[test]
fn a_cold_node_that_is_sent_too_much_falls_and_stays_down_and_a_warm_one_does_not() {
    let spec = Spec { slots: 100, ..spec() };
    let mut node = Node::cold(spec.clone(), 0);
    // 0.12 of a core times 2.5 for 1.5 s is 450 ms of work, and a tenth for chance.
    for id in 0..4 {
        assert_eq!(node.arrive(1_000, id, 100_000.0), Admission::Taken);
    }
    assert_eq!(node.arrive(1_000, 4, 100_000.0), Admission::Down);
    assert_eq!(node.arrive(90_000_000, 5, 1.0), Admission::Down, "it stays down");
    let mut warm = Node::warm(spec);
    assert!((0..90).all(|id| warm.arrive(1_000, id, 100_000.0) == Admission::Taken));
}

#[test]
fn of_a_client_that_has_gone_only_waiting_work_is_dropped_unless_work_can_be_stopped() {
    let mut node = Node::warm(spec());
    (1..=3).for_each(|id| assert_eq!(node.arrive(0, id, 1_000.0), Admission::Taken));
    assert!(node.leave(10, 3) && !node.leave(10, 1));
    assert_eq!(node.in_hand(), 2);
    let mut stops = Node::warm(Spec { cancel_stops: true, ..spec() });
    stops.arrive(0, 1, 1_000.0);
    assert!(stops.leave(10, 1) && stops.in_hand() == 0);
}

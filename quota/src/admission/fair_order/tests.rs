use super::*;

/// Guards against tenants that run more than one call ahead of their share, or fall more than one behind.
#[test]
fn where_all_wait_each_has_its_part_to_within_a_call_at_every_moment() {
    for weights in
        [[5.0, 3.0, 3.0, 1.0], [40.0, 39.0, 2.0, 1.0], [7.0, 7.0, 7.0, 1.0], [59.0, 31.0, 23.0, 17.0]]
    {
        let (mut order, mut had) = (FairOrder::new(4), [0.0; 4]);
        for calls in 1..500 {
            had[order.next(|n| Some(weights[n]), |n| weights[n]).expect("all wait")] += 1.0;
            let part = |n: usize| f64::from(calls) * weights[n] / weights.iter().sum::<f64>();
            assert!((0..4).all(|n| (had[n] - part(n)).abs() < 1.0), "{weights:?}: {had:?}");
        }
    }
}

use super::*;

/// Guards against serving tenants in fixed rounds, which puts some of them more than one call ahead of their
/// share or behind it.
#[test]
fn waiting_tenants_get_their_share_to_within_one_call_at_any_time() {
    for weights in
        [[5.0, 3.0, 3.0, 1.0], [40.0, 39.0, 2.0, 1.0], [7.0, 7.0, 7.0, 1.0], [59.0, 31.0, 23.0, 17.0]]
    {
        let (mut order, mut admitted) = (FairOrder::new(4), [0.0; 4]);
        for calls in 1..500 {
            admitted[order
                .next(|tenant| Some(weights[tenant]), |tenant| weights[tenant])
                .expect("a waiting tenant")] += 1.0;
            let share = |tenant: usize| f64::from(calls) * weights[tenant] / weights.iter().sum::<f64>();
            assert!(
                (0..4).all(|tenant| (admitted[tenant] - share(tenant)).abs() < 1.0),
                "{weights:?}: {admitted:?}"
            );
        }
    }
}

//! Unit tests of `plan`.

use super::*;

const MB: usize = 1_000_000;

/// Guards against a budget that promises more than the limit.
#[test]
fn all_parts_together_stay_within_the_limit() {
    for limit_mb in 20..=4_096 {
        for feature_bytes in [0, MB] {
            let limit = limit_mb * MB;
            let plan = MemoryPlan::new(limit, feature_bytes);
            let connections = plan.connections_each_way * CONNECTION_PAIR_BYTES;
            let lists = plan.list_text_bytes * LIST_TEXT_DIVISOR;
            let parts = connections + plan.request_bytes + plan.response_bytes + lists;
            assert!(PROGRAM_BYTES + feature_bytes + parts <= limit, "{limit_mb} MB: {plan:?}");
        }
    }
}

/// Clients may hold a third of the descriptors, of which there are 1,024 at the most, with the least memory too.
#[test]
fn the_least_memory_has_places_for_a_third_of_the_descriptors() {
    let plan = MemoryPlan::new(32 * MB, MB);
    assert!(plan.connections_each_way > 1_024 / 3, "{plan:?}");
}

#[test]
fn the_pools_hold_messages_of_the_largest_size_whatever_the_limit() {
    for limit in [0, MB, 8 * MB, 32 * MB] {
        let plan = MemoryPlan::new(limit, MB);
        assert!(plan.request_bytes >= MIN_POOL_BYTES && plan.response_bytes >= MIN_POOL_BYTES, "{plan:?}");
        assert!(plan.connections_each_way >= MIN_CONNECTIONS, "{plan:?}");
    }
}

//! Unit tests of `idempotency_cache`.

use super::*;
use flaxhead_policy::DedupScope;
use proptest::prelude::*;

const RETENTION: Micros = 1_000;
const ONCE: Idempotency = Idempotency::NonIdempotent;
const KEYED: Idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 500 };

fn cache(entries: usize) -> IdempotencyCache<&'static str> {
    IdempotencyCache::new(IdempotencyCacheConfig { max_entries: entries, retention: RETENTION })
}

fn allowed(remaining_attempts: u32, is_retry: bool) -> Result<Allowance, Rejection> {
    Ok(Allowance { remaining_attempts, is_retry })
}

#[test]
fn a_single_shot_call_is_retried_only_where_it_never_ran() {
    let mut cache = cache(9);
    assert_eq!(cache.begin(0, &"a", ONCE, 3, PreviousAttempts(0)), allowed(3, false));
    assert_eq!(cache.begin(1, &"a", ONCE, 3, PreviousAttempts(1)), Err(Rejection::InFlight));
    cache.end(2, &"a", 0, false);
    assert_eq!(cache.begin(3, &"a", ONCE, 3, PreviousAttempts(0)), allowed(3, false), "it never went out");
    cache.end(4, &"a", 1, false);
    assert_eq!(
        cache.begin(5, &"a", ONCE, 3, PreviousAttempts(1)),
        allowed(2, true),
        "it was turned away once"
    );
    cache.end(6, &"a", 1, true);
    assert_eq!(cache.begin(7, &"a", ONCE, 3, PreviousAttempts(0)), Err(Rejection::MayHaveRun));
    assert_eq!(cache.begin(8, &"b", ONCE, 3, PreviousAttempts(1)), Err(Rejection::UnknownAttempt));
}

#[test]
fn attempts_of_all_layers_count_together() {
    let mut cache = cache(9);
    assert_eq!(cache.begin(0, &"k", KEYED, 3, PreviousAttempts(0)), allowed(3, false));
    cache.end(1, &"k", 2, true);
    assert_eq!(cache.begin(2, &"k", KEYED, 3, PreviousAttempts(1)), allowed(1, true));
    cache.end(3, &"k", 1, true);
    assert_eq!(cache.begin(4, &"k", KEYED, 3, PreviousAttempts(2)), Err(Rejection::Exhausted));
    assert_eq!(
        cache.begin(5, &"f", Idempotency::Idempotent, 3, PreviousAttempts(2)),
        allowed(1, true),
        "by its own word"
    );
    assert_eq!(
        cache.begin(6, &"g", Idempotency::Idempotent, 3, PreviousAttempts(3)),
        Err(Rejection::Exhausted)
    );
}

#[test]
fn an_entry_lasts_as_long_as_configured_and_a_full_cache_rejects_new_calls() {
    let mut cache = cache(2);
    cache.begin(0, &"a", ONCE, 3, PreviousAttempts(0)).expect("new");
    cache.end(10, &"a", 1, true);
    cache.begin(20, &"b", ONCE, 3, PreviousAttempts(0)).expect("new");
    assert_eq!(cache.begin(30, &"c", ONCE, 3, PreviousAttempts(0)), Err(Rejection::CacheFull));
    assert_eq!(
        cache.begin(10 + RETENTION - 1, &"a", ONCE, 3, PreviousAttempts(0)),
        Err(Rejection::MayHaveRun)
    );
    assert_eq!(cache.begin(10 + RETENTION, &"c", ONCE, 3, PreviousAttempts(0)), allowed(3, false));
    assert_eq!(
        cache.begin(10 * RETENTION, &"b", ONCE, 3, PreviousAttempts(0)),
        Err(Rejection::InFlight),
        "never while open"
    );
}

proptest! {
    #[test]
    fn a_single_shot_call_never_goes_out_after_a_run_and_entries_are_bounded(
        steps in prop::collection::vec((0_u8..5, 0_u64..40, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let mut cache = IdempotencyCache::new(IdempotencyCacheConfig { max_entries: 3, retention: 100 });
        let (mut now, mut open, mut ran) = (0, HashMap::new(), HashMap::new());
        for (key, passed, sent, runs) in steps {
            now += passed;
            if open.remove(&key).is_some() {
                cache.end(now, &key, u32::from(sent), sent && runs);
                if sent && runs {
                    ran.insert(key, now);
                }
            } else if cache.begin(now, &key, ONCE, 2, PreviousAttempts(0)).is_ok() {
                let fresh = ran.get(&key).is_none_or(|at| at + 100 <= now);
                prop_assert!(fresh, "{key} ran at {:?} and goes out again at {now}", ran.get(&key));
                open.insert(key, ());
            }
            prop_assert!(cache.len() <= 3);
        }
    }
}

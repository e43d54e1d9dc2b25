use super::*;
use flaxhead_policy::DedupScope;
use proptest::prelude::*;

const RETENTION: Micros = 1_000;
const NON_IDEMPOTENT: Idempotency = Idempotency::NonIdempotent;
const KEYED: Idempotency = Idempotency::Keyed { scope: DedupScope::Cell, window: 500 };

fn cache(entries: usize) -> IdempotencyCache<&'static str> {
    IdempotencyCache::new(IdempotencyCacheConfig { max_entries: entries, retention: RETENTION })
}

fn allowed(remaining_attempts: u32, is_retry: bool) -> Result<Allowance, Rejection> {
    Ok(Allowance { remaining_attempts, is_retry })
}

#[test]
fn a_non_idempotent_call_is_retried_only_if_it_cannot_have_run() {
    let mut cache = cache(9);
    assert_eq!(cache.begin(0, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(0)), allowed(3, false));
    assert_eq!(cache.begin(1, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(1)), Err(Rejection::InFlight));
    cache.end(2, &"a", 0, false);
    assert_eq!(cache.begin(3, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(0)), allowed(3, false), "not sent");
    cache.end(4, &"a", 1, false);
    assert_eq!(
        cache.begin(5, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(1)),
        allowed(2, true),
        "rejected by one host"
    );
    cache.end(6, &"a", 1, true);
    assert_eq!(cache.begin(7, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(0)), Err(Rejection::MayHaveRun));
    assert_eq!(cache.begin(8, &"b", NON_IDEMPOTENT, 3, PreviousAttempts(1)), Err(Rejection::UnknownAttempt));
}

#[test]
fn attempts_of_all_layers_count_toward_one_limit() {
    let mut cache = cache(9);
    assert_eq!(cache.begin(0, &"k", KEYED, 3, PreviousAttempts(0)), allowed(3, false));
    cache.end(1, &"k", 2, true);
    assert_eq!(cache.begin(2, &"k", KEYED, 3, PreviousAttempts(1)), allowed(1, true));
    cache.end(3, &"k", 1, true);
    assert_eq!(cache.begin(4, &"k", KEYED, 3, PreviousAttempts(2)), Err(Rejection::Exhausted));
    assert_eq!(
        cache.begin(5, &"f", Idempotency::Idempotent, 3, PreviousAttempts(2)),
        allowed(1, true),
        "the caller reports 2 attempts"
    );
    assert_eq!(
        cache.begin(6, &"g", Idempotency::Idempotent, 3, PreviousAttempts(3)),
        Err(Rejection::Exhausted)
    );
}

#[test]
fn entries_expire_after_the_retention_and_a_full_cache_rejects_new_calls() {
    let mut cache = cache(2);
    cache.begin(0, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(0)).expect("new");
    cache.end(10, &"a", 1, true);
    cache.begin(20, &"b", NON_IDEMPOTENT, 3, PreviousAttempts(0)).expect("new");
    assert_eq!(cache.begin(30, &"c", NON_IDEMPOTENT, 3, PreviousAttempts(0)), Err(Rejection::CacheFull));
    assert_eq!(
        cache.begin(10 + RETENTION - 1, &"a", NON_IDEMPOTENT, 3, PreviousAttempts(0)),
        Err(Rejection::MayHaveRun)
    );
    assert_eq!(cache.begin(10 + RETENTION, &"c", NON_IDEMPOTENT, 3, PreviousAttempts(0)), allowed(3, false));
    assert_eq!(
        cache.begin(10 * RETENTION, &"b", NON_IDEMPOTENT, 3, PreviousAttempts(0)),
        Err(Rejection::InFlight),
        "an entry in flight does not expire"
    );
}

proptest! {
    #[test]
    fn a_non_idempotent_call_never_runs_twice_within_the_retention_and_entries_are_bounded(
        steps in prop::collection::vec((0_u8..5, 0_u64..40, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let mut cache = IdempotencyCache::new(IdempotencyCacheConfig { max_entries: 3, retention: 100 });
        let (mut now, mut in_flight, mut ran) = (0, HashMap::new(), HashMap::new());
        for (key, elapsed, sent, runs) in steps {
            now += elapsed;
            if in_flight.remove(&key).is_some() {
                cache.end(now, &key, u32::from(sent), sent && runs);
                if sent && runs {
                    ran.insert(key, now);
                }
            } else if cache.begin(now, &key, NON_IDEMPOTENT, 2, PreviousAttempts(0)).is_ok() {
                let may_run_again = ran.get(&key).is_none_or(|at| at + 100 <= now);
                prop_assert!(may_run_again, "{key} ran at {:?} and is allowed again at {now}", ran.get(&key));
                in_flight.insert(key, ());
            }
            prop_assert!(cache.len() <= 3);
        }
    }
}

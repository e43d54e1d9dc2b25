//! Unit tests of `memory`.

use super::*;
use flaxhead_policy::Scope;
use proptest::prelude::*;

const KEEP: Micros = 1_000;
const ONCE: Repeat = Repeat::SingleShot;
const KEYED: Repeat = Repeat::Guarded { scope: Scope::Cell, window: 500 };

fn memory(entries: usize) -> Memory<&'static str> {
    Memory::new(MemorySpec { entries, keep: KEEP })
}

fn allowed(attempts: u32, again: bool) -> Result<Allowed, Refusal> {
    Ok(Allowed { attempts, again })
}

#[test]
fn what_must_not_run_twice_comes_again_only_where_it_never_ran() {
    let mut memory = memory(9);
    assert_eq!(memory.begin(0, &"a", ONCE, 3, Tries(0)), allowed(3, false));
    assert_eq!(memory.begin(1, &"a", ONCE, 3, Tries(1)), Err(Refusal::Open));
    memory.end(2, &"a", 0, false);
    assert_eq!(memory.begin(3, &"a", ONCE, 3, Tries(0)), allowed(3, false), "it never went out");
    memory.end(4, &"a", 1, false);
    assert_eq!(memory.begin(5, &"a", ONCE, 3, Tries(1)), allowed(2, true), "it was turned away once");
    memory.end(6, &"a", 1, true);
    assert_eq!(memory.begin(7, &"a", ONCE, 3, Tries(0)), Err(Refusal::MayHaveRun));
    assert_eq!(memory.begin(8, &"b", ONCE, 3, Tries(1)), Err(Refusal::Unknown));
}

#[test]
fn attempts_of_all_layers_count_together() {
    let mut memory = memory(9);
    assert_eq!(memory.begin(0, &"k", KEYED, 3, Tries(0)), allowed(3, false));
    memory.end(1, &"k", 2, true);
    assert_eq!(memory.begin(2, &"k", KEYED, 3, Tries(1)), allowed(1, true));
    memory.end(3, &"k", 1, true);
    assert_eq!(memory.begin(4, &"k", KEYED, 3, Tries(2)), Err(Refusal::Exhausted));
    assert_eq!(memory.begin(5, &"f", Repeat::Free, 3, Tries(2)), allowed(1, true), "by its own word");
    assert_eq!(memory.begin(6, &"g", Repeat::Free, 3, Tries(3)), Err(Refusal::Exhausted));
}

#[test]
fn an_entry_lasts_as_long_as_is_said_and_a_full_memory_refuses_new_calls() {
    let mut memory = memory(2);
    memory.begin(0, &"a", ONCE, 3, Tries(0)).expect("new");
    memory.end(10, &"a", 1, true);
    memory.begin(20, &"b", ONCE, 3, Tries(0)).expect("new");
    assert_eq!(memory.begin(30, &"c", ONCE, 3, Tries(0)), Err(Refusal::Full));
    assert_eq!(memory.begin(10 + KEEP - 1, &"a", ONCE, 3, Tries(0)), Err(Refusal::MayHaveRun));
    assert_eq!(memory.begin(10 + KEEP, &"c", ONCE, 3, Tries(0)), allowed(3, false));
    assert_eq!(memory.begin(10 * KEEP, &"b", ONCE, 3, Tries(0)), Err(Refusal::Open), "never while open");
}

proptest! {
    #[test]
    fn a_single_shot_call_never_goes_out_after_a_run_and_entries_are_bounded(
        steps in prop::collection::vec((0_u8..5, 0_u64..40, any::<bool>(), any::<bool>()), 1..300),
    ) {
        let mut memory = Memory::new(MemorySpec { entries: 3, keep: 100 });
        let (mut now, mut open, mut ran) = (0, HashMap::new(), HashMap::new());
        for (key, passed, sent, runs) in steps {
            now += passed;
            if open.remove(&key).is_some() {
                memory.end(now, &key, u32::from(sent), sent && runs);
                if sent && runs {
                    ran.insert(key, now);
                }
            } else if memory.begin(now, &key, ONCE, 2, Tries(0)).is_ok() {
                let fresh = ran.get(&key).is_none_or(|at| at + 100 <= now);
                prop_assert!(fresh, "{key} ran at {:?} and goes out again at {now}", ran.get(&key));
                open.insert(key, ());
            }
            prop_assert!(memory.len() <= 3);
        }
    }
}

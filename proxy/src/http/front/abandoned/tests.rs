//! Unit tests of `abandoned`.

use super::*;

#[tokio::test(start_paused = true)]
async fn an_abandoned_call_is_remembered_for_a_while_and_their_number_is_bounded() {
    let calls = AbandonedCalls::default();
    for number in 0..=MAX_CALLS {
        calls.insert(&number.to_be_bytes());
    }
    assert!(!calls.contains(&0_usize.to_be_bytes()), "the oldest");
    assert!(calls.contains(&1_usize.to_be_bytes()) && calls.contains(&MAX_CALLS.to_be_bytes()));
    tokio::time::advance(MEMORY_TIME).await;
    assert!(!calls.contains(&MAX_CALLS.to_be_bytes()));
    assert!(calls.0.borrow().ids.is_empty() && calls.0.borrow().order.is_empty());
}

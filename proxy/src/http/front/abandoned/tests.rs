//! Unit tests of `abandoned`.

use super::*;

#[tokio::test(start_paused = true)]
async fn an_abandoned_call_is_remembered_for_a_while_and_their_number_is_bounded() {
    let calls = AbandonedCalls::default();
    for number in 0..=MAX_CALLS {
        calls.insert(calls.hash(&number.to_be_bytes()));
    }
    let contains = |number: usize| calls.contains(calls.hash(&number.to_be_bytes()));
    assert!(!contains(0), "the oldest");
    assert!(contains(1) && contains(MAX_CALLS));
    tokio::time::advance(MEMORY_TIME).await;
    assert!(!contains(MAX_CALLS));
    assert!(calls.0.borrow().ids.is_empty() && calls.0.borrow().order.is_empty());
}

//! Unit tests of `pool`.

use super::*;
use std::task::Waker;
use tokio::time::advance;

const CAPACITY: usize = 1_000;

fn resize(reservation: &Reservation, bytes: usize) -> bool {
    reservation.poll_resize(bytes, &mut Context::from_waker(Waker::noop())).is_ready()
}

fn is_shed(reservation: &Reservation) -> bool {
    reservation.poll_shed(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// A reservation of so many bytes.
fn holding(pool: &MemoryPool, bytes: usize) -> Reservation {
    let reservation = pool.reservation();
    assert!(resize(&reservation, bytes), "{bytes} bytes are free");
    reservation
}

#[tokio::test(start_paused = true)]
async fn the_largest_unfinished_message_is_shed_for_a_smaller_one() {
    let pool = MemoryPool::new(CAPACITY, WhenFull::Refuse);
    let (small, large) = (holding(&pool, 300), holding(&pool, 600));
    let wanting = pool.reservation();
    assert!(!resize(&wanting, 200));
    assert!(is_shed(&large) && !is_shed(&small) && !is_shed(&wanting));
    drop(large);
    assert!(resize(&wanting, 200));
    assert_eq!(pool.stats(), PoolStats { capacity: CAPACITY, reserved: 500, peak: 900, shed: 1 });
}

#[tokio::test(start_paused = true)]
async fn a_message_that_would_be_the_largest_is_shed_itself() {
    let pool = MemoryPool::new(CAPACITY, WhenFull::Refuse);
    let (first, second) = (holding(&pool, 400), holding(&pool, 500));
    assert!(!resize(&first, 600));
    assert!(is_shed(&first) && !is_shed(&second));
}

#[tokio::test(start_paused = true)]
async fn a_slow_message_is_shed_before_a_larger_one_that_is_new() {
    let pool = MemoryPool::new(CAPACITY, WhenFull::Refuse);
    let slow = holding(&pool, 300);
    advance(SLOW_TIME).await;
    let new = holding(&pool, 600);
    let wanting = pool.reservation();
    assert!(!resize(&wanting, 200));
    assert!(is_shed(&slow) && !is_shed(&new));
}

#[tokio::test(start_paused = true)]
async fn complete_messages_are_never_shed_and_what_is_left_out_is_refused_or_waits() {
    for (when_full, refused) in [(WhenFull::Refuse, true), (WhenFull::Wait, false)] {
        let pool = MemoryPool::new(CAPACITY, when_full);
        let complete = holding(&pool, 900);
        complete.settle();
        advance(2 * SLOW_TIME).await;
        let wanting = pool.reservation();
        assert!(!resize(&wanting, 200));
        assert_eq!((is_shed(&complete), is_shed(&wanting)), (false, refused), "{when_full:?}");
        // As where its client does not read it.
        complete.unsettle();
        advance(SLOW_TIME).await;
        let another = pool.reservation();
        assert!(!resize(&another, 200));
        assert!(is_shed(&complete), "{when_full:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn where_messages_wait_only_slow_ones_are_shed() {
    let pool = MemoryPool::new(CAPACITY, WhenFull::Wait);
    let unfinished = holding(&pool, 900);
    let wanting = pool.reservation();
    assert!(!resize(&wanting, 200));
    assert!(!is_shed(&unfinished));
    let waiting = tokio::spawn(async move { wanting.resize(200).await });
    let patient = async {
        while !is_shed(&unfinished) {
            tokio::time::sleep(SLOW_TIME).await;
        }
        drop(unfinished);
    };
    patient.await;
    assert!(waiting.await.expect("it ends").is_ok());
}

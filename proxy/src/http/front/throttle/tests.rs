//! Unit tests of `throttle`.

use super::*;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn a_connection_that_asks_now_and_then_is_never_paused() {
    let mut throttle = ConnectionThrottle::new(Throttle::new(0.05));
    for _ in 0..1_000 {
        throttle.record(Instant::now());
        assert_eq!(throttle.paused_until(Instant::now()), None);
        advance(Duration::from_secs_f64(1.0 / ANSWERS_PER_SECOND)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn connections_that_ask_without_end_share_what_the_cores_allow() {
    let shared = Throttle::new(0.1);
    let mut connections: Vec<_> = (0..20).map(|_| ConnectionThrottle::new(shared.clone())).collect();
    let (start, mut answers) = (Instant::now(), 0);
    while start.elapsed() < Duration::from_secs(10) {
        for connection in &mut connections {
            if connection.paused_until(Instant::now()).is_none() {
                connection.record(Instant::now());
                answers += 1;
            }
        }
        advance(Duration::from_millis(1)).await;
    }
    let own = 20.0 * (BURST_ANSWERS + 10.0 * ANSWERS_PER_SECOND);
    assert!(f64::from(answers) <= own + 0.1 * SHARED_ANSWERS_PER_CORE * 10.0 + 20.0, "{answers}");
}

#[tokio::test(start_paused = true)]
async fn no_pause_is_longer_than_a_peer_may_wait() {
    let mut throttle = ConnectionThrottle::new(Throttle::new(0.0));
    for _ in 0..100_000 {
        throttle.record(Instant::now());
        let until = throttle.paused_until(Instant::now());
        assert!(until.is_none_or(|until| until <= Instant::now() + MAX_PAUSE));
    }
}

use super::*;

#[test]
fn a_local_agent_is_always_polled_again_soon_and_shared_discovery_once_after_an_idle_timeout() {
    let idle = WatchError::IdleTimeout(MIN_IDLE_TIMEOUT);
    let mut agent = PollBackoff::new(Deployment::LocalAgent, 7);
    for failure in 0..1_000 {
        let delay = agent.next_delay(if failure % 3 == 0 { &idle } else { &WatchError::Ended });
        assert!(delay.is_some_and(|delay| delay <= Duration::from_millis(200)), "{delay:?}");
    }
    assert_eq!(agent.response_timeout(), Duration::from_secs(2));
    agent.record_success();
    assert_eq!(agent.response_timeout(), AGENT_RESPONSE_TIMEOUT);
    let mut shared = PollBackoff::new(Deployment::Shared, 7);
    for _ in 0..2 {
        assert_eq!(shared.next_delay(&idle), Some(Duration::ZERO));
        assert_eq!(shared.next_delay(&idle), None);
        shared.record_success();
    }
    assert_eq!(shared.next_delay(&WatchError::Ended), None);
    assert_eq!(shared.next_delay(&WatchError::ResponseTimeout(RESPONSE_TIMEOUT)), Some(Duration::ZERO));
}

//! Unit tests of `pace`.

use super::*;

#[test]
fn an_agent_is_asked_again_soon_for_good_and_common_discovery_once_after_silence() {
    let silent = WatchError::Silent(SILENT_LEAST);
    let mut agent = Pace::new(Keeper::Agent, 7);
    for failure in 0..1_000 {
        let pause = agent.after(if failure % 3 == 0 { &silent } else { &WatchError::Ended });
        assert!(pause.is_some_and(|pause| pause <= Duration::from_millis(200)), "{pause:?}");
    }
    assert_eq!(agent.answer(), Duration::from_secs(2));
    agent.heard();
    assert_eq!(agent.answer(), AGENT_ANSWER);
    let mut common = Pace::new(Keeper::Common, 7);
    for _ in 0..2 {
        assert_eq!(common.after(&silent), Some(Duration::ZERO));
        assert_eq!(common.after(&silent), None);
        common.heard();
    }
    assert_eq!(common.after(&WatchError::Ended), None);
    assert_eq!(common.after(&WatchError::Unanswered(ANSWER)), Some(Duration::ZERO));
}

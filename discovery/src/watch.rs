//! The watch itself.

use crate::asks::{Answered, Asks};
use crate::error::WatchError;
use crate::objects::Objects;
use crate::pace::Pace;
use flaxhead_engine::List;
use http_body_util::BodyExt;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::time::{sleep, timeout};

/// Watches the list from version `since` on and passes on what comes, on one connection after the other, for as long as
/// the pace has a next one. It returns why the last one ended.
pub(crate) async fn watch(
    discovery: SocketAddr,
    mut pace: Pace,
    mut since: Option<u64>,
    news: &mut dyn FnMut(List),
) -> WatchError {
    let mut asks = Asks::new(discovery);
    loop {
        let Err(error) = follow(&mut asks, &mut pace, &mut since, news).await;
        let Some(pause) = pace.after(&error) else { return error };
        if pace.is_news() {
            tracing::info!("discovery: {error}");
        }
        sleep(pause).await;
    }
}

/// Watches on the connection that is answered first; `since` follows the lists that came.
async fn follow(
    asks: &mut Asks,
    pace: &mut Pace,
    since: &mut Option<u64>,
    news: &mut dyn FnMut(List),
) -> Result<Infallible, WatchError> {
    let (answer, silence) = (pace.answer(), pace.silence());
    let Answered { mut body, _connection } = asks.once_more(*since, answer).await?;
    let mut objects = Objects::default();
    loop {
        let frame = timeout(silence, body.frame()).await.map_err(|_| WatchError::Silent(silence))?;
        let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
        objects.take(&data, |list| {
            *since = Some(list.seq);
            news(list);
        })?;
        pace.heard();
    }
}

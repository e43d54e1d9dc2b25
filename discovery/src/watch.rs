//! Watch of the endpoint list: polls the discovery server, reads the list stream until it fails, and polls
//! again.

use crate::error::WatchError;
use crate::json_stream::JsonStream;
use crate::poll_backoff::PollBackoff;
use crate::poll_set::{PollResponse, PollSet};
use flaxhead_engine::EndpointList;
use http_body_util::BodyExt;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::time::{sleep, timeout};

/// Watches the list from version `since` on and passes each list to the handler. Polls again after a failure
/// for as long as `backoff` gives a delay, then returns the last error.
pub(crate) async fn watch(
    discovery: SocketAddr,
    max_list_bytes: usize,
    mut backoff: PollBackoff,
    mut since: Option<u64>,
    handler: &mut dyn FnMut(EndpointList),
) -> WatchError {
    let mut polls = PollSet::new(discovery);
    loop {
        let Err(error) = receive_lists(&mut polls, max_list_bytes, &mut backoff, &mut since, handler).await;
        let Some(delay) = backoff.next_delay(&error) else { return error };
        if backoff.should_log() {
            tracing::info!("discovery: {error}");
        }
        sleep(delay).await;
    }
}

/// Polls the discovery server and passes the lists of the stream to the handler until the stream fails. Sets
/// `since` to the version of each list.
async fn receive_lists(
    polls: &mut PollSet,
    max_list_bytes: usize,
    backoff: &mut PollBackoff,
    since: &mut Option<u64>,
    handler: &mut dyn FnMut(EndpointList),
) -> Result<Infallible, WatchError> {
    let response_timeout = backoff.response_timeout();
    let idle_timeout = backoff.idle_timeout();
    let PollResponse { mut body, _connection } = polls.poll(*since, response_timeout).await?;
    let mut stream = JsonStream::new(max_list_bytes);
    loop {
        let frame = timeout(idle_timeout, body.frame()).await;
        let frame = frame.map_err(|_| WatchError::IdleTimeout(idle_timeout))?;
        let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
        stream.feed(&data, |list| {
            *since = Some(list.seq);
            handler(list);
        })?;
        backoff.record_success();
    }
}

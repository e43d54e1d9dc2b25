//! A list source that is not polled before the process may send to hosts.

use flaxhead_engine::{EndpointList, ListHandler, ListSource, WatchFuture};
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// How long a known list may be used, once the gate opens, until discovery is polled.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_millis(400);

/// A list source behind a gate. Once that opens, the list that was known before the start comes first.
pub struct GatedSource<S> {
    source: Rc<S>,
    gate: watch::Receiver<bool>,
    known: Cell<Option<EndpointList>>,
    pub(super) first_poll_delay: Duration,
}

impl<S> GatedSource<S> {
    /// Opens with the watched value. Where a list is known, discovery is polled after a delay that the seed gives, up to
    /// `MAX_FIRST_POLL_DELAY`: the gates of all proxies may open at once.
    pub fn new(
        source: S,
        gate: watch::Receiver<bool>,
        known: Option<EndpointList>,
        seed: u64,
    ) -> GatedSource<S> {
        // Seeds of proxies that were started together may differ in few bits.
        let mut hasher = DefaultHasher::new();
        seed.hash(&mut hasher);
        let fraction = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
        let first_poll_delay = MAX_FIRST_POLL_DELAY.mul_f64(fraction);
        GatedSource { source: Rc::new(source), gate, known: Cell::new(known), first_poll_delay }
    }
}

impl<S: ListSource + 'static> ListSource for GatedSource<S> {
    fn watch(&self, since: Option<u64>, mut handler: ListHandler) -> WatchFuture {
        let first_poll_delay = self.first_poll_delay;
        let source = self.source.clone();
        let mut gate = self.gate.clone();
        let known = self.known.take();
        Box::pin(async move {
            if let Err(error) = gate.wait_for(|open| *open).await {
                return error.into();
            }
            let since = known.as_ref().map(|known| known.seq).or(since);
            if let Some(known) = known {
                handler(known);
                sleep(first_poll_delay).await;
            }
            source.watch(since, handler).await
        })
    }
}

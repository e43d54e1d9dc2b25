//! Faults that come when a turn has reached a stage.

use super::befall::let_in;
use super::between::Between;
use super::{locked, Outage, Shared, OUTAGE_EDGE};
use crate::fleet::Fleet;
use crate::load::sender::Targets;
use crate::model::node::Micros;
use crate::turns::script::Blow;
use crate::Epoch;
use std::sync::atomic::Ordering;
use std::sync::Mutex;

/// What a strike has in hand.
pub(super) struct Hand<'a> {
    pub(super) proxies: &'a Shared,
    pub(super) fleet: &'a Fleet,
    pub(super) targets: &'a Targets,
    pub(super) epoch: Epoch,
    pub(super) seed: u64,
}

impl Hand<'_> {
    /// Brings a strike about, or takes it back; then the span in which the proxy could not answer.
    pub(super) fn strike(
        &self,
        between: &Between,
        what: Blow,
        place: usize,
        on: bool,
        since: &Mutex<std::collections::HashMap<usize, Micros>>,
    ) -> Option<Outage> {
        let count = locked(self.proxies).len();
        let cut = |says: bool, hears: bool| {
            for other in (0..count).filter(|&other| other != place) {
                if says {
                    between.relay.set(place, other, |link| link.cut = on);
                }
                if hears {
                    between.relay.set(other, place, |link| link.cut = on);
                }
            }
        };
        match what {
            Blow::Apart => cut(true, true),
            Blow::Mute => cut(true, false),
            Blow::Deaf => cut(false, true),
            Blow::Kill | Blow::Freeze => {}
        }
        let mut all = locked(self.proxies);
        let proxy = all.get_mut(place).filter(|_| matches!(what, Blow::Kill | Blow::Freeze))?;
        let now = self.epoch.now();
        let done = match (what, on) {
            (Blow::Freeze, _) => proxy.freeze(on),
            (_, true) => {
                self.targets.killed[place].fetch_add(1, Ordering::SeqCst);
                proxy.kill();
                between.killed(place);
                Ok(())
            }
            (_, false) => {
                let list = self.fleet.list(place).unwrap_or_default();
                between.started(place).and_then(|()| proxy.relaunch(self.seed ^ now, &list))
            }
        };
        if let Err(error) = done {
            // The audit finds what follows from it.
            eprintln!("flaxhead-lab: proxy {place}: {error}");
        }
        let address = proxy.address;
        drop(all);
        let held = || since.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if on {
            held().insert(place, now.saturating_sub(OUTAGE_EDGE));
            return None;
        }
        // It serves once it is let in, for which it may need others that are still to be started.
        if what == Blow::Kill {
            let_in(address);
        }
        let from = held().remove(&place);
        from.map(|from| (place, from, self.epoch.now() + OUTAGE_EDGE))
    }
}

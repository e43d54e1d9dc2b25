//! What the machine withheld from the proxies: time in which one was ready to run and no processor was free for it.

use super::{locked, Shared};
use crate::audit::Withheld;
use crate::model::node::Micros;
use crate::Epoch;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Shorter waits are how a machine shares its processors.
const LEAST: Micros = 1_000;

/// Looks at the proxies until the run has ended.
pub(super) fn look(proxies: &Shared, epoch: Epoch, ended: &AtomicBool) -> Vec<Withheld> {
    let mut withheld = Vec::new();
    let mut last: HashMap<u32, (Micros, Micros)> = HashMap::new();
    while !ended.load(Ordering::SeqCst) {
        let ids: Vec<u32> = locked(proxies).iter().map(crate::proxy::Proxy::id).collect();
        for (proxy, id) in ids.into_iter().enumerate() {
            let Some(waited) = waited(id) else { continue };
            let now = epoch.now();
            let (from, before) = last.insert(id, (now, waited)).unwrap_or((now, waited));
            let most = waited.saturating_sub(before);
            if most >= LEAST {
                withheld.push(Withheld { proxy: Some(proxy), from, to: now, most });
            }
        }
        sleep(LOOK);
    }
    withheld
}

/// How long a process's first thread, which serves, has waited for a processor; nothing where the machine does not say.
fn waited(id: u32) -> Option<Micros> {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
    text.split_whitespace().nth(1)?.parse::<u64>().ok().map(|nanos| nanos / 1_000)
}

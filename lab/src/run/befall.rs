//! Faults of proxies and of the ways between them, each at its time.

use super::between::Between;
use super::state::Folders;
use super::{locked, Outage, Shared, LET_IN, OUTAGE_EDGE};
use crate::experiment::{FaultKind, Kept};
use crate::fleet::Fleet;
use crate::load::schedule::Trouble;
use crate::load::sender::Targets;
use crate::model::node::Micros;
use crate::proxy::health;
use crate::Epoch;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What came of the faults.
#[derive(Clone, Debug, Default)]
pub(super) struct Befell {
    /// When each of the proxies could not answer.
    pub(super) outages: Vec<Outage>,
    /// When the last that had been killed was started again.
    pub(super) last_restart: Option<Micros>,
}

/// What the faults are brought about on.
pub(super) struct Scene {
    pub(super) proxies: Shared,
    pub(super) fleet: Arc<Fleet>,
    pub(super) targets: Targets,
    pub(super) epoch: Epoch,
    pub(super) seed: u64,
    pub(super) peers: Option<Arc<Between>>,
    pub(super) folders: Option<Folders>,
}

enum Step {
    Link(Trouble, bool),
    Freeze,
    Thaw,
    Kill,
    Restart(Option<Kept>),
    /// What proxies keep is copied, to be put back later.
    Copy,
}

/// What happens when, to which proxies.
fn steps(troubles: &[Trouble], old_at: Option<Micros>) -> Vec<(Micros, Step, Vec<usize>)> {
    let mut steps = Vec::new();
    for trouble in troubles {
        // One that is killed for good would leave its clients without a proxy: it is back at once.
        let until = trouble.until.unwrap_or(trouble.at);
        let mut add = |at, step, proxies: &[usize]| steps.push((at, step, proxies.to_vec()));
        match trouble.kind {
            FaultKind::Freeze => {
                add(trouble.at, Step::Freeze, &trouble.proxies);
                add(until, Step::Thaw, &trouble.proxies);
            }
            FaultKind::Kill => {
                add(trouble.at, Step::Kill, &trouble.proxies);
                for (place, proxy) in trouble.proxies.iter().enumerate() {
                    let at = trouble.restarts.get(place).copied().unwrap_or(until);
                    add(at, Step::Restart(trouble.state), &[*proxy]);
                }
                if let Some(at) = old_at.filter(|_| trouble.state == Some(Kept::Old)) {
                    add(at, Step::Copy, &trouble.proxies);
                }
            }
            kind if kind.is_of_link() => {
                add(trouble.at, Step::Link(trouble.clone(), true), &[]);
                if trouble.until.is_some() {
                    add(until, Step::Link(trouble.clone(), false), &[]);
                }
            }
            _ => {}
        }
    }
    steps.sort_by_key(|step| step.0);
    steps
}

/// Waits until a proxy serves; one that was started may need others that are still to be started.
pub(super) fn let_in(address: SocketAddr) {
    let until = Instant::now() + LET_IN;
    while Instant::now() < until && !health(address).is_ok_and(|ok| ok) {
        thread::sleep(Duration::from_millis(20));
    }
}

impl Scene {
    /// Brings all of them about.
    pub(super) fn befall(&self, troubles: &[Trouble]) -> Befell {
        let (outages, mut last_restart) = (Mutex::new(Vec::new()), None);
        let mut since: HashMap<usize, Micros> = HashMap::new();
        let add = |outage| outages.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(outage);
        thread::scope(|scope| {
            let old_at = self.folders.as_ref().map(|folders| folders.old_at);
            for (at, step, hit) in steps(troubles, old_at) {
                thread::sleep(self.epoch.instant(at).saturating_duration_since(Instant::now()));
                if let (Step::Link(trouble, on), Some(between)) = (&step, &self.peers) {
                    between.turn(trouble, *on);
                }
                for number in hit {
                    let now = self.epoch.now();
                    let Some(address) = self.take(number, &step) else { continue };
                    match step {
                        Step::Freeze | Step::Kill => {
                            since.insert(number, now.saturating_sub(OUTAGE_EDGE));
                        }
                        Step::Thaw => {
                            let from = since.remove(&number);
                            from.into_iter()
                                .for_each(|from| add((number, from, self.epoch.now() + OUTAGE_EDGE)));
                        }
                        Step::Restart(_) => {
                            last_restart = Some(self.epoch.now());
                            let (from, add) = (since.remove(&number), &add);
                            // All at once: none waits until another serves.
                            scope.spawn(move || {
                                let_in(address);
                                let until = self.epoch.now() + OUTAGE_EDGE;
                                from.into_iter().for_each(|from| add((number, from, until)));
                            });
                        }
                        Step::Link(..) | Step::Copy => {}
                    }
                }
            }
        });
        let mut outages = outages.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
        outages.extend(since.into_iter().map(|(number, from)| (number, from, Micros::MAX)));
        Befell { outages, last_restart }
    }

    /// Takes a step with one proxy; where its clients connect, if there is such a one.
    fn take(&self, number: usize, step: &Step) -> Option<SocketAddr> {
        let mut all = locked(&self.proxies);
        let proxy = all.get_mut(number)?;
        let done = match step {
            Step::Freeze => proxy.freeze(true),
            Step::Thaw => proxy.freeze(false),
            Step::Kill => {
                self.targets.killed[number].fetch_add(1, Ordering::SeqCst);
                proxy.kill();
                self.peers.iter().for_each(|between| between.killed(number));
                Ok(())
            }
            Step::Restart(kept) => {
                let list = self.fleet.list(number).unwrap_or_default();
                let open = self.peers.as_ref().map_or(Ok(()), |between| between.started(number));
                let put = || match (&self.folders, kept) {
                    (Some(folders), Some(kept)) => folders.put(number, *kept),
                    _ => Ok(()),
                };
                let seed = self.seed ^ self.epoch.now();
                open.and_then(|()| put()).and_then(|()| proxy.relaunch(seed, &list))
            }
            Step::Copy => self.folders.as_ref().map_or(Ok(()), |folders| folders.copy(number)),
            Step::Link(..) => Ok(()),
        };
        if let Err(error) = done {
            // The audit finds what follows from it.
            eprintln!("flaxhead-lab: proxy {number}: {error}");
        }
        Some(proxy.address)
    }
}

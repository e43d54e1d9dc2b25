//! What is between proxies that know of each other, and the look at what they show.

use crate::experiment::FaultKind;
use crate::figures::Figures;
use crate::load::schedule::Trouble;
use crate::peers::judge::{Judge, PeerFigures};
use crate::peers::relay::Relay;
use crate::peers::rig::{agreed, own_file, shown, Shown};
use crate::Epoch;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// What is between proxies that know of each other.
pub(super) struct Between {
    pub(super) relay: Relay,
    /// What the operators' file of each proxy holds beside its peers.
    sections: Vec<String>,
    running: Mutex<Vec<bool>>,
    judge: Mutex<Judge>,
    pub(super) ended: AtomicBool,
}

impl Between {
    pub(super) fn start(count: usize, seed: u64, epoch: Epoch, sections: Vec<String>) -> io::Result<Between> {
        let relay = Relay::start(count, seed)?;
        relay.count_from(epoch);
        let (running, judge, ended) =
            (Mutex::new(vec![true; count]), Mutex::default(), AtomicBool::new(false));
        Ok(Between { relay, sections, running, judge, ended })
    }

    pub(super) fn own_file(&self, number: usize, folder: &Path) -> io::Result<PathBuf> {
        let path = folder.join(format!("n{number}.toml"));
        fs::write(&path, own_file(&self.relay, number, &[0, 1]) + &self.sections[number])?;
        Ok(path)
    }

    fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
        of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub(super) fn killed(&self, number: usize) {
        Between::held(&self.running)[number] = false;
        Between::held(&self.judge).killed(&format!("n{number}"));
        self.relay.down(number);
    }

    pub(super) fn started(&self, number: usize) -> io::Result<()> {
        self.relay.up(number)?;
        Between::held(&self.running)[number] = true;
        Between::held(&self.judge).started(&format!("n{number}"));
        Ok(())
    }

    /// Brings a link's fault about, or takes it back.
    pub(super) fn turn(&self, trouble: &Trouble, on: bool) {
        let share = if on { trouble.share } else { 0.0 };
        let span = |micros| Duration::from_micros(if on { micros } else { 0 });
        for &from in &trouble.proxies {
            for &to in trouble.to.iter().filter(|&&to| to != from) {
                let ways = [(from, to), (to, from)];
                for (from, to) in ways.into_iter().take(1 + usize::from(trouble.both)) {
                    self.relay.set(from, to, |link| match trouble.kind {
                        FaultKind::LinkCut => link.cut = on,
                        FaultKind::LinkLoss => link.loss = share,
                        FaultKind::LinkDelay => {
                            (link.delay, link.jitter) = (span(trouble.extra), span(trouble.jitter))
                        }
                        FaultKind::LinkDuplicate => link.duplicate = share,
                        FaultKind::LinkReorder => link.reorder = share,
                        FaultKind::LinkCorrupt => link.corrupt = share,
                        _ => {}
                    });
                }
            }
        }
    }

    fn places(&self) -> Vec<usize> {
        let running = Between::held(&self.running);
        (0..running.len()).filter(|&place| running[place]).collect()
    }

    /// Looks at what all show, time and again, until the run has ended.
    pub(super) fn look(&self, excused: &[usize]) -> Judge {
        *Between::held(&self.judge) = Judge::excusing(excused.iter().map(|place| format!("n{place}")));
        while !self.ended.load(Ordering::SeqCst) {
            for place in self.places() {
                // One that is stopped, or just killed, shows nothing.
                if let Ok(shown) = shown(self.relay.side(place)) {
                    Between::held(&self.judge).see(&shown);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        Between::held(&self.judge).clone()
    }

    /// How long it takes until all that run show one view, in seconds.
    pub(super) fn agree(&self, within: Duration) -> Option<f64> {
        let start = std::time::Instant::now();
        while start.elapsed() < within {
            let places = self.places();
            let names: Vec<String> = places.iter().map(|place| format!("n{place}")).collect();
            let all: Vec<(usize, Shown)> = places
                .iter()
                .filter_map(|&place| Some((place, shown(self.relay.side(place)).ok()?)))
                .collect();
            if agreed(&all, &names) {
                return Some(start.elapsed().as_secs_f64());
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }
}

impl Figures {
    pub(super) fn judge_peers(&mut self, peers: PeerFigures, of: &crate::experiment::Peers) {
        self.verdict.unheld.extend(peers.unheld(of.agree_within_s));
        if peers.cut_off.len() < of.cut_off_least {
            let (found, least) = (peers.cut_off.len(), of.cut_off_least);
            self.verdict.unheld.push(format!("{found} found themselves cut off, {least} at the least"));
        }
        self.peers = Some(peers);
    }
}

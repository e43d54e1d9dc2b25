//! The operators: each asks for a host, waits until it is told free, works at it and says that it is done. They talk to
//! the proxies' side ports as `flaxhead work` does, and to another proxy where one does not answer.

use super::judge::Told;
use super::script::{Blow, Strike, Turn, Work, STAGES};
use crate::Epoch;
use flaxhead_maintenance::{Command, CommandResponse, DrainRequest, MaintenanceView, Rejection, Stage};
use flaxhead_proxy::maintenance_command;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread::sleep;
use std::time::Duration;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);
/// Pause after a refusal or a proxy that did not answer.
const AGAIN: Duration = Duration::from_millis(250);

/// What a strike does to a proxy.
pub type Strikes<'a> = dyn Fn(Blow, usize, bool) + Sync + 'a;

/// Everything that operators see and do in one run.
pub struct Operators<'a> {
    work: &'a Work,
    sides: Vec<SocketAddr>,
    epoch: Epoch,
    /// The run is over, and the time for the last turns as well.
    pub ended: &'a AtomicBool,
    told: Mutex<Vec<Told>>,
    fences: Mutex<Vec<String>>,
    struck: Mutex<BTreeSet<usize>>,
    strikes: &'a Strikes<'a>,
}

fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn host(node: usize) -> String {
    format!("s-{node}")
}

impl<'a> Operators<'a> {
    /// Operators with the side ports of the proxies.
    pub fn new(
        work: &'a Work,
        sides: Vec<SocketAddr>,
        epoch: Epoch,
        ended: &'a AtomicBool,
        strikes: &'a Strikes<'a>,
    ) -> Operators<'a> {
        let told = work.turns.iter().map(|turn| Told { node: turn.node, ..Told::default() }).collect();
        let (told, fences, struck) = (Mutex::new(told), Mutex::default(), Mutex::default());
        Operators { work, sides, epoch, ended, told, fences, struck, strikes }
    }

    /// Plays all turns, and what befalls them; what was told.
    pub fn play(self) -> (Vec<Told>, Vec<String>) {
        std::thread::scope(|scope| {
            scope.spawn(|| self.watch());
            for (place, turn) in self.work.turns.iter().enumerate() {
                let operators = &self;
                scope.spawn(move || operators.turn(place, turn));
            }
        });
        (held(&self.told).clone(), held(&self.fences).clone())
    }

    fn over(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn views(&self) -> Vec<(usize, MaintenanceView)> {
        let shown =
            |(place, side): (usize, &SocketAddr)| Some((place, maintenance_command::poll(*side).ok()?.view));
        self.sides.iter().enumerate().filter_map(shown).collect()
    }

    /// Sees which turn has come where, strikes, and says what is out where all have forgotten it.
    fn watch(&self) {
        std::thread::scope(|scope| {
            while !self.over() && self.unfinished() {
                let views = self.views();
                for (place, view) in &views {
                    if let Some(fence) = view.lease.highest_ballot.clone().filter(|_| view.lease.is_leader) {
                        let mut fences = held(&self.fences);
                        if fences.last() != Some(&fence) {
                            fences.push(fence);
                        }
                    }
                    if view.lease.is_state_lost && self.work.known {
                        self.remember(*place, &views);
                    }
                }
                for (number, strike) in self.work.strikes.iter().enumerate() {
                    if let Some(holder) = self.reached(strike, &views) {
                        if held(&self.struck).insert(number) {
                            scope.spawn(move || self.strike(strike, holder));
                        }
                    }
                }
                sleep(LOOK / 2);
            }
        });
    }

    fn unfinished(&self) -> bool {
        held(&self.told).iter().any(|told| told.end.is_none())
    }

    /// The holder, where a strike's time has come: at the first look that finds its turn at that stage or past it. A host
    /// is free once its operators have seen so: they say what is out after a strike that makes all proxies forget.
    fn reached(&self, strike: &Strike, views: &[(usize, MaintenanceView)]) -> Option<usize> {
        let node = self.work.turns.get(strike.turn)?.node;
        let (holder, view) = views.iter().find(|(_, view)| view.lease.is_leader)?;
        let place = |of: &str| STAGES.iter().position(|stage| *stage == of);
        let stage = match view.drains.iter().find(|row| row.host == host(node)) {
            Some(row) if row.is_free && row.stage == Stage::OutOfService => {
                place(if held(&self.told)[strike.turn].free.is_some() { "free" } else { "out" })
            }
            Some(row) => place(&row.stage.to_string()),
            // A turn that has ended is past all of them.
            None => held(&self.told)[strike.turn].end.as_ref().map(|_| STAGES.len()),
        };
        (stage? >= place(&strike.stage)?).then_some(*holder)
    }

    fn strike(&self, strike: &Strike, holder: usize) {
        let mut hit: BTreeSet<usize> = strike.proxies.iter().copied().collect();
        if strike.holder {
            hit.insert(holder);
        }
        hit.iter().for_each(|&place| (self.strikes)(strike.what, place, true));
        sleep(Duration::from_secs_f64(strike.lasts));
        // All at once: one may need the others to be ready.
        std::thread::scope(|scope| {
            for place in hit {
                scope.spawn(move || (self.strikes)(strike.what, place, false));
            }
        });
    }

    /// All have forgotten: what operators know to be out is said again, and then that it is all. They say so only once
    /// every proxy answers them.
    fn remember(&self, place: usize, views: &[(usize, MaintenanceView)]) {
        if views.len() < self.sides.len() {
            return;
        }
        let side = self.sides[place];
        let out: Vec<usize> = {
            let told = held(&self.told);
            told.iter().filter(|t| t.free.is_some() && t.done.is_none()).map(|t| t.node).collect()
        };
        for node in out {
            let order = Command::Request(DrainRequest { already_out: true, ..self.ask(node) });
            if !matches!(maintenance_command::submit(side, &order), Ok(Ok(_))) {
                return;
            }
        }
        // One that did not take it is asked again with the next look.
        let _ = maintenance_command::submit(side, &Command::DeclareRecovered { by: "ops".to_owned() });
    }

    fn ask(&self, node: usize) -> DrainRequest {
        DrainRequest {
            host: host(node),
            kind: "kernel".to_owned(),
            by: "ops".to_owned(),
            duration: 600_000_000,
            not_before: 0,
            not_after: None,
            already_out: false,
        }
    }

    /// Gives an order to one proxy after the other until one answers it.
    fn order(&self, mut through: usize, order: &Command) -> Option<Result<CommandResponse, Rejection>> {
        while !self.over() {
            match maintenance_command::submit(self.sides[through], order) {
                Ok(Err(Rejection::NoLeader | Rejection::TimedOut)) | Err(_) => {
                    through = (through + 1) % self.sides.len();
                    sleep(AGAIN);
                }
                Ok(answer) => return Some(answer),
            }
        }
        None
    }

    fn turn(&self, place: usize, turn: &Turn) {
        let at = (turn.at * 1e6) as u64;
        sleep(self.epoch.instant(at).saturating_duration_since(std::time::Instant::now()));
        while turn.after_strike && held(&self.struck).is_empty() && !self.over() {
            sleep(LOOK);
        }
        held(&self.told)[place].asked = self.epoch.now();
        let ask = Command::Request(self.ask(turn.node));
        let Some(mut id) = self.asked(place, turn, &ask) else { return };
        let mut asked_at = self.epoch.now();
        // Until it is free, as any proxy shows it.
        let free_at = loop {
            if self.over() {
                return;
            }
            let views = self.views();
            let row =
                |view: &MaintenanceView| view.drains.iter().find(|row| row.host == host(turn.node)).cloned();
            let rows: Vec<_> = views.iter().filter_map(|(_, view)| row(view)).collect();
            if rows.iter().any(|row| row.is_free && row.stage == Stage::OutOfService) {
                break self.epoch.now();
            }
            let waits: Vec<String> =
                rows.iter().map(|r| r.waits_for.clone()).filter(|w| !w.is_empty()).collect();
            let mut told = held(&self.told);
            for wait in waits {
                if !told[place].waits.contains(&wait) {
                    told[place].waits.push(wait);
                }
            }
            let ended = views.iter().flat_map(|(_, view)| &view.completed).find(|past| past.id == id);
            if let Some(past) = ended {
                told[place].end = Some(past.outcome.to_string());
                return;
            }
            drop(told);
            // Where it was forgotten it is asked for again: asked twice is one request.
            if rows.is_empty() && self.epoch.now() > asked_at + 2_000_000 {
                let Some(again) = self.asked(place, turn, &ask) else { return };
                (id, asked_at) = (again, self.epoch.now());
            }
            sleep(LOOK);
        };
        held(&self.told)[place].free = Some(free_at);
        sleep(Duration::from_secs_f64(turn.takes));
        held(&self.told)[place].done = Some(self.epoch.now());
        self.finish(place, turn);
    }

    fn asked(&self, place: usize, turn: &Turn, ask: &Command) -> Option<u64> {
        let answer = self.order(turn.through, ask)?;
        let mut told = held(&self.told);
        match answer {
            Ok(CommandResponse::Drain { id, .. }) => {
                told[place].taken.get_or_insert(self.epoch.now());
                Some(id)
            }
            Ok(CommandResponse::Done) => None,
            Err(refusal) => {
                told[place].end = Some(refusal.to_string());
                None
            }
        }
    }

    /// Says that the work is done, until every proxy that shows the turn shows it as back.
    fn finish(&self, place: usize, turn: &Turn) {
        while !self.over() {
            let views = self.views();
            let row =
                |view: &MaintenanceView| view.drains.iter().find(|row| row.host == host(turn.node)).cloned();
            let out =
                views.iter().filter_map(|(_, view)| row(view)).find(|row| row.stage < Stage::Recovering);
            match out {
                None if !views.is_empty() => {
                    held(&self.told)[place].end = Some("done".to_owned());
                    return;
                }
                None => {}
                Some(row) => {
                    let order = Command::Complete { drain: row.id, by: "ops".to_owned() };
                    // Whatever comes of it is seen with the next look.
                    self.order(turn.through, &order);
                }
            }
            sleep(LOOK);
        }
    }
}

//! Brings each fault about at its time, and takes it back.

use super::discovery::publish;
use super::{Health, Link, Shared, State};
use crate::experiment::FaultKind;
use crate::load::schedule::Trouble;
use crate::model::node::{Micros, Node};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long a node of a release drains where the file does not say, and how long its process is away.
const DRAINS: Duration = Duration::from_millis(2_000);
const AWAY: Duration = Duration::from_millis(500);

/// Sets a task for each fault of the fleet; those of proxies are the run's.
pub(super) fn schedule(fleet: &Shared, troubles: Vec<Trouble>) {
    for trouble in troubles {
        if matches!(trouble.kind, FaultKind::Freeze | FaultKind::Kill) {
            continue;
        }
        let (fleet, epoch) = (fleet.clone(), fleet.borrow().epoch);
        spawn_local(async move {
            epoch.until(trouble.at).await;
            if trouble.kind == FaultKind::Release {
                return release(&fleet, &trouble).await;
            }
            turn(&fleet, &trouble, true);
            if let Some(until) = trouble.until {
                epoch.until(until).await;
                turn(&fleet, &trouble, false);
            }
        });
    }
}

async fn release(fleet: &Shared, trouble: &Trouble) {
    let drains = if trouble.extra > 0 { Duration::from_micros(trouble.extra) } else { DRAINS };
    for &node in &trouble.nodes {
        fleet.borrow_mut().nodes[node].draining = true;
        publish(fleet, node, Health::Terminating);
        sleep(drains).await;
        fleet.borrow_mut().stop(node);
        sleep(AWAY).await;
        start(fleet, node);
    }
}

/// Starts a stopped node's process, cold. One that has fallen over stays down.
fn start(fleet: &Shared, node: usize) {
    let started = {
        let mut state = fleet.borrow_mut();
        let now = state.epoch.now();
        let place = &mut state.nodes[node];
        if place.model.fallen() {
            return;
        }
        place.model = Node::cold(place.spec.clone(), now);
        (place.draining, place.stopped) = (false, false);
        place.met.fill(false);
        state.relink();
        now
    };
    fleet.borrow_mut().members[node].started = Some(started);
    publish(fleet, node, Health::Ready);
}

/// Brings a fault about, or takes it back.
fn turn(fleet: &Shared, trouble: &Trouble, on: bool) {
    for &node in &trouble.nodes {
        match trouble.kind {
            FaultKind::Crash if on => {
                fleet.borrow_mut().stop(node);
                publish(fleet, node, Health::Gone);
            }
            FaultKind::Crash => start(fleet, node),
            FaultKind::Drain => {
                fleet.borrow_mut().nodes[node].draining = on;
                publish(fleet, node, if on { Health::Terminating } else { Health::Ready });
            }
            _ => fleet.borrow_mut().set(node, trouble, on),
        }
    }
    let mut state = fleet.borrow_mut();
    state.of_all(trouble, on);
    state.relink();
}

impl State {
    /// The process ends: what it had in hand is lost, and nobody can know whether it ran.
    pub(super) fn stop(&mut self, node: usize) {
        let place = &mut self.nodes[node];
        place.stopped = true;
        place.jobs.clear();
        self.relink();
    }

    /// Has each pair's link follow from all that is wrong at the moment.
    fn relink(&mut self) {
        for place in &mut self.nodes {
            for (proxy, link) in place.links.iter().enumerate() {
                let cut = |zone: &usize| (self.proxy_zones[proxy] == *zone) != (place.zone == *zone);
                let now = match () {
                    () if place.silent > 0 || self.cut.iter().any(cut) => Link::Silent,
                    () if place.stopped => Link::Down,
                    () => Link::Up,
                };
                link.send_if_modified(|link| std::mem::replace(link, now) != now);
            }
        }
    }

    /// A fault of one node that is there as long as it lasts.
    fn set(&mut self, node: usize, trouble: &Trouble, on: bool) {
        let now = self.epoch.now();
        let place = &mut self.nodes[node];
        match trouble.kind {
            FaultKind::Vanish if on => place.silent += 1,
            FaultKind::Vanish => place.silent -= 1,
            FaultKind::Distance if on => place.distance += trouble.extra,
            FaultKind::Distance => place.distance -= trouble.extra,
            FaultKind::Pause if on => {
                let until: Micros = trouble.until.unwrap_or(now);
                place.model.pause(now, until);
                place.changed.notify_one();
            }
            FaultKind::Pause => {}
            kind if on => drop(place.odds.insert(kind, trouble.share)),
            kind => drop(place.odds.remove(&kind)),
        }
    }

    /// A fault that is no single node's.
    fn of_all(&mut self, trouble: &Trouble, on: bool) {
        match (trouble.kind, trouble.zone) {
            (FaultKind::ZoneCut, Some(zone)) if on => self.cut.push(zone),
            (FaultKind::ZoneCut, Some(zone)) => {
                if let Some(place) = self.cut.iter().position(|cut| *cut == zone) {
                    self.cut.swap_remove(place);
                }
            }
            (FaultKind::Silence, _) => {
                for &proxy in &trouble.proxies {
                    self.silent[proxy].send_replace(on);
                }
            }
            _ => {}
        }
    }
}

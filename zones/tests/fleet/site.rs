//! The zones' hosts, as they do calls, and the proxies' calls to them.

use super::{Fleet, Plan, SECOND, TICK};
use flaxhead_lease::Application;
use flaxhead_zones::{Allow, Here, Host, Map, Micros, Pace};
use rand_core::RngCore;

/// How long an answer takes, and an attempt that gets none.
const ANSWER_MS: f64 = 40.0;
const PATIENCE: Micros = 250_000;
/// Calls that wait at a zone, in seconds of what it does.
const QUEUE: f64 = 0.5;
/// How long a cold host takes to get warm, with calls.
const WARM: f64 = 10.0;
/// Parts of what is asked for, by class of worth.
const CLASSES: [f64; 3] = [0.5, 0.3, 0.2];
const SECONDS: f64 = TICK as f64 / SECOND as f64;

#[derive(Clone, Debug)]
struct OfZone {
    hosts: usize,
    drained: usize,
    lost: bool,
    warmth: f64,
    /// How much longer answers take, and how much less is done.
    slow: f64,
    queue: f64,
}

#[derive(Clone, Debug)]
pub struct Site {
    zones: Vec<OfZone>,
    /// From whom nothing comes to whom.
    pub cut: Vec<(usize, usize)>,
    /// Discovery lists nothing.
    pub unlisted: bool,
    /// Processes that do not reach a zone.
    pub blind: Vec<(usize, usize)>,
    host_rate: f64,
    /// By zone, what is asked for a second.
    pub asked: Vec<f64>,
}

impl Site {
    pub fn new(plan: &Plan, map: &Map, pace: &Pace) -> Site {
        let count = map.count();
        let hosts = |zone: usize| plan.hosts / count + usize::from(zone < plan.hosts % count);
        let zones = (0..count).map(|zone| OfZone {
            hosts: hosts(zone),
            drained: 0,
            lost: false,
            warmth: 1.0,
            slow: 1.0,
            queue: 0.0,
        });
        let host_rate = f64::from(pace.host_rate);
        let less = f64::from(plan.load) / 1_000.0 * (1.0 - f64::from(pace.margin) / 1_000.0);
        let asked = (0..count).map(|zone| hosts(zone) as f64 * host_rate * less).collect();
        Site { zones: zones.collect(), cut: Vec::new(), unlisted: false, blind: Vec::new(), host_rate, asked }
    }

    pub fn lose(&mut self, zone: usize) {
        self.zones[zone].lost = true;
    }

    pub fn back(&mut self, zone: usize, warmth: f64) {
        (self.zones[zone].lost, self.zones[zone].warmth, self.zones[zone].queue) = (false, warmth, 0.0);
    }

    /// So many hosts of a zone are out for work.
    pub fn drain(&mut self, zone: usize, hosts: usize) {
        self.zones[zone].drained = hosts;
    }

    pub fn slow(&mut self, zone: usize, by: f64) {
        self.zones[zone].slow = by;
    }

    fn reaches(&self, place: usize, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from, to)) && !self.blind.contains(&(place, to))
    }

    /// What a zone can do, a second.
    pub fn can(&self, zone: usize) -> f64 {
        let of = &self.zones[zone];
        if of.lost {
            0.0
        } else {
            (of.hosts - of.drained) as f64 * self.host_rate * of.warmth / of.slow
        }
    }

    /// As discovery lists them: a zone that is lost stays on the list.
    pub fn hosts(&self) -> Vec<Host> {
        let host = |(zone, of): (usize, &OfZone)| {
            let warmth = (of.warmth * 1_000.0) as u32;
            let host = move |at: usize| Host { zone, ready: at >= of.drained, warmth, size: 1_000 };
            (0..of.hosts).map(host).collect::<Vec<Host>>()
        };
        self.zones.iter().enumerate().filter(|_| !self.unlisted).flat_map(host).collect()
    }

    /// Calls come; how much of them is done, how much turned away, and how long an answer takes.
    fn take(&mut self, zone: usize, calls: f64) -> (f64, f64, f64) {
        let can = self.can(zone);
        let of = &mut self.zones[zone];
        if of.lost {
            return (0.0, 0.0, 0.0);
        }
        let most = can * QUEUE;
        let waiting = of.queue + calls;
        let does = waiting.min(can * SECONDS);
        let away = (waiting - does - most).max(0.0);
        of.queue = waiting - does - away;
        if calls > 0.0 {
            of.warmth = (of.warmth + SECONDS / WARM).min(1.0);
        }
        let time = ANSWER_MS * of.slow + of.queue / can.max(1.0) * 1_000.0;
        let away = if calls > 0.0 { (away / calls).min(1.0) } else { 0.0 };
        (1.0 - away, away, time)
    }
}

impl Fleet {
    fn here(&self, place: usize) -> Vec<Here> {
        let of = &self.places[place];
        let fails = |(fails, last): &(u32, Micros)| *fails >= 3 && self.now > last + 300_000;
        of.silent.iter().map(|silent| Here { listed: true, fails: fails(silent) }).collect()
    }

    /// What a process sends where in a tick, and how much it refuses.
    fn sends(&mut self, place: usize, calls: [f64; 3]) -> (Vec<f64>, f64) {
        let (count, local, here) = (self.map.count(), self.local(place), self.here(place));
        let all: f64 = calls.iter().sum();
        let allow = self.places[place]
            .machine
            .as_ref()
            .map(|m| m.application().allow(local, m.local_replica(), &here));
        let mut sends = vec![0.0; count];
        let through;
        let mut trials: Vec<usize> = (0..count).filter(|zone| here[*zone].fails).collect();
        match &allow {
            Some(Allow::By(by)) if self.plan.settled => {
                let level = |class: usize| f64::from(by.level.of(class)) / 10_000.0;
                through = calls.iter().enumerate().map(|(class, calls)| calls * level(class)).sum();
                for (to, part) in by.parts.iter().enumerate() {
                    sends[to] = through * f64::from(*part) / 10_000.0;
                }
                trials.extend(&by.trials);
                trials.sort_unstable();
                trials.dedup();
            }
            _ => {
                // By itself: at home, and where that fails over all that it finds well.
                let own = self.places[place].zone;
                let well: Vec<usize> = (0..count).filter(|zone| !here[*zone].fails).collect();
                let to = if !here[own].fails { vec![own] } else { well };
                to.iter().for_each(|zone| sends[*zone] = all / to.len() as f64);
                through = if to.is_empty() { 0.0 } else { all };
            }
        }
        self.places[place].allow = allow;
        // One call in two seconds tries what gets nothing.
        trials.into_iter().for_each(|zone| sends[zone] = sends[zone].max(0.5 * SECONDS));
        (sends, all - through)
    }

    pub(super) fn tick(&mut self) {
        let count = self.map.count();
        let mut sums = vec![0.0; count];
        let mut by_plan = vec![0.0; count];
        let mut sent = Vec::new();
        let (mut asked_all, mut refused) = (0.0, 0.0);
        let runs = |place: &super::Place| place.machine.is_some() && !place.frozen && !place.apart;
        let mut serving = vec![0_usize; count];
        self.places.iter().filter(|place| runs(place)).for_each(|place| serving[place.zone] += 1);
        for place in (0..self.places.len()).filter(|place| runs(&self.places[*place])).collect::<Vec<_>>() {
            let zone = self.places[place].zone;
            let noise = 0.8 + 0.4 * f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            let asked = self.site.asked[zone] / serving[zone] as f64 * SECONDS * noise;
            let calls = CLASSES.map(|part| part * asked);
            let (sends, refuses) = self.sends(place, calls);
            asked_all += asked;
            refused += refuses;
            let follows = matches!(self.places[place].allow, Some(Allow::By(_)));
            for (to, calls) in sends.iter().enumerate() {
                if self.site.reaches(place, zone, to) {
                    sums[to] += calls;
                    by_plan[to] += if follows { *calls } else { 0.0 };
                }
            }
            sent.push((place, calls, sends));
        }
        let came: Vec<(f64, f64, f64)> = (0..count).map(|zone| self.site.take(zone, sums[zone])).collect();
        let can: Vec<f64> = (0..count).map(|zone| self.site.can(zone) * SECONDS).collect();
        let mut served = 0.0;
        for (place, calls, sends) in sent {
            served += self.outcome(place, calls, &sends, &came);
        }
        for place in 0..self.places.len() {
            let local = self.local(place);
            let of = &mut self.places[place];
            let news = !of.frozen
                && of.machine.as_mut().is_some_and(|machine| {
                    machine.application_mut().look(local);
                    machine.application().wants_early_renewal()
                });
            if news {
                self.wake(place);
            }
        }
        let parts = (0..count * count).map(|at| self.part(at / count, at % count)).collect::<Vec<_>>();
        self.seen.tick(self.now, (&by_plan, &sums, &can), (asked_all, refused, served), &parts);
    }

    /// What a process finds of its calls; how many were answered.
    fn outcome(&mut self, place: usize, calls: [f64; 3], sends: &[f64], came: &[(f64, f64, f64)]) -> f64 {
        let (now, local) = (self.now, self.local(place));
        let zone = self.places[place].zone;
        let gone: Vec<bool> = (0..sends.len())
            .map(|to| self.site.zones[to].lost || !self.site.reaches(place, zone, to))
            .collect();
        let of = &mut self.places[place];
        let Some(machine) = of.machine.as_mut() else { return 0.0 };
        let tally = machine.application_mut().tally_mut();
        let whole = |sum: &mut f64, more: f64| {
            *sum += more;
            let count = sum.floor();
            *sum -= count;
            count as u32
        };
        for (class, calls) in calls.iter().enumerate() {
            let count = whole(&mut of.asked[class], *calls);
            tally.asked(local, class, count);
        }
        let mut answered = 0.0;
        for (to, sent) in sends.iter().enumerate() {
            let (done, away, time) = came[to];
            if gone[to] {
                of.waits.push((now + PATIENCE, to, *sent));
                continue;
            }
            answered += sent * done;
            let count = whole(&mut of.done[to], sent * done);
            if count > 0 {
                tally.done(local, to, count, time as u32);
                of.silent[to] = (0, now);
            }
            let count = whole(&mut of.failed[to], sent * away);
            tally.failed(local, to, count);
        }
        let due: Vec<(usize, f64)> =
            of.waits.iter().filter(|(at, ..)| *at <= now).map(|(_, to, sent)| (*to, *sent)).collect();
        of.waits.retain(|(at, ..)| *at > now);
        for (to, sent) in due {
            let count = whole(&mut of.failed[to], sent);
            tally.failed(local, to, count);
            of.silent[to].0 += count;
        }
        for (to, silent) in of.silent.iter().enumerate() {
            tally.stands(to, 0, silent.0 >= 3 && now > silent.1 + 300_000);
        }
        answered
    }
}

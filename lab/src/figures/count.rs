//! Counts what ledgers hold.

use super::back::Back;
use super::{ClassFigures, Evidence, Figures, Latency, NodeFigures, Second, Verdict, LATE_VALUE, WORST};
use crate::audit::Repeat;
use crate::ledger::{Ending, Fate, FleetLedger, Try};
use crate::load::schedule::Schedule;
use crate::load::sender::histogram;
use hdrhistogram::Histogram;
use std::collections::HashMap;

/// A request with all its tries.
pub(super) struct Request<'a> {
    tries: Vec<&'a Try>,
}

impl Request<'_> {
    pub(super) fn first(&self) -> &Try {
        self.tries[0]
    }

    /// From the intended time of the first try to the end of the last, in microseconds.
    fn took(&self) -> u64 {
        let (first, last) = (self.tries[0], self.tries[self.tries.len() - 1]);
        last.ended.saturating_sub(first.intended)
    }

    pub(super) fn last_status(&self) -> Option<u16> {
        let last = self.tries[self.tries.len() - 1];
        match last.ending {
            // What comes once the client has given up serves nobody.
            Ending::Answer { status, .. } if last.ended <= last.gives_up => Some(status),
            _ => None,
        }
    }
}

impl Figures {
    /// Counts.
    pub fn of(evidence: &Evidence) -> Figures {
        let Evidence { experiment, schedule, tries, .. } = evidence;
        let mut requests: Vec<Request> = Vec::new();
        let mut places: HashMap<usize, usize> = HashMap::new();
        for of in tries.iter() {
            let place = *places.entry(of.arrival).or_insert_with(|| {
                requests.push(Request { tries: Vec::new() });
                requests.len() - 1
            });
            requests[place].tries.push(of);
        }
        let seconds = experiment.seconds.get_ref().ceil().max(1.0) as usize;
        let mut timeline = vec![Second::default(); seconds];
        let mut by_second: Vec<Histogram<u64>> = Vec::new();
        by_second.resize_with(seconds, histogram);
        let names = experiment.classes.iter().map(|class| class.name.clone());
        let mut classes: Vec<ClassFigures> =
            names.map(|name| ClassFigures { name, ..ClassFigures::default() }).collect();
        let mut worths = vec![(0.0, 0.0); classes.len()];
        let mut by_class: Vec<Histogram<u64>> = Vec::new();
        by_class.resize_with(classes.len(), histogram);
        let mut all = histogram();
        for request in &requests {
            let first = request.tries[0];
            let spec = &experiment.classes[first.class];
            let class = &mut classes[first.class];
            let took = request.took();
            all.saturating_record(took);
            by_class[first.class].saturating_record(took);
            let worth = spec.worth * schedule.arrivals.get(first.arrival).map_or(1.0, |a| a.work.max(1.0));
            let got = match request.last_status() {
                Some(200) if took <= spec.aim_ms * 1_000 => {
                    class.served += 1;
                    worth
                }
                Some(200) => {
                    class.late += 1;
                    worth * LATE_VALUE
                }
                Some(429 | 503) => {
                    class.refused += 1;
                    0.0
                }
                _ => {
                    class.failed += 1;
                    0.0
                }
            };
            class.requests += 1;
            worths[first.class].0 += worth;
            worths[first.class].1 += got;
            let place = ((first.intended / 1_000_000) as usize).min(seconds - 1);
            by_second[place].saturating_record(took);
            let second = &mut timeline[place];
            (second.asked, second.got, second.requests) =
                (second.asked + worth, second.got + got, second.requests + 1);
        }
        for (second, latency) in timeline.iter_mut().zip(&by_second) {
            second.p99_ms = Latency::of(latency).p99;
        }
        for ((class, (asked, got)), latency) in classes.iter_mut().zip(&worths).zip(&by_class) {
            class.service = share(*got, *asked);
            class.latency = Latency::of(latency);
            let points = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9995, 1.0];
            let curve = points.map(|q| (q, latency.value_at_quantile(q) as f64 / 1_000.0));
            class.curve = if latency.is_empty() { Vec::new() } else { curve.to_vec() };
        }
        let total = worths.iter().fold((0.0, 0.0), |sum, worth| (sum.0 + worth.0, sum.1 + worth.1));
        let mut figures = Figures {
            name: experiment.name.get_ref().clone(),
            seed: schedule.seed,
            seconds: *experiment.seconds.get_ref(),
            requests: requests.len(),
            tries: tries.len(),
            service: share(total.1, total.0),
            worst_ten_seconds: worst(&timeline),
            latency: Latency::of(&all),
            lateness: Latency::of(evidence.lateness),
            classes,
            proxies: evidence.proxies.clone(),
            timeline,
            troubles: troubles(schedule),
            ..Figures::default()
        };
        if let Some(restart) = evidence.last_restart {
            let end = (figures.seconds * 1e6) as u64;
            figures.back = Some(Back::of_requests(&requests, restart, end));
            figures.stampede = evidence.paces(restart);
        }
        if let Some(fleet) = evidence.fleet {
            figures.count_fleet(evidence, fleet, &requests);
        }
        figures.verdict = Verdict {
            void: None,
            breaches: evidence.breaches.iter().map(ToString::to_string).collect(),
            unheld: figures.unheld(&experiment.hold),
        };
        figures.judge_sender(experiment);
        figures
    }

    fn count_fleet(&mut self, evidence: &Evidence, fleet: &FleetLedger, requests: &[Request]) {
        let experiment = evidence.experiment;
        let mut ran: HashMap<&str, usize> = HashMap::new();
        let mut reached: HashMap<&str, usize> = HashMap::new();
        self.nodes = vec![NodeFigures::default(); experiment.node_count()];
        let specs = experiment.specs();
        let capacities = specs.zip(&evidence.schedule.speeds).map(|(spec, speed)| spec.cores * speed);
        let capacities: Vec<f64> = capacities.collect();
        for handled in &fleet.handled {
            *reached.entry(&handled.call).or_default() += 1;
            let node = &mut self.nodes[handled.node];
            node.requests += 1;
            node.rejected += usize::from(handled.fate == Fate::Rejected);
            if handled.fate.ran() {
                node.ran += 1;
                node.load += handled.work / (capacities[handled.node] * self.seconds * 1e6);
                *ran.entry(&handled.call).or_default() += 1;
            }
        }
        for (node, figures) in self.nodes.iter_mut().enumerate() {
            figures.connections = fleet.connections.get(node).copied().unwrap_or(0);
            figures.probes = fleet.probes.get(node).copied().unwrap_or(0);
        }
        for request in requests {
            let sum = |of: &HashMap<&str, usize>| -> usize {
                request.tries.iter().filter_map(|t| of.get(t.call.as_str())).sum()
            };
            let attempts = sum(&reached);
            if self.attempts_spread.len() <= attempts {
                self.attempts_spread.resize(attempts + 1, 0);
            }
            self.attempts_spread[attempts] += 1;
            let repeat = experiment.classes[request.tries[0].class].repeat;
            self.ran_twice += usize::from(repeat == Repeat::Never && sum(&ran) > 1);
        }
        self.attempts = share(fleet.handled.len() as f64, self.requests as f64);
    }
}

fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}

/// Service over the worst ten seconds, or over all where there are fewer.
fn worst(timeline: &[Second]) -> f64 {
    let windows = timeline.windows(WORST.min(timeline.len()).max(1));
    let of = |window: &[Second]| {
        let (asked, got) = window.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.asked, sum.1 + s.got));
        // A span in which nothing was asked for was not served badly.
        if asked > 0.0 {
            got / asked
        } else {
            1.0
        }
    };
    windows.map(of).fold(1.0, f64::min)
}

fn troubles(schedule: &Schedule) -> Vec<(f64, Option<f64>, String)> {
    let seconds = |at: u64| at as f64 / 1e6;
    let words = |trouble: &crate::load::schedule::Trouble| {
        let kind = serde_json::to_string(&trouble.kind).unwrap_or_default();
        let mut text = kind.trim_matches('"').to_owned();
        for (what, of) in [("nodes", &trouble.nodes), ("proxies", &trouble.proxies), ("to", &trouble.to)] {
            if !of.is_empty() {
                text += &format!(", {what} {of:?}");
            }
        }
        (seconds(trouble.at), trouble.until.map(seconds), text)
    };
    schedule.troubles.iter().map(words).collect()
}

//! Judges shares by the nodes' ledgers, joined with the clients' by the calls' ids: never by what proxies say of them.
//!
//! A call uses a unit from the moment at which a node has read it whole until its answer is written or its connection is
//! gone. Both ledgers go by one clock, and all nodes run on one thread, so an answer is on record before anything that
//! follows from it can be read: to that the count is exact. A reset is found with the next turn of that thread; by then
//! another node may have read what its sender put in its place. So a call whose connection went counts until the turn
//! before that ([`Handled::left`], some milliseconds), and nothing else is allowed for.

mod fair;
mod figures;
mod rules;

pub use figures::{Part, ShareFigures, TenantFigures, TenantSecond, Window};
pub use rules::Rules;

use super::spans::{crowd, union, without, Span};
use crate::ledger::{Ending, Fate, FleetLedger, Handled, Try};
use crate::model::node::Micros;
use fair::{fair, window};
use std::collections::{HashMap, HashSet};

/// One who was not served and asks again within this time had work all the while.
const ASKS_AGAIN: Micros = 1_000_000;
/// Calls that a tenant which is due all that it asks may miss beside the share: asked in one second, answered in the next.
const LOOSE: f64 = 3.0;
/// Spans that are kept of each kind, so that figures stay short.
const KEPT: usize = 8;

/// What one tenant's calls were.
#[derive(Default)]
struct Calls<'a> {
    handled: Vec<&'a Handled>,
    tries: Vec<&'a Try>,
}

impl Calls<'_> {
    fn held(&self) -> Vec<Span> {
        self.handled.iter().map(|h| (h.whole, h.ended)).collect()
    }

    /// The longest time with work waiting and nothing in hand: since when, and how long.
    fn longest_without(&self) -> (Micros, Micros) {
        // What no proxy took was not waiting for a share.
        let asked = self.tries.iter().filter(|t| t.ending != Ending::NotTaken);
        let mut work: Vec<(Micros, Micros, Micros)> = Vec::new();
        for of in asked {
            let served = matches!(of.ending, Ending::Answer { status: 200, .. });
            let again = if served { of.ended } else { of.ended.max(of.intended + ASKS_AGAIN) };
            match work.last_mut() {
                Some(last) if of.intended <= last.2 => {
                    *last = (last.0, last.1.max(of.ended), last.2.max(again))
                }
                _ => work.push((of.intended, of.ended, again)),
            }
        }
        let held = union(self.held());
        let gaps = work.into_iter().flat_map(|(from, to, _)| without((from, to), &held));
        gaps.map(|(from, to)| (from, to - from)).max_by_key(|(_, length)| *length).unwrap_or_default()
    }
}

impl ShareFigures {
    /// Judges a run.
    pub fn of(rules: &Rules, tries: &[Try], fleet: &FleetLedger) -> ShareFigures {
        let (mut tenants, places) = rules.groups();
        let mut calls: Vec<Calls> = tenants.iter().map(|_| Calls::default()).collect();
        let mut of_call: HashMap<&str, &Try> = HashMap::new();
        let mut in_order: Vec<&Try> = tries.iter().collect();
        in_order.sort_by_key(|of| of.intended);
        for of in in_order {
            of_call.insert(&of.call, of);
            if let Some(&group) = places.get(of.tenant) {
                calls[group].tries.push(of);
            }
        }
        // What no client sent is the auditor's.
        for handled in &fleet.handled {
            let group = of_call.get(handled.call.as_str()).and_then(|of| places.get(of.tenant));
            group.iter().for_each(|&&group| calls[group].handled.push(handled));
        }
        let count = rules.seconds.ceil().max(1.0) as usize;
        let mut works = vec![(0.0, 0.0); count];
        for (tenant, calls) in tenants.iter_mut().zip(&calls) {
            tenant.count(calls, count, rules, &of_call, &mut works);
        }
        fair(rules, &mut tenants, count);
        let windows = rules.windows.iter().map(|&span| window(rules, &tenants, &works, span)).collect();
        ShareFigures { tenants, windows }
    }

    /// What was to hold and did not, in words.
    pub fn unheld(&self, rules: &Rules) -> Vec<String> {
        let mut unheld = Vec::new();
        for tenant in &self.tenants {
            if let (Some(cap), Some((from, to, most))) = (tenant.cap, tenant.over.first()) {
                unheld.push(format!(
                    "tenant {} had {most} calls in hand over all nodes, {cap} at the most, from {:.3} s for {} us, and {} \
                     times in all",
                    tenant.name,
                    *from as f64 / 1e6,
                    to - from,
                    tenant.over_count
                ));
            }
            if tenant.longest_without_s > rules.starved_s {
                unheld.push(format!(
                    "tenant {} had work and nothing in hand for {:.1} s from {:.1} s on, {} s at the most",
                    tenant.name, tenant.longest_without_s, tenant.without_from_s, rules.starved_s
                ));
            }
        }
        let parts =
            || self.windows.iter().flat_map(|window| window.tenants.iter().map(move |part| (window, part)));
        for (window, part) in parts().filter(|_| rules.cap_used.is_some()) {
            let least = part.wanted * rules.cap_used.unwrap_or_default();
            if part.in_hand < least {
                unheld.push(format!(
                    "tenant {} had {:.1} calls in hand from {:.1} to {:.1} s, {least:.1} at the least",
                    part.name, part.in_hand, window.from_s, window.to_s
                ));
            }
        }
        let Some(within) = rules.share_within else { return unheld };
        for (window, part) in parts() {
            // Of one that is due less than it asks, each second tells; of another only all of them together.
            let least = if part.loose > 0.0 { 1.0 - within } else { 1.0 - 2.0 * within };
            if part.in_hand < part.due * least - part.loose || part.usual < 1.0 - within {
                unheld.push(format!(
                    "tenant {} got {} from {:.1} to {:.1} s: {:.2} calls in hand, and was due {:.2}; {:.2} of that in the \
                     middle second (within {within})",
                    part.name, part.got, window.from_s, window.to_s, part.in_hand, part.due, part.usual
                ));
            }
        }
        unheld
    }
}

impl TenantFigures {
    fn count(
        &mut self,
        calls: &Calls,
        seconds: usize,
        rules: &Rules,
        of_call: &HashMap<&str, &Try>,
        works: &mut [(f64, f64)],
    ) {
        let bound = self.cap.unwrap_or(u32::MAX);
        self.most = crowd(&calls.held(), bound).0;
        let surely: Vec<Span> = calls.handled.iter().map(|h| (h.whole, h.surely_until())).collect();
        let (most_surely, mut over) = crowd(&surely, bound);
        (self.most_surely, self.over_count) = (most_surely, over.len());
        over.truncate(KEPT);
        self.over = over;
        let (from, length) = calls.longest_without();
        (self.without_from_s, self.longest_without_s) = (from as f64 / 1e6, length as f64 / 1e6);
        let held: u64 = calls.handled.iter().map(|h| h.ended.saturating_sub(h.whole)).sum();
        self.held_ms = held as f64 / 1e3 / calls.handled.len().max(1) as f64;
        self.seconds = vec![TenantSecond::default(); seconds];
        // What ends after the run is in no second of it.
        let second = |at: Micros| Some((at / 1_000_000) as usize).filter(|second| *second < seconds);
        let work = |arrival: usize| rules.works.get(arrival).copied().unwrap_or(0.0);
        for of in calls.tries.iter().filter(|of| !of.again) {
            self.asked += 1;
            if let Some(second) = second(of.intended) {
                self.seconds[second].asked += 1;
                works[second].0 += work(of.arrival);
            }
        }
        let mut served = HashSet::new();
        for handled in &calls.handled {
            for (place, of) in self.seconds.iter_mut().enumerate() {
                let (from, to) = (place as u64 * 1_000_000, (place as u64 + 1) * 1_000_000);
                let within = handled.ended.min(to).saturating_sub(handled.whole.max(from));
                of.in_hand += within as f64 / 1e6;
            }
            let arrival = of_call.get(handled.call.as_str()).map(|of| of.arrival);
            let is_served = matches!(handled.fate, Fate::Served { .. });
            if let Some(arrival) = arrival.filter(|arrival| is_served && served.insert(*arrival)) {
                self.got += 1;
                if let Some(second) = second(handled.ended) {
                    self.seconds[second].got += 1;
                    works[second].1 += work(arrival);
                }
            }
        }
    }
}

//! What there is to show to operators.

use crate::ledger::Ledger;
use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// Who has some of a tenant's units.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// The process.
    pub name: String,
    /// Units that it may go by beside its own part, or has in hand beyond it.
    pub granted: u32,
    /// Calls in hand, by its last word.
    pub in_hand: u32,
}

/// A tenant, over the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRow {
    /// Its name.
    pub name: String,
    /// Calls at the most; `None`: no cap.
    pub cap: Option<u32>,
    /// Its fair share of what the hosts carry, in calls; `None`: not settled.
    pub share: Option<u32>,
    /// Units of the cap that are given, with the own parts of processes that have a seat.
    pub granted: u32,
    /// Calls in hand.
    pub in_hand: u32,
    /// Of its fair share, what others may use as it does not.
    pub lent: u32,
    /// Calls that wait for a unit.
    pub waiting: u32,
    /// Calls that were refused for want of one, by the last word of each process.
    pub refused: u32,
    /// By whom its units are held.
    pub held_by: Vec<HolderRow>,
}

/// All of it, as the holder has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// By tenant.
    pub tenants: Vec<TenantRow>,
    /// Calls that the hosts carry, less the margin; `None`: not settled.
    pub carried: Option<u32>,
    /// Why less is given than there is: `learning for 9 s more`, `not heard: n3`, `no seat: n9`, `caps differ at n2`.
    pub why: Vec<String>,
}

impl Ledger {
    /// What the holder has to show.
    pub fn view(&self, now: Micros) -> View {
        let tenants = (0..self.tenants().len()).map(|tenant| self.row(now, tenant)).collect();
        View { tenants, carried: self.carried(), why: self.why(now) }
    }

    fn row(&self, now: Micros, tenant: usize) -> TenantRow {
        let cap = self.cap(tenant);
        let share = self.share(tenant);
        let mut row =
            TenantRow { name: self.tenants()[tenant].name.clone(), cap, share, ..TenantRow::default() };
        for (process, [own, counted], usage) in self.uses(now, tenant) {
            row.granted = row.granted.saturating_add(counted).saturating_add(own);
            row.in_hand = row.in_hand.saturating_add(usage.in_hand);
            row.waiting = row.waiting.saturating_add(usage.waiting);
            row.refused = row.refused.saturating_add(usage.refused);
            if counted > 0 || usage.in_hand > 0 {
                let (name, in_hand) = (process.name.to_string(), usage.in_hand);
                row.held_by.push(HolderRow { name, granted: counted, in_hand });
            }
        }
        row.lent = share.map_or(0, |share| share.saturating_sub(row.in_hand.saturating_add(row.waiting)));
        row
    }

    fn why(&self, now: Micros) -> Vec<String> {
        let mut why = Vec::new();
        if let Some(until) = self.learns_until(now) {
            why.push(format!("learning for {} s more", (until - now).div_ceil(1_000_000)));
        }
        let mut named = |what: &str, names: Vec<String>| {
            if !names.is_empty() {
                why.push(format!("{what} {}", names.join(" ")));
            }
        };
        named("not heard:", self.not_heard(now));
        named("no seat:", self.without_seat().into_iter().map(ToString::to_string).collect());
        named("caps differ at", self.differ());
        why
    }
}

//! What one process may have in hand now: the one thing that passes from what is settled to the gate.

use flaxhead_lease::Micros;
use serde::{Deserialize, Serialize};

/// What a process may have in hand of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Units {
    /// Calls at the most, by the tenant's cap; `None`: it has none.
    pub cap: Option<u32>,
    /// What is left of `cap` from [`Allowance::until`] on: the part that needs nobody.
    pub own: Option<u32>,
    /// Its fair share of [`Allowance::all`], and its weight where several wait for the same units; in calls.
    pub share: u32,
}

/// What a process may have in hand. It holds until the next one comes, or `until`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allowance {
    /// By tenant, in the order of the settings; the last are the calls of no tenant, or of an unknown one.
    pub tenants: Vec<Units>,
    /// Calls of all tenants together; `None`: nothing is settled of that, and caps alone bind.
    pub all: Option<u32>,
    /// From then on only the parts of its own count, whether another allowance came or not: a process that was stopped
    /// for a while looks here before it takes anything in hand. By the clock of the machine; `None`: it has no end.
    pub until: Option<Micros>,
}

impl Allowance {
    /// Calls of a tenant that may be in hand at a moment; `None`: any number, or an unknown tenant.
    pub fn cap(&self, now: Micros, tenant: usize) -> Option<u32> {
        let units = self.tenants.get(tenant)?;
        if self.lasts(now) {
            units.cap
        } else {
            units.own
        }
    }

    /// Calls of all tenants that may be in hand at a moment; `None`: nothing is settled of that.
    pub fn all(&self, now: Micros) -> Option<u32> {
        self.all.filter(|_| self.lasts(now))
    }

    fn lasts(&self, now: Micros) -> bool {
        self.until.is_none_or(|until| now < until)
    }
}

//! What a process may do by the plan: fewer zones than it has by itself, never others.

use crate::fill::{Level, PARTS};
use crate::plan::Plan;
use crate::word::Sight;
use crate::zones::Zones;
use flaxhead_lease::{LocalReplica, Micros, Version};

/// How a process finds a zone itself, now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Here {
    /// Its own list has hosts there.
    pub listed: bool,
    /// They fail here, all of them.
    pub fails: bool,
}

/// Why a process goes by itself alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Lapse {
    /// Nothing was settled yet.
    #[error("no plan was told yet")]
    NoPlan,
    /// It was started and is not let in.
    #[error("no holder has let this process in yet")]
    NotLetIn,
    /// Cut off, or stopped for a time.
    #[error("no holder was heard for a lease: this process was cut off or stopped, and the plan may be old")]
    RanOut,
    /// A later holder is known of.
    #[error("a later holder is heard of, and its plan is not told yet")]
    Superseded,
    /// The plan says nothing of this zone.
    #[error("the plan knows no way for this zone")]
    NoRow,
    /// What the plan leaves is not reached from here.
    #[error("no zone that the plan gives this one is reached from here")]
    NothingLeft,
}

/// The plan, as it narrows one process's choice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Narrowed {
    /// Which plan.
    pub number: Version,
    /// How much of each class is let through.
    pub level: Level,
    /// By zone, how much of that goes there, in parts of [`PARTS`]; they add up to it.
    pub parts: Vec<u32>,
    /// Zones with hosts that get nothing: a call now and then may try them, so that their return is seen.
    pub trials: Vec<usize>,
}

/// Which zones a process may choose from.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Allow {
    /// All that it has, by its own judgement.
    Alone(Lapse),
    /// These.
    By(Narrowed),
}

impl Zones {
    /// What may be chosen now: by the plan in force, the own zone and what is found here. What is found here goes
    /// first.
    pub fn allow(&self, now: Micros, member: &LocalReplica<Zones>, here: &[Here]) -> Allow {
        match self.in_force(now, member).and_then(|plan| self.narrow(plan, here)) {
            Ok(narrowed) => Allow::By(narrowed),
            Err(lapse) => Allow::Alone(lapse),
        }
    }

    /// The plan that is gone by.
    pub fn in_force<'a>(&'a self, now: Micros, member: &'a LocalReplica<Zones>) -> Result<&'a Plan, Lapse> {
        if !member.is_admitted() {
            return Err(Lapse::NotLetIn);
        }
        if now >= member.lease_expiry() {
            return Err(Lapse::RanOut);
        }
        // The last good one: where the one that was told last cannot be gone by, it is kept.
        let plan = &self.good;
        let Some(fence) = &plan.number.ballot else { return Err(Lapse::NoPlan) };
        if member.highest_ballot().is_some_and(|heard| heard > fence) {
            return Err(Lapse::Superseded);
        }
        if plan.rows.is_empty() {
            return Err(Lapse::NoPlan);
        }
        Ok(plan)
    }

    fn narrow(&self, plan: &Plan, here: &[Here]) -> Result<Narrowed, Lapse> {
        let own = self.map.name(self.own());
        let row = plan.row(own).ok_or(Lapse::NoRow)?;
        let here = |zone: usize| here.get(zone).copied().unwrap_or_default();
        let mut amounts = vec![0_u64; self.map.count()];
        for (to, part) in &row.shares {
            if let Some(to) = self.map.index(to).filter(|to| here(*to).listed && !here(*to).fails) {
                amounts[to] = u64::from(*part);
            }
        }
        let parts = crate::fill::parts(&amounts).ok_or(Lapse::NothingLeft)?;
        debug_assert_eq!(parts.iter().sum::<u32>(), PARTS);
        let lost = |to: usize| {
            let named = |pair: &&crate::plan::Pair| pair.from == own && pair.to == self.map.name(to);
            plan.pairs.iter().find(named).is_some_and(|pair| pair.sight >= Sight::Lost as u8)
        };
        let unseen =
            |to: usize| plan.rooms.iter().any(|room| room.calls == 0 && room.zone == self.map.name(to));
        let worth = |to: usize| lost(to) || unseen(to) || here(to).fails;
        let trials = (0..self.map.count()).filter(|to| here(*to).listed && worth(*to));
        let trials = trials.filter(|to| parts[*to] == 0).collect();
        Ok(Narrowed { number: plan.number.clone(), level: row.level, parts, trials })
    }
}

//! What operators order.

use super::state::Work;
use crate::order::{Done, Order, Refusal};
use crate::plan::Standing;

impl Work<'_, '_> {
    /// Takes an order; the answer counts once it is on record.
    pub(crate) fn order(&mut self, order: Order) -> Result<Done, Refusal> {
        order.check()?;
        if let Some(since) = self.room.state_lost_since() {
            let left = (since + self.room.config.state_loss_timeout).saturating_sub(self.room.now);
            return Err(Refusal::Forgotten(left.div_ceil(1_000_000)));
        }
        let changed = match &order {
            Order::Hold { by } => self.hold(by),
            Order::Release { .. } => self.room.state_mut().held.take().is_some(),
            Order::Evacuate { zone, by } => self.evacuate(zone, by)?,
            Order::Return { zone, .. } => self.back(zone)?,
        };
        if changed {
            let (what, whom) = match &order {
                Order::Hold { .. } => ("held", ""),
                Order::Release { .. } => ("released", ""),
                Order::Evacuate { zone, .. } => ("evacuated", zone.as_str()),
                Order::Return { zone, .. } => ("returned", zone.as_str()),
            };
            self.note(what, whom, format!("by {}", order.by()));
            self.desk.move_at = self.room.now;
            self.tell();
        }
        Ok(Done { already: !changed })
    }

    fn hold(&mut self, by: &str) -> bool {
        let held = &mut self.room.state_mut().held;
        let stood = held.is_some();
        held.get_or_insert_with(|| Standing { by: by.to_owned(), age: 0 });
        !stood
    }

    /// What must be so for a zone to be emptied or filled again.
    fn may_move(&self, zone: &str) -> Result<usize, Refusal> {
        let place = self.map.index(zone).ok_or_else(|| Refusal::UnknownZone(zone.to_owned()))?;
        match &self.room.state().held {
            Some(held) => Err(Refusal::Held(held.by.clone())),
            None => Ok(place),
        }
    }

    fn evacuate(&mut self, zone: &str, by: &str) -> Result<bool, Refusal> {
        if self.room.state().emptied(zone) {
            return Ok(false);
        }
        let place = self.may_move(zone)?;
        self.look();
        if !self.knows() {
            return Err(Refusal::NoFigures);
        }
        let step = self.scene();
        let mut emptied = step.emptied.clone();
        emptied[place] = true;
        match step.short(&emptied) {
            0 => {}
            short => return Err(Refusal::NoSpare { zone: zone.to_owned(), short: short.div_ceil(1_000) }),
        }
        let standing = Standing { by: by.to_owned(), age: 0 };
        self.room.state_mut().emptied.push((zone.to_owned(), standing));
        Ok(true)
    }

    fn back(&mut self, zone: &str) -> Result<bool, Refusal> {
        if self.map.index(zone).is_some() && !self.room.state().emptied(zone) {
            return Ok(false);
        }
        self.may_move(zone)?;
        self.room.state_mut().emptied.retain(|(emptied, _)| emptied != zone);
        Ok(true)
    }
}

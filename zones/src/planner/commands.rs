//! Execution of the commands of operators.

use super::state::PlannerRun;
use crate::command::{Command, CommandResponse, Rejection};
use crate::plan::ActiveCommand;

impl PlannerRun<'_, '_> {
    /// Executes a command. The lease protocol sends the response once the change is committed.
    pub(crate) fn execute(&mut self, command: Command) -> Result<CommandResponse, Rejection> {
        command.check()?;
        if let Some(since) = self.context.state_lost_since() {
            let remaining = (since + self.context.config.state_loss_timeout).saturating_sub(self.context.now);
            return Err(Rejection::StateLost(remaining.div_ceil(1_000_000)));
        }
        let changed = match &command {
            Command::Hold { by } => self.hold(by),
            Command::Release { .. } => self.context.state_mut().hold.take().is_some(),
            Command::Evacuate { zone, by } => self.evacuate(zone, by)?,
            Command::Restore { zone, .. } => self.restore(zone)?,
        };
        if changed {
            let (kind, subject) = match &command {
                Command::Hold { .. } => ("hold", ""),
                Command::Release { .. } => ("release", ""),
                Command::Evacuate { zone, .. } => ("evacuate", zone.as_str()),
                Command::Restore { zone, .. } => ("restore", zone.as_str()),
            };
            self.record(kind, subject, format!("by {}", command.by()));
            self.planner.next_step_at = self.context.now;
            self.publish();
        }
        Ok(CommandResponse { unchanged: !changed })
    }

    fn hold(&mut self, by: &str) -> bool {
        let hold = &mut self.context.state_mut().hold;
        let was_held = hold.is_some();
        hold.get_or_insert_with(|| ActiveCommand { by: by.to_owned(), age: 0 });
        !was_held
    }

    /// Checks that a zone may be evacuated or restored. Returns its index.
    fn check_may_move(&self, zone: &str) -> Result<usize, Rejection> {
        let index = self.topology.index(zone).ok_or_else(|| Rejection::UnknownZone(zone.to_owned()))?;
        match &self.context.state().hold {
            Some(hold) => Err(Rejection::OnHold(hold.by.clone())),
            None => Ok(index),
        }
    }

    fn evacuate(&mut self, zone: &str, by: &str) -> Result<bool, Rejection> {
        if self.context.state().is_evacuated(zone) {
            return Ok(false);
        }
        let index = self.check_may_move(zone)?;
        self.assess();
        if !self.is_demand_known() {
            return Err(Rejection::DemandUnknown);
        }
        let step = self.plan_step();
        let mut evacuated = step.evacuated.clone();
        evacuated[index] = true;
        match step.shortfall(&evacuated) {
            0 => {}
            shortfall => {
                return Err(Rejection::InsufficientCapacity {
                    zone: zone.to_owned(),
                    shortfall: shortfall.div_ceil(1_000),
                })
            }
        }
        let active_command = ActiveCommand { by: by.to_owned(), age: 0 };
        self.context.state_mut().evacuated.push((zone.to_owned(), active_command));
        Ok(true)
    }

    fn restore(&mut self, zone: &str) -> Result<bool, Rejection> {
        if self.topology.index(zone).is_some() && !self.context.state().is_evacuated(zone) {
            return Ok(false);
        }
        self.check_may_move(zone)?;
        self.context.state_mut().evacuated.retain(|(evacuated, _)| evacuated != zone);
        Ok(true)
    }
}

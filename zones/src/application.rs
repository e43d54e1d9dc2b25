//! The plan, as something that the proxies settle in common.

use crate::desk::{Desk, Work};
use crate::facts::Host;
use crate::order::{Done, Order, Refusal};
use crate::plan::Plan;
use crate::word::Word;
use crate::zones::Zones;
use flaxhead_lease::{Application, LeaderContext, LocalReplica, Micros, Process};

impl Application for Zones {
    type LeaderData = Desk;

    fn report(&mut self, now: Micros, _: &LocalReplica<Self>, _: &Vec<Host>) -> Word {
        self.hurries = false;
        self.tally.word(now, &self.map)
    }

    fn state_changed(&mut self, _: Micros, plan: &Plan) {
        match plan.check(&self.map) {
            Ok(()) => (self.good, self.refused) = (plan.clone(), None),
            Err(why) => self.refused = Some(why),
        }
    }

    fn wants_early_renewal(&self) -> bool {
        self.hurries
    }

    fn begin_leadership(&self, room: &mut LeaderContext<'_, Self>) -> Desk {
        Desk::begin(&self.map, &self.pace, room)
    }

    fn grant(&self, _: &mut Desk, _: &mut LeaderContext<'_, Self>, _: &Process) {}

    fn process_left(&self, desk: &mut Desk, _: &mut LeaderContext<'_, Self>, process: &Process) {
        desk.forget(process);
    }

    fn step(&self, desk: &mut Desk, room: &mut LeaderContext<'_, Self>) {
        Work { map: &self.map, pace: &self.pace, desk, room }.step();
    }

    fn command(
        &self,
        desk: &mut Desk,
        room: &mut LeaderContext<'_, Self>,
        order: Order,
    ) -> Result<Done, Refusal> {
        Work { map: &self.map, pace: &self.pace, desk, room }.order(order)
    }
}

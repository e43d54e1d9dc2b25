//! The plan, as something that the proxies settle in common.

use crate::desk::{Desk, Work};
use crate::facts::Host;
use crate::order::{Done, Order, Refusal};
use crate::plan::Plan;
use crate::word::Word;
use crate::zones::Zones;
use flaxhead_lease::{Application, Member, Micros, Process, Room};

impl Application for Zones {
    type Desk = Desk;

    fn word(&mut self, now: Micros, _: &Member<Self>, _: &Vec<Host>) -> Word {
        self.hurries = false;
        self.tally.word(now, &self.map)
    }

    fn told(&mut self, _: Micros, plan: &Plan) {
        match plan.check(&self.map) {
            Ok(()) => (self.good, self.refused) = (plan.clone(), None),
            Err(why) => self.refused = Some(why),
        }
    }

    fn hurries(&self) -> bool {
        self.hurries
    }

    fn begin(&self, room: &mut Room<'_, Self>) -> Desk {
        Desk::begin(&self.map, &self.pace, room)
    }

    fn leave(&self, _: &mut Desk, _: &mut Room<'_, Self>, _: &Process) {}

    fn parted(&self, desk: &mut Desk, _: &mut Room<'_, Self>, process: &Process) {
        desk.forget(process);
    }

    fn step(&self, desk: &mut Desk, room: &mut Room<'_, Self>) {
        Work { map: &self.map, pace: &self.pace, desk, room }.step();
    }

    fn order(&self, desk: &mut Desk, room: &mut Room<'_, Self>, order: Order) -> Result<Done, Refusal> {
        Work { map: &self.map, pace: &self.pace, desk, room }.order(order)
    }
}

//! The turns, as something that the proxies settle in common.

use crate::desk::Desk;
use crate::facts::HostFacts;
use crate::order::{Answer, Order, Refusal};
use crate::spare::spared_from;
use crate::turns::{Turns, Word};
use flaxhead_lease::{Application, LeaderContext, Member, Micros, Process};

impl Application for Turns {
    /// All that the holder must keep is on the board, and in the words of the processes.
    type LeaderData = ();

    fn report(&mut self, _: Micros, member: &Member<Self>, facts: &HostFacts) -> Word {
        // Only hosts that are left alone are of interest.
        let spared = |host: &&String| spared_from(member, host).is_some();
        let busy = self.usage.in_hand.iter().filter(|(host, calls)| **calls > 0 && spared(host));
        Word {
            busy: busy.map(|(host, calls)| (host.clone(), *calls)).collect(),
            load: self.usage.load,
            lost: facts.lost_zones.clone(),
        }
    }

    fn begin_leadership(&self, room: &mut LeaderContext<'_, Self>) {
        for turn in &mut room.state_mut().turns {
            // All confirm it anew: what was confirmed to another is not known here.
            (turn.since_seq, turn.free) = (1, false);
        }
    }

    fn grant(&self, _: &mut (), _: &mut LeaderContext<'_, Self>, _: &Process) {}

    fn step(&self, _: &mut (), room: &mut LeaderContext<'_, Self>) {
        Desk::new(&self.rules, room).step();
    }

    fn command(
        &self,
        _: &mut (),
        room: &mut LeaderContext<'_, Self>,
        order: Order,
    ) -> Result<Answer, Refusal> {
        Desk::new(&self.rules, room).order(order)
    }
}

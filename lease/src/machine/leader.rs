//! Leader role of a process: the protocol state together with the application's data.

use crate::application::{Application, ReceivedReport};
use crate::config::Config;
use crate::facts::Facts;
use crate::leader::{LeaderContext, LeaderState};
use crate::message::Renewal;
use crate::roster::Process;
use crate::voters::Voters;
use flaxhead_membership::{Micros, Name};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leader<A: Application> {
    pub state: LeaderState<A>,
    pub data: A::LeaderData,
}

/// Parts of the machine that the methods of [`Leader`] read: time, configuration, membership and application.
pub(super) struct LeaderInput<'a, A: Application> {
    pub now: Micros,
    pub config: &'a Config,
    pub voters: &'a Voters,
    pub facts: &'a Facts<A::Facts>,
    pub me: &'a Process,
    pub application: &'a A,
}

/// Decision on a process's lease request, from which the leader builds its response.
pub(super) struct RenewalResponse<A: Application> {
    /// Data that the application grants with the lease; `None`: the process gets no lease now.
    pub grant: Option<A::Grant>,
    /// True if the process has not applied the leader's current state, which must then be sent to it.
    pub is_behind: bool,
    /// True if this request added the process to the roster.
    pub is_enrolled: bool,
}

fn context<'a, A: Application>(
    leader: &'a mut LeaderState<A>,
    input: &LeaderInput<'a, A>,
) -> LeaderContext<'a, A> {
    let LeaderInput { now, config, voters, facts, me, .. } = *input;
    LeaderContext { leader, voters, now, config, facts, me }
}

impl<A: Application> Leader<A> {
    pub fn new(mut state: LeaderState<A>, input: &LeaderInput<'_, A>) -> Leader<A> {
        let data = input.application.begin_leadership(&mut context(&mut state, input));
        Leader { state, data }
    }

    /// Removes ended processes from the roster, then runs [`Application::step`]. Returns whether that step
    /// published a new state.
    pub fn step(&mut self, input: &LeaderInput<'_, A>) -> bool {
        let LeaderInput { now, config, .. } = *input;
        if !self.state.is_leading(now) {
            return false;
        }
        self.state.advance(now);
        self.state.remove_ended(now, config, input.facts, input.me);
        self.notify_departed(input);
        let lost_since = self.state.state_lost_since;
        if lost_since.is_some_and(|since| now.saturating_sub(since) >= config.state_loss_timeout) {
            self.state.state_lost_since = None;
        }
        let before = self.state.state.version.seq;
        input.application.step(&mut self.data, &mut context(&mut self.state, input));
        self.notify_departed(input);
        self.state.state.version.seq != before
    }

    /// Calls [`Application::process_left`] for each process that was removed from the roster.
    fn notify_departed(&mut self, input: &LeaderInput<'_, A>) {
        for process in self.state.take_departed() {
            let mut context = context(&mut self.state, input);
            input.application.process_left(&mut self.data, &mut context, &process);
        }
    }

    /// Handles a process's lease request: passes its report to the application, and decides on the lease.
    pub fn renew(&mut self, input: &LeaderInput<'_, A>, renewal: Renewal<A>) -> RenewalResponse<A> {
        let Renewal { process, sent_at, version, report, .. } = renewal;
        let LeaderInput { now, config, voters, application, .. } = *input;
        let outcome = self.state.renew(now, config, voters, &process, version, report.clone());
        if outcome.report_counts {
            let is_first = outcome.is_first_report;
            let received = ReceivedReport { process: &process, sent_at, is_first, report: &report };
            let mut context = context(&mut self.state, input);
            application.report_received(&mut self.data, &mut context, &received);
        }
        let grant = outcome
            .is_granted
            .then(|| application.grant(&mut self.data, &mut context(&mut self.state, input), &process));
        RenewalResponse { grant, is_behind: outcome.is_behind, is_enrolled: outcome.is_enrolled }
    }

    /// Executes the command `id` that was submitted at the process `from`. Its response is held back until
    /// its effect is committed; an error is the application's rejection.
    pub fn execute(
        &mut self,
        input: &LeaderInput<'_, A>,
        from: Name,
        id: u64,
        command: A::Command,
    ) -> Result<(), A::Rejection> {
        self.state.advance(input.now);
        let mut context = context(&mut self.state, input);
        let response = input.application.command(&mut self.data, &mut context, command);
        self.notify_departed(input);
        self.state.defer_response(from, id, response?);
        Ok(())
    }
}

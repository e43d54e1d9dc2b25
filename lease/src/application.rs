//! The interface between the protocol and what it replicates.

use crate::ballot::Ballot;
use crate::leader::LeaderContext;
use crate::replica::LocalReplica;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use flaxhead_membership::Micros;

/// A process's report, as it came to the leader with a renewal. Only reports of processes that have applied a state of
/// this leader are passed on: such a process accepts nothing of a lower ballot any more.
#[derive(Debug)]
pub struct ReceivedReport<'a, T: ApplicationTypes> {
    /// The process.
    pub process: &'a Process,
    /// When it was sent, by that process's clock: of two reports the one with the greater time is the later. Reports may
    /// come twice, and late.
    pub sent_at: Micros,
    /// It is the first report of the process to this leader.
    pub is_first: bool,
    /// The report.
    pub report: &'a T::Report,
}

/// A lease, as it came to the process that had asked for it.
#[derive(Debug)]
pub struct ReceivedGrant<T: ApplicationTypes> {
    /// The leader's ballot, no lower than any that the process has heard of.
    pub ballot: Ballot,
    /// When the process asked, by its own clock.
    pub requested_at: Micros,
    /// When the lease ends, by its own clock.
    pub expires_at: Micros,
    /// The application's grant.
    pub grant: T::Grant,
}

/// Something that the proxies agree upon. The value itself is the part that every process has; the leader keeps
/// [`Application::LeaderData`] beside it for as long as it leads.
///
/// Each application has a lease and a roster of its own ([`crate::Machine`]), so that two of them share nothing that could
/// fail together. All methods only decide: they have no I/O and no clock, and the same calls lead to the same state.
///
/// An application that grants each process something of its own (quotas) takes `()` as its state and
/// [`crate::NoCommand`] as its commands:
///
/// ```
/// use flaxhead_lease::{
///     Application, ApplicationTypes, CommandError, LeaderContext, LocalReplica, Micros, NoCommand, Process, ReceivedGrant,
///     ReceivedReport,
/// };
/// use std::collections::BTreeMap;
///
/// /// A number of permits, divided evenly among the processes that want any.
/// #[derive(Clone, Debug, PartialEq, Eq, Hash)]
/// struct EvenPermits {
///     permits: u32,
///     wanted: u32,
///     granted: u32,
///     renews_early: bool,
/// }
///
/// impl ApplicationTypes for EvenPermits {
///     type State = ();
///     type Report = u32;
///     type Grant = u32;
///     type Command = NoCommand;
///     type Response = NoCommand;
///     type Rejection = CommandError;
///     type Facts = ();
///     type Event = String;
///     const MAX_STATE_BYTES: usize = 0;
///     const MAX_REPORT_BYTES: usize = 5;
///     const MAX_GRANT_BYTES: usize = 5;
///     const MAX_COMMAND_BYTES: usize = 0;
/// }
///
/// impl Application for EvenPermits {
///     type LeaderData = BTreeMap<Process, u32>;
///
///     fn report(&mut self, _: Micros, _: &LocalReplica<Self>, _: &()) -> u32 {
///         self.renews_early = false;
///         self.wanted
///     }
///
///     fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
///         self.granted = granted.grant;
///     }
///
///     fn wants_early_renewal(&self) -> bool {
///         self.renews_early
///     }
///
///     fn begin_leadership(&self, _: &mut LeaderContext<'_, Self>) -> Self::LeaderData {
///         BTreeMap::new()
///     }
///
///     fn report_received(
///         &self,
///         wanted: &mut Self::LeaderData,
///         _: &mut LeaderContext<'_, Self>,
///         received: &ReceivedReport<'_, Self>,
///     ) {
///         wanted.insert(received.process.clone(), *received.report);
///     }
///
///     fn grant(&self, wanted: &mut Self::LeaderData, _: &mut LeaderContext<'_, Self>, process: &Process) -> u32 {
///         let processes = wanted.values().filter(|wanted| **wanted > 0).count().max(1) as u32;
///         wanted.get(process).map_or(0, |wanted| (*wanted).min(self.permits / processes))
///     }
///
///     fn process_left(&self, wanted: &mut Self::LeaderData, _: &mut LeaderContext<'_, Self>, process: &Process) {
///         wanted.remove(process);
///     }
///
///     fn command(
///         &self,
///         _: &mut Self::LeaderData,
///         _: &mut LeaderContext<'_, Self>,
///         command: NoCommand,
///     ) -> Result<NoCommand, CommandError> {
///         match command {}
///     }
/// }
/// ```
///
/// (It is an illustration: a permit that was withdrawn is granted to another process before it is known to be free.)
pub trait Application: ApplicationTypes {
    /// What the leader keeps of the application; gone with its lease.
    type LeaderData: Clone + std::fmt::Debug + Eq + std::hash::Hash;

    // At every process.

    /// The report for the renewal that is sent now.
    fn report(&mut self, now: Micros, member: &LocalReplica<Self>, facts: &Self::Facts) -> Self::Report;

    /// A state was applied, no older than the one before.
    fn state_changed(&mut self, now: Micros, state: &Self::State) {
        let _ = (now, state);
    }

    /// A lease came, of a leader whose fence counts.
    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        let _ = granted;
    }

    /// A higher ballot was heard of: what was granted under a lower one is renewed by nobody.
    fn higher_ballot_observed(&mut self, ballot: &Ballot) {
        let _ = ballot;
    }

    /// While this process waits for its admission: every voter has said within the duration of a lease that it has lost
    /// the state.
    fn state_lost(&mut self) {}

    /// Whether the next report should not wait for the regular renewal. Asked after everything that happens. The protocol
    /// bounds the rate to twelve times the regular one, with jitter; the application withdraws its wish in
    /// [`Application::report`].
    fn wants_early_renewal(&self) -> bool {
        false
    }

    // At the leader.

    /// This process becomes the leader. The state is the newest of those that a majority of voters and this process had;
    /// where too many have lost theirs ([`LeaderContext::state_lost_since`]), merged with all that any of them had
    /// ([`crate::ReplicatedState::merge`]). The processes are those of the last leader's roster, where that is
    /// remembered. The state is replicated to all.
    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) -> Self::LeaderData;

    /// A process that has applied this leader's state has reported.
    fn report_received(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        received: &ReceivedReport<'_, Self>,
    ) {
        let _ = (data, context, received);
    }

    /// The grant that goes along with the lease of a process now. It may be lost on the way.
    fn grant(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) -> Self::Grant;

    /// A process has left the roster: it has ended, or another has replaced it.
    fn process_left(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) {
        let _ = (data, context, process);
    }

    /// Something happened, or it is time. Where the state has changed, [`LeaderContext::publish`] says so.
    fn step(&self, data: &mut Self::LeaderData, context: &mut LeaderContext<'_, Self>) {
        let _ = (data, context);
    }

    /// Executes an operator's command. The response goes out once the state, as it is when this returns, is committed.
    ///
    /// # Errors
    ///
    /// The application's rejection, where the command changes nothing.
    fn command(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        command: Self::Command,
    ) -> Result<Self::Response, Self::Rejection>;
}

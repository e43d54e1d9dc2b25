//! Interface between the protocol and the applications that it replicates.

use crate::ballot::Ballot;
use crate::leader::LeaderContext;
use crate::replica::LocalReplica;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use flaxhead_membership::Micros;

/// Report of a process, received by the leader with a lease renewal. Only reports of processes that have
/// applied a state of this leader are passed on, because such a process ignores all lower ballots.
#[derive(Debug)]
pub struct ReceivedReport<'a, T: ApplicationTypes> {
    /// Reporting process.
    pub process: &'a Process,
    /// Time of sending, by the clock of the process. Reports may arrive out of order or twice; the one with
    /// the greatest time is the latest.
    pub sent_at: Micros,
    /// True if this is the process's first report to this leader.
    pub is_first: bool,
    /// Report of the application at that process.
    pub report: &'a T::Report,
}

/// Lease that the local process has received.
#[derive(Debug)]
pub struct ReceivedGrant<T: ApplicationTypes> {
    /// Ballot of the leader, the highest known to the process.
    pub ballot: Ballot,
    /// Time of the request, by the local clock.
    pub requested_at: Micros,
    /// End of the lease, by the local clock.
    pub expires_at: Micros,
    /// Data that the application at the leader granted with the lease.
    pub grant: T::Grant,
}

/// Subject of an agreement between the proxies. The implementing value is the part that every process has.
/// The leader additionally keeps [`Application::LeaderData`] during its leadership.
///
/// Each application has its own lease and roster ([`crate::Machine`]), so that a failure of one does not
/// affect the others. The methods use no I/O and no clock: the same calls lead to the same state.
///
/// An application without a common state, which only grants something to each process (such as quotas), uses
/// `()` as its state and [`crate::NoCommand`] as its command type:
///
/// ```
/// use flaxhead_lease::{
///     Application, ApplicationTypes, CommandError, LeaderContext, LocalReplica, Micros, NoCommand, Process,
///     ReceivedGrant, ReceivedReport,
/// };
/// use std::collections::BTreeMap;
///
/// /// Divides permits evenly among the processes that want any.
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
///     fn grant(
///         &self,
///         wanted: &mut Self::LeaderData,
///         _: &mut LeaderContext<'_, Self>,
///         process: &Process,
///     ) -> u32 {
///         let processes = wanted.values().filter(|wanted| **wanted > 0).count().max(1) as u32;
///         wanted.get(process).map_or(0, |wanted| (*wanted).min(self.permits / processes))
///     }
///
///     fn process_left(
///         &self,
///         wanted: &mut Self::LeaderData,
///         _: &mut LeaderContext<'_, Self>,
///         process: &Process,
///     ) {
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
/// This example is simplified: it grants a withdrawn permit to another process before the permit is known to
/// be free.
pub trait Application: ApplicationTypes {
    /// Data of the application at the leader, discarded at the end of the leadership.
    type LeaderData: Clone + std::fmt::Debug + Eq + std::hash::Hash;

    // Hooks that are called at every process.

    /// Returns the report for the renewal that is sent now.
    fn report(&mut self, now: Micros, replica: &LocalReplica<Self>, facts: &Self::Facts) -> Self::Report;

    /// Called when a state was applied that is no older than the one before.
    fn state_changed(&mut self, now: Micros, state: &Self::State) {
        let _ = (now, state);
    }

    /// Called when a lease was received from the leader with the highest known ballot.
    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        let _ = granted;
    }

    /// Called when a higher ballot becomes known. Grants under lower ballots will not be renewed.
    fn higher_ballot_observed(&mut self, ballot: &Ballot) {
        let _ = ballot;
    }

    /// Called, while this process waits for its admission, when every voter has reported within one lease
    /// duration that it has lost the state.
    fn state_lost(&mut self) {}

    /// Returns whether the next report should be sent before the regular renewal. Called after each event.
    /// The protocol limits early renewals to twelve times the regular rate, with jitter. The application
    /// resets its request in [`Application::report`].
    fn wants_early_renewal(&self) -> bool {
        false
    }

    // Hooks that are called only at the leader.

    /// Called when this process becomes the leader, to create the application's data.
    ///
    /// The state is the newest that a majority of voters or this process had. If too many voters have lost
    /// theirs ([`LeaderContext::state_lost_since`]), the states of all of them are merged into it
    /// ([`crate::ReplicatedState::merge`]). The roster is that of the last leader, as far as it is known. The
    /// state is then replicated to all processes.
    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) -> Self::LeaderData;

    /// Called for the report of a process that has applied a state of this leader.
    fn report_received(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        received: &ReceivedReport<'_, Self>,
    ) {
        let _ = (data, context, received);
    }

    /// Returns the grant that is sent with the lease of a process. The message may be lost.
    fn grant(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) -> Self::Grant;

    /// Called when a process was removed from the roster, because it has ended or was replaced.
    fn process_left(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) {
        let _ = (data, context, process);
    }

    /// Called after each event and timer. [`LeaderContext::publish`] must be called if the state was changed.
    fn step(&self, data: &mut Self::LeaderData, context: &mut LeaderContext<'_, Self>) {
        let _ = (data, context);
    }

    /// Executes a command of an operator. The response is sent once the state at the end of this call is
    /// committed.
    ///
    /// # Errors
    ///
    /// The application's rejection, if the command changes nothing.
    fn command(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        command: Self::Command,
    ) -> Result<Self::Response, Self::Rejection>;
}

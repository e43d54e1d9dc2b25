//! Trait of an application, whose state the protocol replicates and whose grants it distributes.

use crate::ballot::Ballot;
use crate::leader::LeaderContext;
use crate::replica::LocalReplica;
use crate::roster::Process;
use crate::types::ApplicationTypes;
use flaxhead_membership::Micros;

/// Report of a process, received by the leader with a lease renewal. The leader passes on only reports of
/// processes that have applied a state of this leader, because such a process ignores messages under lower
/// ballots.
#[derive(Debug)]
pub struct ReceivedReport<'a, T: ApplicationTypes> {
    /// Reporting process.
    pub process: &'a Process,
    /// Time of sending, by the clock of the reporting process. Reports may arrive out of order or twice; the
    /// one with the greatest time is the latest.
    pub sent_at: Micros,
    /// True if this is the process's first report to this leader.
    pub is_first: bool,
    /// Data that the application at the reporting process returned from [`Application::report`].
    pub report: &'a T::Report,
}

/// Lease that the leader granted to the local process.
#[derive(Debug)]
pub struct ReceivedGrant<T: ApplicationTypes> {
    /// Ballot of the leader that granted the lease; the highest that the local process knows.
    pub ballot: Ballot,
    /// Time at which the local process requested the lease, by its own clock.
    pub requested_at: Micros,
    /// End of the lease, by the clock of the local process.
    pub expires_at: Micros,
    /// Data that the application at the leader returned from [`Application::grant`].
    pub grant: T::Grant,
}

/// Function that the client proxies perform in coordination, by a replicated state or by grants from their
/// leader, such as the drains of hosts or the quotas of tenants.
///
/// An implementation defines the replicated state, the reports of processes, the leader's grants, and the
/// commands of operators. Every process has one value of the implementing type. The leader additionally has
/// [`Application::LeaderData`], from the start to the end of its leadership.
///
/// Each application has its own leader and roster ([`crate::Machine`]), so that a failure of one does not
/// affect the others. The methods use no I/O and no clock: the same calls lead to the same state.
///
/// An application without a replicated state, which only grants something to each process (such as quotas),
/// uses `()` as its state and [`crate::NoCommand`] as its command type:
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
    /// Data that the application keeps only at the leader, discarded at the end of the leadership.
    type LeaderData: Clone + std::fmt::Debug + Eq + std::hash::Hash;

    // Methods that the machine calls at every process.

    /// Returns the report that this process sends to the leader with the lease request of this moment.
    fn report(&mut self, now: Micros, replica: &LocalReplica<Self>, facts: &Self::Facts) -> Self::Report;

    /// Called after this process has applied a state that the leader replicated, another process sent, or the
    /// disk held. The state is at least as new as the one before it.
    fn state_changed(&mut self, now: Micros, state: &Self::State) {
        let _ = (now, state);
    }

    /// Called when this process receives a lease from the leader with the highest ballot that it knows.
    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        let _ = granted;
    }

    /// Called when this process learns of a ballot higher than all that it knew, so of a later leader. Leases
    /// that were granted under lower ballots will not be renewed.
    fn higher_ballot_observed(&mut self, ballot: &Ballot) {
        let _ = ballot;
    }

    /// Called while this process waits for its admission and every voter has reported, within one lease
    /// duration, that it has not recovered the state. May be called repeatedly.
    fn state_lost(&mut self) {}

    /// Returns whether this process should request its next lease before the regular time, to send its
    /// report. Called after each event. Early requests are limited to twelve times the regular rate, with
    /// jitter. To stop them, the application returns false again once [`Application::report`] was called.
    fn wants_early_renewal(&self) -> bool {
        false
    }

    // Methods that the machine calls only at the leader.

    /// Called when this process becomes the leader, to create the application's data.
    ///
    /// The state in `context` is the newest that this process or a promising voter had. If too many voters
    /// have lost theirs ([`LeaderContext::state_lost_since`]), the states of all of them are merged into it
    /// ([`crate::ReplicatedState::merge`]). The roster is that of the last leader, as far as the promising
    /// voters know it. After this call, the leader replicates the state to all processes on the roster.
    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) -> Self::LeaderData;

    /// Called at the leader for each report of a process that has applied a state of this leader.
    fn report_received(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        received: &ReceivedReport<'_, Self>,
    ) {
        let _ = (data, context, received);
    }

    /// Returns the grant that the leader sends to `process` with its lease. The message may be lost.
    fn grant(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) -> Self::Grant;

    /// Called after `process` was removed from the roster, because it has ended or a later process replaced
    /// it.
    fn process_left(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) {
        let _ = (data, context, process);
    }

    /// Called at the leader after each message, timer and command, to make the decisions that have become
    /// due. Must call [`LeaderContext::publish`] if it changes the state.
    fn step(&self, data: &mut Self::LeaderData, context: &mut LeaderContext<'_, Self>) {
        let _ = (data, context);
    }

    /// Executes a command of an operator at the leader. The response is sent to the operator once the state
    /// at the end of this call is committed.
    ///
    /// # Errors
    ///
    /// The application's rejection, if the command changes nothing. It is sent at once.
    fn command(
        &self,
        data: &mut Self::LeaderData,
        context: &mut LeaderContext<'_, Self>,
        command: Self::Command,
    ) -> Result<Self::Response, Self::Rejection>;
}

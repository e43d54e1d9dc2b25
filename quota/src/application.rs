//! Quotas as an application of the lease protocol, which carries their reports and grants.

use crate::allowance::Allowance;
use crate::capacity::HostCapacity;
use crate::ledger::QuotaLedger;
use crate::local_quota::LocalQuota;
use crate::registry::TenantRegistry;
use crate::report::{GrantVersion, QuotaGrant, QuotaReport, Slot, Usage};
use crate::timing::QuotaTiming;
use flaxhead_lease::{
    Application, ApplicationTypes, Ballot, CommandError, Config, LeaderContext, LocalReplica, MemberStatus,
    Micros, Name, NoCommand, Presence, Process, ReceivedGrant, ReceivedReport,
};

/// Protocol state machine of one process, with quotas as its application.
pub type Machine = flaxhead_lease::Machine<QuotaApplication>;
/// Protocol message between two processes, with reports and grants of quotas.
pub type Message = flaxhead_lease::Message<QuotaApplication>;
/// Action that the state machine requests, such as sending a message.
pub type Effect = flaxhead_lease::Effect<QuotaApplication>;
/// Input to the state machine besides the event itself: time, facts and randomness.
pub type Context<'a> = flaxhead_lease::Context<'a, Vec<HostCapacity>>;
/// Facts that the process learns outside the protocol: the members of the fleet, and the capacity of each
/// host.
pub type Facts = flaxhead_lease::Facts<Vec<HostCapacity>>;

/// Quota state of one process, and the callbacks of the lease protocol that change it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaApplication {
    local: LocalQuota,
    timing: QuotaTiming,
    usage: Usage,
    wants_early_renewal: bool,
}

impl QuotaApplication {
    /// Creates the state of a process that starts at `now` and has no grant.
    pub fn new(now: Micros, registry: TenantRegistry, timing: QuotaTiming) -> QuotaApplication {
        let local = LocalQuota::new(now, registry, timing.clone());
        QuotaApplication { local, timing, usage: Usage::default(), wants_early_renewal: false }
    }

    /// Returns the time spans of the lease protocol. `operator_timeout` is 0, because operators have nothing
    /// to declare after a loss of all state: a new leader only renews permits that processes report, until
    /// all earlier grants have expired.
    pub fn config(timing: &QuotaTiming) -> Config {
        Config {
            lease_duration: timing.lease,
            max_call_duration: timing.max_call_duration,
            state_loss_timeout: timing.max_grant_lifetime(),
            autonomy_timeout: timing.autonomy_timeout,
            operator_timeout: 0,
        }
    }

    /// Updates the usage that the next report shows, as of `now`. Peaks and counts in `usage` cover the time
    /// since the previous call of this function; until the report is sent, peaks are combined by their
    /// maximum, and counts are added up.
    pub fn set_usage(&mut self, now: Micros, usage: Usage) {
        let before = std::mem::replace(&mut self.usage, usage);
        for (tenant, before) in self.usage.tenants.iter_mut().zip(&before.tenants) {
            tenant.peak = tenant.peak.max(before.peak);
            tenant.rejected = tenant.rejected.saturating_add(before.rejected);
        }
        self.usage.attempts = self.usage.attempts.saturating_add(before.attempts);
        self.usage.rejected_by_hosts = self.usage.rejected_by_hosts.saturating_add(before.rejected_by_hosts);
        self.wants_early_renewal = now >= self.next_report_at();
    }

    /// Returns when the next report is due. [`QuotaApplication::set_usage`] has to be called at that time,
    /// and whenever a call is queued.
    pub fn next_report_at(&self) -> Micros {
        self.local.next_report_at(&self.usage)
    }

    /// Returns the limits on calls in flight that apply from `now` on.
    pub fn allowance(&mut self, now: Micros) -> Allowance {
        self.local.allowance(now)
    }

    /// Returns when [`QuotaApplication::allowance`] next changes if no grant arrives until then; `None`: it
    /// does not change.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        self.local.next_change(now)
    }

    /// Returns whether this process may use its guaranteed minimums.
    pub fn slot(&self) -> Slot {
        self.local.slot()
    }

    /// Returns the version of the newest grant or of the newest leader that the process knows; `None`: it
    /// knows no leader.
    pub fn grant_version(&self) -> Option<&GrantVersion> {
        self.local.grant_version()
    }
}

impl ApplicationTypes for QuotaApplication {
    type State = ();
    type Report = QuotaReport;
    type Grant = QuotaGrant;
    type Command = NoCommand;
    type Response = NoCommand;
    type Rejection = CommandError;
    type Facts = Vec<HostCapacity>;
    type Event = String;

    const MAX_STATE_BYTES: usize = 0;
    // Room for the highest number of tenants, and for their names if the process reports its configuration.
    const MAX_REPORT_BYTES: usize = 1 << 15;
    const MAX_GRANT_BYTES: usize = 1 << 13;
    const MAX_COMMAND_BYTES: usize = 0;
}

impl Application for QuotaApplication {
    type LeaderData = QuotaLedger;

    fn report(&mut self, now: Micros, _: &LocalReplica<Self>, _: &Vec<HostCapacity>) -> QuotaReport {
        self.wants_early_renewal = false;
        let reported = self.usage.clone();
        for tenant in &mut self.usage.tenants {
            tenant.peak = 0;
            tenant.rejected = 0;
        }
        self.usage.attempts = 0;
        self.usage.rejected_by_hosts = 0;
        self.local.report(now, reported)
    }

    fn lease_granted(&mut self, granted: &ReceivedGrant<Self>) {
        self.local.apply_grant(&granted.ballot, granted.expires_at, granted.grant.clone());
    }

    fn higher_ballot_observed(&mut self, ballot: &Ballot) {
        self.local.observe_ballot(ballot);
    }

    fn state_lost(&mut self) {
        self.local.assume_slot();
    }

    fn wants_early_renewal(&self) -> bool {
        self.wants_early_renewal
    }

    fn begin_leadership(&self, context: &mut LeaderContext<'_, Self>) -> QuotaLedger {
        let is_roster_complete = context.state_lost_since().is_none();
        let roster = context.processes().map(|(process, _)| process);
        QuotaLedger::new(
            context.now,
            self.local.registry().clone(),
            self.timing.clone(),
            context.ballot().clone(),
            is_roster_complete,
            roster,
        )
    }

    fn report_received(
        &self,
        ledger: &mut QuotaLedger,
        context: &mut LeaderContext<'_, Self>,
        received: &ReceivedReport<'_, Self>,
    ) {
        ledger.record_report(context.now, received.process, received.sent_at, received.report.clone());
    }

    fn grant(
        &self,
        ledger: &mut QuotaLedger,
        context: &mut LeaderContext<'_, Self>,
        process: &Process,
    ) -> QuotaGrant {
        ledger.set_hosts(&context.facts.application);
        let may_run = |member: &MemberStatus| member.presence != Presence::Exited;
        let members = context.facts.members.iter().filter(|(_, member)| may_run(member));
        let process_of = |(name, member): (&Name, &MemberStatus)| Process {
            name: name.clone(),
            incarnation: member.incarnation,
            address: member.address,
        };
        ledger.set_members(members.map(process_of));
        ledger.grant(context.now, process)
    }

    fn process_left(&self, ledger: &mut QuotaLedger, _: &mut LeaderContext<'_, Self>, process: &Process) {
        ledger.remove_process(process);
    }

    fn command(
        &self,
        _: &mut QuotaLedger,
        _: &mut LeaderContext<'_, Self>,
        command: NoCommand,
    ) -> Result<NoCommand, CommandError> {
        match command {}
    }
}

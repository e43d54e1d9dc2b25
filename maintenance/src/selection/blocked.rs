//! Reasons that keep a requested drain from being scheduled.

use std::fmt;

/// Reason why a requested drain cannot be scheduled now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BlockedReason {
    /// The earliest start that the request allows has not been reached.
    TooEarly,
    /// The maximum number of hosts is out of service in total; the value is that maximum.
    MaxTotal(u32),
    /// The maximum number of hosts is out of service in the zone of this name.
    MaxPerZone(String),
    /// The maximum number of hosts is out of service in the pod of this number.
    MaxPerPod(u32),
    /// The remaining hosts could not serve the load with the configured margin.
    InsufficientCapacity {
        /// Concurrent calls that the remaining hosts can serve.
        remaining: u64,
        /// Concurrent calls that the load of all processes and the margin require.
        needed: u64,
    },
    /// Some process reaches no host of the zone of this name.
    LostZone(String),
    /// Some process is suspected to have failed, is not admitted, or has not reported recently, so the load
    /// of all processes is not known. The text names the process.
    MembershipUnsettled(String),
    /// No process has a complete schedule, for example after all have restarted without stored state. Until
    /// operators declare the schedule complete or a timeout passes, hosts that are out of service may be
    /// missing from it.
    StateLost,
    /// Discovery does not list the host of the drain.
    NotListed,
    /// The drain of this identifier is scheduled first.
    QueuedBehind(u64),
}

/// The texts are values of `waits_for` in the JSON of the status page, which operators' scripts may read:
/// they don't change.
impl fmt::Display for BlockedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BlockedReason::TooEarly => write!(f, "its time has not come"),
            BlockedReason::MaxTotal(max) => write!(f, "{max} hosts may be out at once, and are"),
            BlockedReason::MaxPerZone(zone) => write!(f, "as many hosts of zone {zone} are out as may be"),
            BlockedReason::MaxPerPod(pod) => write!(f, "as many hosts of pod {pod} are out as may be"),
            BlockedReason::InsufficientCapacity { remaining, needed } => {
                write!(f, "{remaining} calls could be borne without it, and {needed} must be")
            }
            BlockedReason::LostZone(zone) => write!(f, "zone {zone} is lost"),
            BlockedReason::MembershipUnsettled(why) => write!(f, "the membership is not settled: {why}"),
            BlockedReason::StateLost => {
                write!(f, "the proxies were restarted and do not know what is out")
            }
            BlockedReason::NotListed => write!(f, "discovery does not list it"),
            BlockedReason::QueuedBehind(id) => write!(f, "turn {id} is ahead of it"),
        }
    }
}

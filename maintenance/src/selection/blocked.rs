//! Reasons that keep a requested drain from being scheduled.

use std::fmt;

/// Reason why a requested drain is not scheduled now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BlockedReason {
    /// The earliest start that the request allows is not reached.
    TooEarly,
    /// The maximum number of hosts is out of service.
    MaxTotal(u32),
    /// The maximum number of hosts of the zone is out of service.
    MaxPerZone(String),
    /// The maximum number of hosts of the pod is out of service.
    MaxPerPod(u32),
    /// The remaining hosts could not serve the load with the configured margin.
    InsufficientCapacity {
        /// Concurrent calls that the remaining hosts can serve.
        remaining: u64,
        /// Concurrent calls that the load and its margin require.
        needed: u64,
    },
    /// Some process reaches no host of this zone.
    LostZone(String),
    /// A process is suspected, not admitted or silent, so the load is not known; the text names the process.
    MembershipUnsettled(String),
    /// The processes have lost the replicated schedule, so it is not known which hosts are out of service.
    StateLost,
    /// Discovery does not list the host of the drain.
    NotListed,
    /// Another drain, of this identifier, is scheduled first.
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

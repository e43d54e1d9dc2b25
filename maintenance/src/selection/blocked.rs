//! Why a drain is not scheduled.

use std::fmt;

/// Why a drain is not scheduled now.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BlockedReason {
    /// It must not begin yet.
    TooEarly,
    /// As many hosts are out of service as may be.
    MaxTotal(u32),
    /// As many hosts of its zone are.
    MaxPerZone(String),
    /// As many hosts of its pod are.
    MaxPerPod(u32),
    /// The remaining hosts would not carry the load.
    InsufficientCapacity {
        /// What they can have in flight, in calls.
        remaining: u64,
        /// What they must be able to have in flight.
        needed: u64,
    },
    /// A zone is lost.
    LostZone(String),
    /// A member is suspected, or silent and not accounted for.
    MembershipUnsettled(String),
    /// The proxies do not know what is out of service.
    StateLost,
    /// Discovery does not list the host.
    NotListed,
    /// Another drain comes first.
    QueuedBehind(u64),
}

/// The sentences are values of the side port's JSON (`waits_for`), and stay as they are.
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
